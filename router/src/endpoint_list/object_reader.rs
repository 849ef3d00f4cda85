//! Cuts the JSON objects of the endpoint list out of a stream. An object may stand on a line, as the protocol has it, or be
//! indented over many, and may come in pieces of any size: its braces say where it ends. No input or output.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// Something else stands where an object should begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAnObject;

impl fmt::Display for NotAnObject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a JSON object")
    }
}

impl std::error::Error for NotAnObject {}

/// Bytes that have arrived, and how far they have been scanned.
#[derive(Debug, Default)]
pub struct ObjectReader {
    held: BytesMut,
    /// Bytes of `held` that have been scanned.
    scanned: usize,
    /// Braces that are open behind them.
    depth: usize,
    position: Position,
}

/// Whether a byte is part of a JSON string, where braces mean nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Position {
    #[default]
    OutsideString,
    InString,
    /// Behind a backslash: a quote does not end the string.
    Escaped,
}

impl ObjectReader {
    /// Adds bytes that have arrived.
    pub fn push(&mut self, data: &[u8]) {
        self.held.extend_from_slice(data);
    }

    /// How many bytes are held.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Takes the next object, once it is whole. Blank lines between objects are signs of life, and skipped.
    ///
    /// # Errors
    /// Something else stands where an object should begin.
    pub fn take(&mut self) -> Result<Option<Bytes>, NotAnObject> {
        while let Some(&byte) = self.held.get(self.scanned) {
            self.scanned += 1;
            if self.scan(byte)? {
                let object = self.held.split_to(std::mem::take(&mut self.scanned));
                return Ok(Some(object.freeze()));
            }
        }
        if self.depth == 0 {
            self.held.clear();
            self.scanned = 0;
        }
        Ok(None)
    }

    /// Scans one byte; true if it ends an object.
    fn scan(&mut self, byte: u8) -> Result<bool, NotAnObject> {
        match (self.position, byte) {
            (Position::Escaped, _) => self.position = Position::InString,
            (Position::InString, b'\\') => self.position = Position::Escaped,
            (Position::InString, b'"') => self.position = Position::OutsideString,
            (Position::InString, _) => {}
            (Position::OutsideString, b'"') if self.depth > 0 => self.position = Position::InString,
            (Position::OutsideString, b'{') => self.depth += 1,
            (Position::OutsideString, b'}') if self.depth > 0 => {
                self.depth -= 1;
                return Ok(self.depth == 0);
            }
            (Position::OutsideString, _) if self.depth > 0 => {}
            (Position::OutsideString, byte) if byte.is_ascii_whitespace() => {}
            (Position::OutsideString, _) => return Err(NotAnObject),
        }
        Ok(false)
    }
}
