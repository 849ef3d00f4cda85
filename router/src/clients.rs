//! The client connections: how many there are, which of them are idle, and which idle one is closed when another needs its
//! place. One that has begun to send a request is never among them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{oneshot, Notify};

struct IdleEntry {
    since: Instant,
    close: oneshot::Sender<()>,
}

/// Idle connections by number; numbers are given in order, so the oldest is the first.
type IdleConnections = RefCell<BTreeMap<u64, IdleEntry>>;

/// The client connections of a router.
pub struct Clients {
    /// The most that are served at once.
    limit: usize,
    open: Cell<usize>,
    /// Asked to close, and still open.
    closing: Cell<usize>,
    last_number: Cell<u64>,
    /// A usual client sends a request as soon as it is connected: one that has not after this is the first to be closed.
    first_request_grace: Duration,
    without_request: IdleConnections,
    between_requests: IdleConnections,
    closed: Notify,
}

impl Clients {
    /// None yet; `limit` may be served at once.
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

    /// How many are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// One more has connected, and is idle. Above the limit an idle one is asked to close; if there is none, the new one is
    /// `over_limit`.
    pub fn register(self: &Rc<Self>) -> (Client, IdleGuard) {
        self.open.set(self.open.get() + 1);
        let over = || self.open.get() - self.closing.get() > self.limit;
        if over() {
            self.close_one_idle();
        }
        let client = Client { clients: self.clone(), over_limit: over() };
        // From the start, not from when its task first runs: many may connect before that.
        let idle = self.add_idle(false);
        (client, idle)
    }

    fn add_idle(self: &Rc<Self>, has_requested: bool) -> IdleGuard {
        self.last_number.set(self.last_number.get() + 1);
        let (number, (close, closed)) = (self.last_number.get(), oneshot::channel());
        let entry = IdleEntry { since: Instant::now(), close };
        self.idle_connections(has_requested).borrow_mut().insert(number, entry);
        IdleGuard { clients: self.clone(), has_requested, number, closed }
    }

    fn idle_connections(&self, has_requested: bool) -> &IdleConnections {
        match has_requested {
            true => &self.between_requests,
            false => &self.without_request,
        }
    }

    /// Asks an idle one to close; false if there is none. It is never asked of more than one for each place that is needed: one
    /// that was asked and has a request after all serves it, and stays.
    pub fn close_one_idle(&self) -> bool {
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

    /// Whether one was asked to close and is still open.
    pub fn is_one_closing(&self) -> bool {
        self.closing.get() > 0
    }

    /// Waits until one has closed after this was called.
    pub async fn connection_closed(&self) {
        self.closed.notified().await;
    }
}

/// A client connection, counted until it is dropped.
pub struct Client {
    clients: Rc<Clients>,
    /// There was no place for it: its request is only rejected.
    pub over_limit: bool,
}

impl Client {
    /// The connection is idle from now on, until the result is dropped; it has sent a request before.
    pub fn idle(&self) -> IdleGuard {
        self.clients.add_idle(true)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.clients.open.set(self.clients.open.get() - 1);
        self.clients.closed.notify_waiters();
    }
}

/// A time in which a client connection is idle.
pub struct IdleGuard {
    clients: Rc<Clients>,
    has_requested: bool,
    number: u64,
    closed: oneshot::Receiver<()>,
}

impl IdleGuard {
    /// Waits until the connection is asked to close. Cancel-safe until it has returned.
    pub async fn close_requested(&mut self) {
        // It fails only when the entry is gone, and that goes with this or with the request to close.
        let _ = (&mut self.closed).await;
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
