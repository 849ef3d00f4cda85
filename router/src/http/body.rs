//! Bodies: reads their parts from the read buffer, by length, in chunks or to the end of the connection.

use bytes::{Buf, Bytes, BytesMut};

use super::{BodyFraming, HttpError};

/// The longest line of a chunk size or a trailer, bytes: room for a size and a short extension, while a peer that never
/// ends a line cannot fill the buffer.
const MAX_CHUNK_LINE_SIZE: usize = 1024;
/// The most trailer lines after the last chunk; they are skipped, so that a peer could send them without end.
const MAX_TRAILERS: usize = 32;
/// The most hexadecimal digits of a chunk size: 15 fit a `u64` with room to add to it.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

/// A part of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes of it, at least one.
    Data(Bytes),
    /// Its end.
    End,
}

/// What comes next in a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyPosition {
    /// The line with the size of a chunk.
    ChunkSize,
    /// This many bytes of data.
    Data(u64),
    /// The line end after the data of a chunk.
    ChunkEnd,
    /// A trailer line, after this many others.
    Trailer(usize),
    /// Nothing.
    End,
}

/// Reads one body.
#[derive(Debug, Clone)]
pub struct BodyReader {
    framing: BodyFraming,
    position: BodyPosition,
    /// Bytes.
    max_chunk_size: u64,
    /// Whether the data of a chunk is given out only when all of it and its end are there.
    only_complete_chunks: bool,
}

impl BodyReader {
    /// A reader of a body framed so. A chunk of more than `max_chunk_size` bytes is an error.
    pub fn new(framing: BodyFraming, max_chunk_size: u64) -> BodyReader {
        let position = match framing {
            BodyFraming::Chunked => BodyPosition::ChunkSize,
            BodyFraming::Length(0) => BodyPosition::End,
            BodyFraming::Length(length) => BodyPosition::Data(length),
            BodyFraming::Undeclared => BodyPosition::Data(u64::MAX),
        };
        BodyReader { framing, position, max_chunk_size, only_complete_chunks: false }
    }

    /// A reader of the body of a replica's response. A chunk is given out when it is complete and ends where its size
    /// says: of a malformed one no byte is passed on as part of the answer.
    pub fn for_response(framing: BodyFraming, max_chunk_size: usize) -> BodyReader {
        let only_complete_chunks = framing == BodyFraming::Chunked;
        BodyReader { only_complete_chunks, ..BodyReader::new(framing, max_chunk_size as u64) }
    }

    /// Takes the next part off the front of `buffer`; `None` if more has to be read first.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] if the chunks are; [`HttpError::BodyTooLarge`] if one is too large.
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
                BodyPosition::Trailer(before) => take_trailer(before, buffer)?,
            };
            match next {
                Some(position) => self.position = position,
                None => return Ok(None),
            }
        }
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

fn take_trailer(before: usize, buffer: &mut BytesMut) -> Result<Option<BodyPosition>, HttpError> {
    let Some(line) = take_line(buffer)? else { return Ok(None) };
    match before {
        _ if line.is_empty() => Ok(Some(BodyPosition::End)),
        MAX_TRAILERS.. => Err(HttpError::Malformed),
        before => Ok(Some(BodyPosition::Trailer(before + 1))),
    }
}

/// The size at the beginning of a chunk's line, which an extension may follow after a semicolon.
fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    let is_number =
        (1..=MAX_CHUNK_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_number)?;
    u64::from_str_radix(text, 16).ok()
}

/// Takes a line off the front of `buffer`, without its CR LF; `None` if it is not complete.
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
