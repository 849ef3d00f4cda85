//! Counts the client connections and their idle ones, and selects the idle connection to close when a new client exceeds the
//! limit. A connection on which a request has begun is never selected.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{oneshot, Notify};

struct IdleEntry {
    since: Instant,
    close: oneshot::Sender<()>,
}

/// Idle connections by number. Numbers ascend, so the first entry is the one idle for longest.
type IdleConnections = RefCell<BTreeMap<u64, IdleEntry>>;

/// The client connections of a router.
pub struct Clients {
    /// Maximum number of connections served at once.
    limit: usize,
    open: Cell<usize>,
    /// Number of connections that were asked to close and are still open.
    closing: Cell<usize>,
    last_number: Cell<u64>,
    /// Time after connecting in which a client is expected to begin its first request. Connections that exceed it are closed
    /// first.
    first_request_grace: Duration,
    without_request: IdleConnections,
    between_requests: IdleConnections,
    closed: Notify,
}

impl Clients {
    /// Creates the registry of connections, of which `limit` may be served at once.
    pub fn new(limit: usize, first_request_grace: Duration) -> Rc<Clients> {
        Rc::new(Clients {
            limit,
            open: Cell::new(0),
            closing: Cell::new(0),
            last_number: Cell::new(0),
            first_request_grace,
            without_request: IdleConnections::default(),
            between_requests: IdleConnections::default(),
            closed: Notify::new(),
        })
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Registers a new connection, which is idle. Above the limit, an idle connection is asked to close; if there is none, the
    /// new connection is marked as `over_limit`.
    pub fn register(self: &Rc<Self>) -> (Client, IdleGuard) {
        self.open.set(self.open.get() + 1);
        let over = || self.open.get() - self.closing.get() > self.limit;
        if over() {
            self.request_idle_close();
        }
        let client = Client { clients: self.clone(), over_limit: over() };
        // The connection counts as idle immediately, as many others may connect before its task first runs.
        let idle = self.add_idle(false);
        (client, idle)
    }

    fn add_idle(self: &Rc<Self>, has_requested: bool) -> IdleGuard {
        self.last_number.set(self.last_number.get() + 1);
        let (number, (close, close_request)) = (self.last_number.get(), oneshot::channel());
        let entry = IdleEntry { since: Instant::now(), close };
        self.idle_connections(has_requested).borrow_mut().insert(number, entry);
        IdleGuard { clients: self.clone(), has_requested, number, close_request }
    }

    fn idle_connections(&self, has_requested: bool) -> &IdleConnections {
        match has_requested {
            true => &self.between_requests,
            false => &self.without_request,
        }
    }

    /// Asks an idle connection to close; returns false if there is none. Must be called once per required slot. A
    /// connection on which a request has begun in the meantime serves it and stays open.
    pub fn request_idle_close(&self) -> bool {
        let mut without_request = self.without_request.borrow_mut();
        let mut between_requests = self.between_requests.borrow_mut();
        let oldest = without_request.first_entry();
        let overdue = oldest.is_some_and(|e| e.get().since.elapsed() >= self.first_request_grace);
        let first = match overdue {
            true => without_request.pop_first(),
            false => between_requests.pop_first().or_else(|| without_request.pop_first()),
        };
        let Some((_, idle)) = first else { return false };
        self.closing.set(self.closing.get() + 1);
        let _ = idle.close.send(());
        true
    }

    /// Whether a connection was asked to close and is still open.
    pub fn has_closing_connection(&self) -> bool {
        self.closing.get() > 0
    }

    /// Waits until a connection closes.
    pub async fn connection_closed(&self) {
        self.closed.notified().await;
    }
}

/// A client connection, counted until it is dropped.
pub struct Client {
    clients: Rc<Clients>,
    /// Whether the connection exceeds the limit, so that its request is only rejected.
    pub over_limit: bool,
}

impl Client {
    /// Marks the connection as idle between two requests until the returned guard is dropped.
    pub fn mark_idle(&self) -> IdleGuard {
        self.clients.add_idle(true)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.clients.open.set(self.clients.open.get() - 1);
        self.clients.closed.notify_waiters();
    }
}

/// Marks a client connection as idle until it is dropped.
pub struct IdleGuard {
    clients: Rc<Clients>,
    has_requested: bool,
    number: u64,
    close_request: oneshot::Receiver<()>,
}

impl IdleGuard {
    /// Waits until the connection is asked to close. Cancel-safe until it has returned.
    pub async fn close_requested(&mut self) {
        // Fails only if the entry was removed, which happens when `self` is dropped or when the close is requested.
        let _ = (&mut self.close_request).await;
    }
}

impl Drop for IdleGuard {
    fn drop(&mut self) {
        let idle = self.clients.idle_connections(self.has_requested);
        if idle.borrow_mut().remove(&self.number).is_none() {
            self.clients.closing.set(self.clients.closing.get() - 1);
        }
    }
}
