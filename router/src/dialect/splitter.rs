//! Splits a stream at event boundaries, regardless of how its bytes are divided into reads.

use bytes::Bytes;

/// Number of already searched bytes that are searched again, as they may hold the start of an event end: its maximum
/// length less one byte.
const END_OVERLAP: usize = 3;

/// Starts of the lines of an event: its fields, and comments.
const FIELD_STARTS: [&[u8]; 5] = [b"data:", b":", b"event:", b"id:", b"retry:"];

/// Splits a stream at the ends of its events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// The received bytes of an event that is not complete.
    incomplete: Vec<u8>,
    /// Number of bytes of `incomplete` that were searched and hold no event end.
    searched: usize,
}

impl EventSplitter {
    /// Adds received bytes and returns all events that are complete; `None` if there are none.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.incomplete.extend_from_slice(data);
        let from = self.searched.saturating_sub(END_OVERLAP);
        let end = end_of_last_event(&self.incomplete[from..]).map(|end| from + end);
        self.searched = self.incomplete.len() - end.unwrap_or(0);
        let incomplete = self.incomplete.split_off(end?);
        // No spare capacity is kept: the events may wait for a slow client.
        Some(Bytes::from(std::mem::replace(&mut self.incomplete, incomplete).into_boxed_slice()))
    }

    /// Removes and returns the bytes of the incomplete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.searched = 0;
        Bytes::from(std::mem::take(&mut self.incomplete))
    }

    /// The size of the incomplete event, bytes.
    pub fn incomplete_size(&self) -> usize {
        self.incomplete.len()
    }
}

/// Size of the complete and well-formed events at the front of `data`, bytes. Where the size of a chunk is wrong, framing follows
/// the events, which is no field of an event.
pub fn size_of_well_formed_events(data: &[u8]) -> usize {
    let (mut position, mut end) = (0, 0);
    for line in data.split_inclusive(|byte| *byte == b'\n') {
        position += line.len();
        let text = line.trim_ascii_end();
        match line.ends_with(b"\n") {
            true if text.is_empty() => end = position,
            true if FIELD_STARTS.iter().any(|start| text.starts_with(start)) => {}
            _ => return end,
        }
    }
    end
}

/// The offset behind the last event in `data`, which ends with an empty line; lines end with LF or CR LF.
fn end_of_last_event(data: &[u8]) -> Option<usize> {
    (1..data.len()).rev().find_map(|i| {
        let is_empty_line = data[i] == b'\n' && (data[i - 1] == b'\n' || data[..i].ends_with(b"\n\r"));
        is_empty_line.then_some(i + 1)
    })
}
