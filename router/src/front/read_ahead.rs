//! Input that a client sends while one of its requests is being answered. No input or output: callers pass the buffer.
//!
//! The close of a connection is visible only behind all input before it, so reading must not stop while a request waits.
//! Requests are kept up to a limit on their size; those beyond it are dropped, counted, and rejected in their turn.

use std::rc::Rc;

use bytes::BytesMut;

use super::connection::UNRESERVED_INPUT;
use crate::http::RequestScanner;
use crate::limits::Limits;
use crate::memory_budget::{MemoryBudget, MemoryReservation};

/// Maximum number of bytes scanned at once, so that other connections need not wait for long.
const MAX_SCAN_SIZE: usize = 16 << 10;

/// The input read ahead on one connection: what has been scanned, kept and dropped.
#[derive(Debug)]
pub struct ReadAhead {
    limits: Rc<Limits>,
    /// Memory reserved in the budget that all connections share, beyond what each connection may use without reserving it.
    reservation: MemoryReservation,
    scanner: RequestScanner,
    /// Number of bytes received on the connection when input was last recorded.
    recorded: u64,
    /// Number of bytes at the end of the buffer that have not been scanned.
    unscanned: usize,
    /// Number of bytes at the end of the buffer, of those scanned, that belong to no kept request.
    after_kept_requests: usize,
    /// Whether the limit has been exceeded: what is read is dropped from then on.
    drops_input: bool,
    dropped_requests: usize,
}

impl ReadAhead {
    /// Creates the state of a new connection.
    pub fn new(limits: Rc<Limits>, budget: MemoryBudget) -> ReadAhead {
        ReadAhead {
            limits,
            reservation: budget.empty_reservation(),
            scanner: RequestScanner::default(),
            recorded: 0,
            unscanned: 0,
            after_kept_requests: 0,
            drops_input: false,
            dropped_requests: 0,
        }
    }

    /// Begins reading while a request is answered. `buffered` bytes follow this request in the buffer, and `received` bytes
    /// have been received on the connection.
    pub fn begin(&mut self, buffered: usize, received: u64) {
        if buffered == 0 {
            self.reservation.shrink(0);
        }
        // Input was read for the request itself: what follows the request in the buffer has not been scanned.
        if received != self.recorded {
            self.scanner = RequestScanner::default();
            (self.recorded, self.unscanned, self.after_kept_requests) = (received, buffered, 0);
        }
    }

    /// Maximum size of the input that is kept, bytes.
    pub fn max_size(&self) -> usize {
        self.limits.max_read_ahead
    }

    /// Prepares for a read for which the buffer takes `capacity` bytes. Returns whether the buffer may grow to it; if not, what
    /// is read is dropped.
    pub fn may_grow(&mut self, capacity: usize) -> bool {
        self.drops_input |= !self.has_room(0, capacity);
        !self.drops_input
    }

    /// Records that input was appended to the buffer: `received` bytes have been received on the connection.
    pub fn record(&mut self, received: u64) {
        self.unscanned += (received - self.recorded) as usize;
        self.recorded = received;
    }

    /// Scans a part of the new input. Once all of it is scanned, what exceeds the limit is dropped. Returns whether more is to be
    /// scanned.
    pub fn scan_next(&mut self, buffer: &mut BytesMut) -> bool {
        if self.unscanned == 0 {
            return false;
        }
        let start = buffer.len() - self.unscanned;
        let end = buffer.len().min(start + MAX_SCAN_SIZE);
        self.drops_input |= !self.has_room(end, buffer.capacity());
        let scanned = self.scanner.scan(&buffer[start..end], &self.limits);
        self.unscanned = buffer.len() - end;
        if self.drops_input {
            self.dropped_requests += scanned.request_ends;
            self.after_kept_requests += end - start;
        } else if scanned.request_ends > 0 {
            self.after_kept_requests = scanned.bytes_after_last_end;
        } else {
            self.after_kept_requests += end - start;
        }
        if self.unscanned > 0 {
            return true;
        }
        if self.drops_input {
            buffer.truncate(buffer.len() - self.after_kept_requests);
            self.after_kept_requests = 0;
        }
        false
    }

    /// Whether `size` bytes may be kept in a buffer with this capacity. Reserves the memory.
    fn has_room(&mut self, size: usize, capacity: usize) -> bool {
        let memory = capacity + self.scanner.memory_size();
        size <= self.limits.max_read_ahead && self.reservation.grow(memory.saturating_sub(UNRESERVED_INPUT))
    }

    /// Frees the memory that it uses, once no input is buffered.
    pub fn release(&mut self) {
        self.reservation.shrink(0);
        self.scanner = RequestScanner::default();
    }

    /// Whether input has been dropped.
    pub fn drops_input(&self) -> bool {
        self.drops_input
    }

    /// Whether a request has been dropped in part, and its end has not been received.
    pub fn is_within_dropped_request(&self) -> bool {
        self.drops_input && !self.scanner.is_at_request_end() && !self.scanner.found_malformed_request()
    }

    /// Number of dropped requests. A malformed one is the last that is counted.
    pub fn dropped_requests(&self) -> usize {
        self.dropped_requests + usize::from(self.drops_input && self.scanner.found_malformed_request())
    }
}

#[cfg(test)]
mod tests;
