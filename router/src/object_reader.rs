//! The objects of the node list, cut out of what has come of them so far. One may stand on a line, as the protocol has
//! it, or be indented over many, and may come in pieces of any size: where it ends, its braces say. No input or output.

use bytes::{Bytes, BytesMut};

/// Something stands where an object should begin.
#[derive(Debug, PartialEq, Eq)]
pub struct NotAnObject;

/// What has come of the list and is not taken yet.
#[derive(Debug, Default)]
pub struct ObjectReader {
    held: BytesMut,
    /// So much of it has been looked at.
    seen: usize,
    /// Braces that are open there.
    depth: usize,
    text: Text,
}

/// Whether a byte is part of a text, where braces mean nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Text {
    #[default]
    Outside,
    Inside,
    /// Behind a backslash: a quote is no end.
    Escaped,
}

impl ObjectReader {
    /// More has come.
    pub fn push(&mut self, data: &[u8]) {
        self.held.extend_from_slice(data);
    }

    /// How much is held.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Takes the next object, once it is whole. Blank lines between objects are signs of life, and nothing else.
    pub fn take(&mut self) -> Result<Option<Bytes>, NotAnObject> {
        while let Some(&byte) = self.held.get(self.seen) {
            self.seen += 1;
            self.text = match (self.text, byte) {
                (Text::Escaped, _) => Text::Inside,
                (Text::Inside, b'\\') => Text::Escaped,
                (Text::Inside, b'"') => Text::Outside,
                (Text::Inside, _) => Text::Inside,
                (Text::Outside, b'"') if self.depth > 0 => Text::Inside,
                (Text::Outside, b'{') => {
                    self.depth += 1;
                    Text::Outside
                }
                (Text::Outside, b'}') if self.depth == 1 => {
                    self.depth = 0;
                    return Ok(Some(self.held.split_to(std::mem::take(&mut self.seen)).freeze()));
                }
                (Text::Outside, b'}') if self.depth > 1 => {
                    self.depth -= 1;
                    Text::Outside
                }
                (Text::Outside, _) if self.depth > 0 => Text::Outside,
                (Text::Outside, byte) if byte.is_ascii_whitespace() => Text::Outside,
                (Text::Outside, _) => return Err(NotAnObject),
            };
        }
        if self.depth == 0 {
            self.held.clear();
            self.seen = 0;
        }
        Ok(None)
    }
}
