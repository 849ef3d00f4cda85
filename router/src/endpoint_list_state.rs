//! What the rest of the router sees of the endpoint list's watch: where the list is, whether it is to be polled, which version
//! is applied, when it was last heard, and what became of the calls for it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::{watch, Notify};
use tokio::time::timeout;

/// What became of the calls for the endpoint list since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatchCounts {
    /// Calls that were begun.
    pub opened: u64,
    /// Of these, how many were answered by a watch.
    pub established: u64,
    /// How many failed before that: refused, not answered in time, or broken.
    pub failed: u64,
    /// Watches that were lost after they had been established.
    pub lost: u64,
}

/// The state of the endpoint list's watch.
#[derive(Debug)]
pub struct EndpointListState {
    address: watch::Sender<SocketAddr>,
    poll_requested: Notify,
    started_at: Instant,
    heard_at: Cell<Option<Instant>>,
    silence_limit: Duration,
    version: Cell<Option<u64>>,
    first_applied: Notify,
    counts: Cell<WatchCounts>,
}

impl EndpointListState {
    /// A list at this address, not heard yet; a watch that has said nothing for longer than `silence_limit` counts as silent.
    pub fn new(address: SocketAddr, silence_limit: Duration) -> EndpointListState {
        EndpointListState {
            address: watch::Sender::new(address),
            poll_requested: Notify::new(),
            started_at: Instant::now(),
            heard_at: Cell::new(None),
            silence_limit,
            version: Cell::new(None),
            first_applied: Notify::new(),
            counts: Cell::default(),
        }
    }

    /// The list is elsewhere from now on; false if it was there already.
    pub fn move_to(&self, address: SocketAddr) -> bool {
        self.address.send_if_modified(|at| std::mem::replace(at, address) != address)
    }

    /// Where the list is, and a way to wait until it moves.
    pub fn address(&self) -> watch::Receiver<SocketAddr> {
        self.address.subscribe()
    }

    /// Asks for a poll of the list.
    pub fn request_poll(&self) {
        self.poll_requested.notify_one();
    }

    /// Waits for a request to poll the list. Cancel-safe: a request that nobody waits for is kept.
    pub async fn poll_requested(&self) {
        self.poll_requested.notified().await;
    }

    /// The list has said something, be it a sign of life.
    pub fn heard(&self) {
        self.heard_at.set(Some(Instant::now()));
    }

    /// A message has been applied that leads to this version.
    pub fn applied(&self, version: u64) {
        if self.version.replace(Some(version)).is_none() {
            self.first_applied.notify_one();
        }
    }

    /// Waits until a list has been applied, for so long at the most; false if none came. For one waiter.
    pub async fn wait_for_first(&self, limit: Duration) -> bool {
        self.version.get().is_some() || timeout(limit, self.first_applied.notified()).await.is_ok()
    }

    /// The version last applied since the start; `None` before the first.
    pub fn version(&self) -> Option<u64> {
        self.version.get()
    }

    /// Changes the counts of calls.
    pub fn count(&self, change: impl FnOnce(&mut WatchCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// What became of the calls for the list.
    pub fn counts(&self) -> WatchCounts {
        self.counts.get()
    }

    /// For how long the list has said nothing; since the start of the router if it never did.
    pub fn unheard_for(&self) -> Duration {
        self.heard_at.get().unwrap_or(self.started_at).elapsed()
    }

    /// For how long the list has said nothing, if that is longer than a standing watch would take.
    pub fn silence(&self) -> Option<Duration> {
        Some(self.unheard_for()).filter(|s| *s > self.silence_limit)
    }

    /// Whether the list has said something since the start, and not too long ago.
    pub fn is_fresh(&self) -> bool {
        self.heard_at.get().is_some() && self.silence().is_none()
    }
}
