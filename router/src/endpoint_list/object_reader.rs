//! Splits a byte stream into the JSON objects of the endpoint list. An object may be on one line, as the protocol says, or
//! span several lines, and may arrive in pieces of any size. Its end is found by counting braces. No input or output.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// The stream has other data where an object should begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAnObject;

impl fmt::Display for NotAnObject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a JSON object")
    }
}

impl std::error::Error for NotAnObject {}

/// A buffer of received bytes, and the state of scanning them.
#[derive(Debug, Default)]
pub struct ObjectReader {
    buffer: BytesMut,
    /// Number of bytes of `buffer` that have been scanned.
    scanned: usize,
    /// Number of open braces after the scanned bytes.
    depth: usize,
    position: Position,
}

/// Whether the next byte is part of a JSON string, in which braces are not counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Position {
    #[default]
    OutsideString,
    InString,
    /// In a string after a backslash: a quote does not end the string.
    Escaped,
}

impl ObjectReader {
    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the next object if it is complete. Whitespace between objects is a keep-alive and is skipped.
    ///
    /// # Errors
    /// Returns an error if other data is where an object should begin.
    pub fn take(&mut self) -> Result<Option<Bytes>, NotAnObject> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            if self.scan(byte)? {
                let object = self.buffer.split_to(std::mem::take(&mut self.scanned));
                return Ok(Some(object.freeze()));
            }
        }
        if self.depth == 0 {
            self.buffer.clear();
            self.scanned = 0;
        }
        Ok(None)
    }

    /// Scans one byte. Returns true if it ends an object.
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
