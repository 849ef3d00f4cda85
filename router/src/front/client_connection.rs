//! The connection to a client, which is read while its requests are answered.

use std::rc::Rc;

use super::read_ahead::ReadAhead;
use crate::http::BufferedConnection;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;

/// The connection to a client.
#[derive(Debug)]
pub struct ClientConnection {
    /// The socket and its buffer.
    pub wire: BufferedConnection,
    read_ahead: ReadAhead,
}

impl ClientConnection {
    /// Creates the state of a newly accepted connection.
    pub fn new(
        wire: BufferedConnection,
        limits: Rc<Limits>,
        read_ahead_budget: MemoryBudget,
    ) -> ClientConnection {
        ClientConnection { wire, read_ahead: ReadAhead::new(limits, read_ahead_budget) }
    }

    /// Reads further input while a request is answered, until the client closes its side. Cancel-safe.
    pub async fn read_until_closed(&mut self) {
        self.read_ahead.begin(self.wire.read_buffer.len(), self.wire.received());
        self.scan_input().await;
        while self.read_and_scan().await {}
    }

    /// Whether the next request has been dropped, as have all that follow. Must be called before a request is taken from the
    /// buffer: it finishes the scan of input that has been read ahead.
    pub async fn next_request_was_dropped(&mut self) -> bool {
        self.scan_input().await;
        self.read_ahead.drops_input() && self.wire.read_buffer.is_empty()
    }

    /// Reads the rest of a request that was dropped in part; false if the client closes its side before. Cancel-safe.
    pub async fn finish_dropped_request(&mut self) -> bool {
        self.scan_input().await;
        while self.read_ahead.is_within_dropped_request() {
            if !self.read_and_scan().await {
                return false;
            }
        }
        true
    }

    /// Number of complete requests that have been dropped.
    pub fn dropped_requests(&self) -> usize {
        self.read_ahead.dropped_requests()
    }

    /// Frees the buffer if it is empty, before a wait.
    pub fn release_buffer(&mut self) {
        if self.wire.read_buffer.is_empty() {
            self.read_ahead.release();
        }
        self.wire.release_buffer();
    }

    /// Reads once; false if the client has closed its side or the connection has failed.
    async fn read_and_scan(&mut self) -> bool {
        let mut capacity = self.wire.capacity_for_read(self.read_ahead.max_size());
        if !self.read_ahead.may_grow(capacity) {
            capacity = self.wire.capacity_for_read(0);
        }
        if !matches!(self.wire.read_with_capacity(capacity).await, Ok(true)) {
            return false;
        }
        self.read_ahead.record(self.wire.received());
        self.scan_input().await;
        true
    }

    /// Scans all new input. Yields in between, so that other connections need not wait for all of it.
    async fn scan_input(&mut self) {
        while self.read_ahead.scan_next(&mut self.wire.read_buffer) {
            tokio::task::yield_now().await;
        }
    }
}

#[cfg(test)]
mod tests;
