//! The body of a request while it is received. Its memory is reserved before it is allocated.

use bytes::{Buf, BytesMut};

use crate::memory_budget::{BufferedBody, MemoryReservation};

/// Capacity of the first allocation for a body, unless the body is known to be shorter; bytes.
const INITIAL_CAPACITY: usize = 8 << 10;

/// A body that is being received.
#[derive(Debug)]
pub struct BodyBuffer {
    /// The received part of the body.
    pub bytes: BytesMut,
    /// Maximum size of the body, bytes; the buffer never has a larger capacity.
    max_size: usize,
    /// Memory of the request apart from its body, which the reservation includes as well; bytes.
    other_memory: usize,
    reserved: MemoryReservation,
}

impl BodyBuffer {
    /// An empty body of at most `max_size` bytes. `reserved` is the memory that the request takes already.
    pub fn new(max_size: usize, reserved: MemoryReservation) -> BodyBuffer {
        BodyBuffer { bytes: BytesMut::new(), max_size, other_memory: reserved.size(), reserved }
    }

    /// Whether the allocated memory is used up.
    pub fn is_full(&self) -> bool {
        self.bytes.len() == self.bytes.capacity()
    }

    /// Makes room for further bytes; false if the budget or the maximum size does not permit it.
    fn make_room_for(&mut self, additional: usize) -> bool {
        let required = self.bytes.len() + additional;
        if required <= self.bytes.capacity() {
            return true;
        }
        if required > self.max_size {
            return false;
        }
        let capacity = required.max(self.bytes.capacity() * 2).max(INITIAL_CAPACITY).min(self.max_size);
        if !self.reserved.grow(self.other_memory + capacity) {
            return false;
        }
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.bytes);
        self.bytes = grown;
        true
    }

    /// Appends `data`; false if the budget or the maximum size does not permit it.
    pub fn append(&mut self, data: &[u8]) -> bool {
        let has_room = self.make_room_for(data.len());
        if has_room {
            self.bytes.extend_from_slice(data);
        }
        has_room
    }

    /// Moves as much of the front of `input` into the body as belongs to it; false if the budget does not permit it.
    pub fn take_from(&mut self, input: &mut BytesMut) -> bool {
        let taken = input.len().min(self.missing());
        let is_appended = self.append(&input[..taken]);
        if is_appended {
            input.advance(taken);
        }
        is_appended
    }

    /// Number of bytes that are missing from a body of the maximum size.
    pub fn missing(&self) -> usize {
        self.max_size - self.bytes.len()
    }

    /// The complete body. Of the memory that was reserved before it, `other_memory` bytes stay reserved.
    pub fn finish(mut self, other_memory: usize) -> BufferedBody {
        self.reserved.shrink(other_memory + self.bytes.capacity());
        BufferedBody { bytes: self.bytes.freeze(), reserved: self.reserved }
    }
}

#[cfg(test)]
mod tests;
