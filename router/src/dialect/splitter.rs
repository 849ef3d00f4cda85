//! Cuts a stream between its events, however its bytes arrive.

use bytes::{Bytes, BytesMut};

/// The longest end of an event but one byte: an end that is not complete in what was searched begins within so many bytes
/// of its end.
const END_OVERLAP: usize = 3;

/// Cuts a stream at the ends of its events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// What has arrived of an event that is not complete.
    incomplete: BytesMut,
    /// How much of `incomplete` is known to hold no end of an event, bytes.
    searched: usize,
}

impl EventSplitter {
    /// Takes in what has arrived; gives all events that are complete by now, `None` if none is.
    pub fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.incomplete.extend_from_slice(data);
        let from = self.searched.saturating_sub(END_OVERLAP);
        let end = end_of_last_event(&self.incomplete[from..]).map(|end| from + end);
        self.searched = self.incomplete.len() - end.unwrap_or(0);
        Some(self.incomplete.split_to(end?).freeze())
    }

    /// Takes out what has arrived of an event that is not complete.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.incomplete.split().freeze()
    }

    /// The size in bytes of what has arrived of an event that is not complete.
    pub fn held_size(&self) -> usize {
        self.incomplete.len()
    }
}

/// Where the last event in `data` ends: behind an empty line, its lines ended by LF or CR LF.
fn end_of_last_event(data: &[u8]) -> Option<usize> {
    (1..data.len()).rev().find_map(|i| {
        let is_empty_line = data[i] == b'\n' && (data[i - 1] == b'\n' || data[..i].ends_with(b"\n\r"));
        is_empty_line.then_some(i + 1)
    })
}
