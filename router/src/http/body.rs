//! Reads message bodies from the read buffer: of a declared length, chunked, or up to the end of the connection.

use bytes::{Buf, Bytes, BytesMut};

use super::{BodyFraming, HttpError};

/// Maximum length of a chunk size line or trailer line, bytes: a size with a short extension fits, and a peer that never
/// ends a line cannot fill the buffer.
const MAX_CHUNK_LINE_SIZE: usize = 1024;
/// Maximum number of trailer lines after the last chunk. They are skipped, so a peer could otherwise send them endlessly.
const MAX_TRAILERS: usize = 32;
/// Maximum number of hexadecimal digits of a chunk size: 15 digits fit a `u64` without overflow in later sums.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

/// A part of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes of the body, at least one.
    Data(Bytes),
    /// The end of the body.
    End,
}

/// The element of the body that is read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyPosition {
    /// A chunk size line.
    ChunkSize,
    /// Data; with the number of bytes that remain.
    Data(u64),
    /// The line end after the data of a chunk.
    ChunkEnd,
    /// A trailer line; with the number of trailer lines already read.
    Trailer(usize),
    /// The body has ended.
    End,
}

/// Reads one body.
#[derive(Debug, Clone)]
pub struct BodyReader {
    framing: BodyFraming,
    position: BodyPosition,
    /// Maximum size of a chunk, bytes.
    max_chunk_size: u64,
    /// Whether the data of a chunk is returned only after the complete chunk and its line end have arrived.
    only_complete_chunks: bool,
}

impl BodyReader {
    /// A reader of a body with this framing. A chunk of more than `max_chunk_size` bytes is an error.
    pub fn new(framing: BodyFraming, max_chunk_size: u64) -> BodyReader {
        let position = match framing {
            BodyFraming::Chunked => BodyPosition::ChunkSize,
            BodyFraming::Length(0) => BodyPosition::End,
            BodyFraming::Length(length) => BodyPosition::Data(length),
            BodyFraming::Undeclared => BodyPosition::Data(u64::MAX),
        };
        BodyReader { framing, position, max_chunk_size, only_complete_chunks: false }
    }

    /// A reader of the body of a replica's response. A chunk is returned when it is complete and its line end follows, so
    /// that no byte of a malformed chunk is relayed to the client; see [`BodyReader::take_part_of_chunk`] for chunks that
    /// take long.
    pub fn for_response(framing: BodyFraming, max_chunk_size: usize) -> BodyReader {
        let only_complete_chunks = framing == BodyFraming::Chunked;
        BodyReader { only_complete_chunks, ..BodyReader::new(framing, max_chunk_size as u64) }
    }

    /// Removes the next part from the front of `buffer`; `None` if more input is needed.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] for malformed chunks; [`HttpError::BodyTooLarge`] for a chunk that is too large.
    pub fn next_part(&mut self, buffer: &mut BytesMut) -> Result<Option<BodyPart>, HttpError> {
        loop {
            let next = match self.position {
                BodyPosition::End => return Ok(Some(BodyPart::End)),
                BodyPosition::Data(_) if buffer.is_empty() => return Ok(None),
                BodyPosition::Data(left) if self.only_complete_chunks => {
                    return self.take_complete_chunk(left as usize, buffer)
                }
                BodyPosition::Data(left) => return Ok(Some(self.take_data(left, buffer))),
                BodyPosition::ChunkEnd => take_chunk_end(buffer)?,
                BodyPosition::ChunkSize => self.take_chunk_size(buffer)?,
                BodyPosition::Trailer(skipped) => take_trailer(skipped, buffer)?,
            };
            match next {
                Some(position) => self.position = position,
                None => return Ok(None),
            }
        }
    }

    /// The size of the chunk that is being received, bytes; `None` unless chunks are returned only once they are complete.
    pub fn incomplete_chunk_size(&self) -> Option<usize> {
        match self.position {
            BodyPosition::Data(left) if self.only_complete_chunks => Some(left as usize),
            _ => None,
        }
    }

    /// Removes the first `size` bytes of the chunk that is being received from the front of `buffer`. `size` is less than
    /// [`BodyReader::incomplete_chunk_size`], and that many bytes must have been received.
    pub fn take_part_of_chunk(&mut self, size: usize, buffer: &mut BytesMut) -> Bytes {
        if let BodyPosition::Data(left) = &mut self.position {
            *left -= size as u64;
        }
        buffer.split_to(size).freeze()
    }

    fn take_complete_chunk(
        &mut self,
        size: usize,
        buffer: &mut BytesMut,
    ) -> Result<Option<BodyPart>, HttpError> {
        match buffer.get(size..) {
            Some([b'\r', b'\n', ..]) => {
                self.position = BodyPosition::ChunkEnd;
                Ok(Some(BodyPart::Data(buffer.split_to(size).freeze())))
            }
            None | Some([] | [b'\r']) => Ok(None),
            Some(_) => Err(HttpError::Malformed),
        }
    }

    fn take_data(&mut self, left: u64, buffer: &mut BytesMut) -> BodyPart {
        let taken = left.min(buffer.len() as u64);
        self.position = match (self.framing, left - taken) {
            (BodyFraming::Chunked, 0) => BodyPosition::ChunkEnd,
            (_, 0) => BodyPosition::End,
            (_, left) => BodyPosition::Data(left),
        };
        BodyPart::Data(buffer.split_to(taken as usize).freeze())
    }

    fn take_chunk_size(&self, buffer: &mut BytesMut) -> Result<Option<BodyPosition>, HttpError> {
        let Some(line) = take_line(buffer)? else { return Ok(None) };
        match parse_chunk_size(&line).ok_or(HttpError::Malformed)? {
            0 => Ok(Some(BodyPosition::Trailer(0))),
            size if size > self.max_chunk_size => Err(HttpError::BodyTooLarge),
            size => Ok(Some(BodyPosition::Data(size))),
        }
    }
}

fn take_chunk_end(buffer: &mut BytesMut) -> Result<Option<BodyPosition>, HttpError> {
    match &buffer[..] {
        [b'\r', b'\n', ..] => {
            buffer.advance(2);
            Ok(Some(BodyPosition::ChunkSize))
        }
        [] | [b'\r'] => Ok(None),
        _ => Err(HttpError::Malformed),
    }
}

fn take_trailer(skipped: usize, buffer: &mut BytesMut) -> Result<Option<BodyPosition>, HttpError> {
    let Some(line) = take_line(buffer)? else { return Ok(None) };
    match skipped {
        _ if line.is_empty() => Ok(Some(BodyPosition::End)),
        MAX_TRAILERS.. => Err(HttpError::Malformed),
        skipped => Ok(Some(BodyPosition::Trailer(skipped + 1))),
    }
}

/// Parses the size at the start of a chunk size line; an extension may follow after a semicolon.
fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    let is_number =
        (1..=MAX_CHUNK_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_number)?;
    u64::from_str_radix(text, 16).ok()
}

/// Removes a line from the front of `buffer` and returns it without its CR LF; `None` if it is not complete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
    match buffer.iter().position(|byte| *byte == b'\n') {
        Some(end) if end > MAX_CHUNK_LINE_SIZE || end == 0 || buffer[end - 1] != b'\r' => {
            Err(HttpError::Malformed)
        }
        Some(end) => {
            let mut line = buffer.split_to(end + 1);
            line.truncate(end - 1);
            Ok(Some(line.freeze()))
        }
        None if buffer.len() > MAX_CHUNK_LINE_SIZE => Err(HttpError::Malformed),
        None => Ok(None),
    }
}
