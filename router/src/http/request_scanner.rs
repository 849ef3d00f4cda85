//! Finds the ends of requests in input without keeping the input.

use bytes::BytesMut;

use super::{BodyFraming, BodyPart, BodyReader, MessageHead};
use crate::limits::Limits;

/// The part of a request that is scanned next.
#[derive(Debug, Default)]
enum ScannedPart {
    #[default]
    Head,
    Body(BodyReader),
    /// A request was malformed, so the ends of further ones cannot be found.
    Malformed,
}

/// Scans input that begins with a request, in pieces of any size. Keeps at most an incomplete head or chunk line.
#[derive(Debug, Default)]
pub struct RequestScanner {
    /// The input that has not been scanned completely.
    incomplete: BytesMut,
    part: ScannedPart,
}

/// What a piece of input contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScannedPiece {
    /// Number of requests that end in it.
    pub request_ends: usize,
    /// Number of bytes after the last of these ends; all bytes if there is none.
    pub bytes_after_last_end: usize,
}

impl RequestScanner {
    /// Scans the next piece of the input.
    pub fn scan(&mut self, piece: &[u8], limits: &Limits) -> ScannedPiece {
        let mut scanned = ScannedPiece { request_ends: 0, bytes_after_last_end: piece.len() };
        self.incomplete.extend_from_slice(piece);
        while self.find_request_end(limits) {
            scanned.request_ends += 1;
            scanned.bytes_after_last_end = self.incomplete.len();
        }
        // Without spare capacity: many scanners may wait for more input.
        self.incomplete = BytesMut::from(&self.incomplete[..]);
        scanned
    }

    /// Memory that the scanner uses, bytes.
    pub fn memory_size(&self) -> usize {
        self.incomplete.capacity()
    }

    /// Whether the scanned input ends with a complete request.
    pub fn is_at_request_end(&self) -> bool {
        matches!(self.part, ScannedPart::Head) && self.incomplete.is_empty()
    }

    /// Whether a request in the scanned input is malformed. Input after it is skipped.
    pub fn found_malformed_request(&self) -> bool {
        matches!(self.part, ScannedPart::Malformed)
    }

    /// Scans to the end of the current request; false if more input is needed.
    fn find_request_end(&mut self, limits: &Limits) -> bool {
        loop {
            match &mut self.part {
                ScannedPart::Head => match MessageHead::parse_request(&mut self.incomplete, limits) {
                    Ok(Some(head)) => self.part = body_of(&head, limits),
                    Ok(None) => return false,
                    Err(_) => self.part = ScannedPart::Malformed,
                },
                ScannedPart::Body(reader) => match reader.next_part(&mut self.incomplete) {
                    Ok(Some(BodyPart::Data(_))) => {}
                    Ok(Some(BodyPart::End)) => {
                        self.part = ScannedPart::Head;
                        return true;
                    }
                    Ok(None) => return false,
                    Err(_) => self.part = ScannedPart::Malformed,
                },
                ScannedPart::Malformed => {
                    self.incomplete.clear();
                    return false;
                }
            }
        }
    }
}

/// The part that follows the head of a request.
fn body_of(head: &MessageHead, limits: &Limits) -> ScannedPart {
    let framing = match head.framing() {
        Ok(BodyFraming::Undeclared) => BodyFraming::Length(0),
        Ok(framing) => framing,
        Err(_) => return ScannedPart::Malformed,
    };
    ScannedPart::Body(BodyReader::new(framing, limits.max_body_size as u64))
}

#[cfg(test)]
mod tests;
