//! The state of the endpoint list's watch that the rest of the router uses: the address of the list, requests to poll it, the
//! applied version, the time of the last message, and the counts of calls.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::{watch, Notify};
use tokio::time::timeout;

/// Counts of the calls for the endpoint list since the router started, by result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatchCounts {
    /// Calls that were started.
    pub opened: u64,
    /// Calls that led to an established watch.
    pub established: u64,
    /// Calls that failed before a watch was established: refused, not answered in time, or broken.
    pub failed: u64,
    /// Established watches that were lost.
    pub lost: u64,
}

/// The state of the endpoint list's watch.
#[derive(Debug)]
pub struct EndpointListState {
    address: watch::Sender<SocketAddr>,
    poll_requested: Notify,
    started_at: Instant,
    last_activity_at: Cell<Option<Instant>>,
    silence_limit: Duration,
    version: Cell<Option<u64>>,
    first_applied: Notify,
    counts: Cell<WatchCounts>,
}

impl EndpointListState {
    /// Creates the state of a list at `address` that has sent no message. A watch that has sent nothing for longer than
    /// `silence_limit` counts as silent.
    pub fn new(address: SocketAddr, silence_limit: Duration) -> EndpointListState {
        EndpointListState {
            address: watch::Sender::new(address),
            poll_requested: Notify::new(),
            started_at: Instant::now(),
            last_activity_at: Cell::new(None),
            silence_limit,
            version: Cell::new(None),
            first_applied: Notify::new(),
            counts: Cell::default(),
        }
    }

    /// Changes the address of the list. Returns false if the address is the same as before.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        self.address.send_if_modified(|at| std::mem::replace(at, address) != address)
    }

    /// The address of the list, as a receiver that also reports its changes.
    pub fn address(&self) -> watch::Receiver<SocketAddr> {
        self.address.subscribe()
    }

    /// Requests a poll of the list.
    pub fn request_poll(&self) {
        self.poll_requested.notify_one();
    }

    /// Waits for a request to poll the list. Cancel-safe: a request is kept until it is received.
    pub async fn wait_for_poll_request(&self) {
        self.poll_requested.notified().await;
    }

    /// Records that a message or keep-alive arrived.
    pub fn record_activity(&self) {
        self.last_activity_at.set(Some(Instant::now()));
    }

    /// Records the version of a message that is about to be applied.
    pub fn record_version(&self, version: u64) {
        if self.version.replace(Some(version)).is_none() {
            self.first_applied.notify_one();
        }
    }

    /// Waits at most `limit` for the first list to be applied. Returns false if none was. Supports one waiter.
    pub async fn wait_for_first_list(&self, limit: Duration) -> bool {
        self.version.get().is_some() || timeout(limit, self.first_applied.notified()).await.is_ok()
    }

    /// The version last applied; `None` before the first list.
    pub fn version(&self) -> Option<u64> {
        self.version.get()
    }

    /// Updates the counts of calls.
    pub fn update_counts(&self, change: impl FnOnce(&mut WatchCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// The counts of calls.
    pub fn counts(&self) -> WatchCounts {
        self.counts.get()
    }

    /// Time since the last message or keep-alive, or since the start of the router if there was none.
    pub fn time_since_activity(&self) -> Duration {
        self.last_activity_at.get().unwrap_or(self.started_at).elapsed()
    }

    /// Time since the last message or keep-alive, if it exceeds the silence limit.
    pub fn silent_for(&self) -> Option<Duration> {
        Some(self.time_since_activity()).filter(|s| *s > self.silence_limit)
    }

    /// Whether a message or keep-alive has arrived within the silence limit.
    pub fn is_active(&self) -> bool {
        self.last_activity_at.get().is_some() && self.silent_for().is_none()
    }
}
