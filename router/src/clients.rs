//! The client connections: how many there are, which of them carry nothing, and which of those is closed
//! when another needs its room. One that has begun to send a request is never among them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{oneshot, Notify};

struct IdleEntry {
    since: Instant,
    close: oneshot::Sender<()>,
}

/// Those that carry nothing, by number; numbers are given in order, so the oldest is the first.
type IdleConnections = RefCell<BTreeMap<u64, IdleEntry>>;

/// The client connections of a router.
pub struct Clients {
    limit: usize,
    open: Cell<usize>,
    /// Told to close, and still open.
    closing: Cell<usize>,
    last_number: Cell<u64>,
    /// A usual client asks as soon as it is connected: whoever has not after this goes first.
    first_request_grace: Duration,
    /// Those that have asked nothing yet.
    without_request: IdleConnections,
    /// Those between two requests.
    between_requests: IdleConnections,
    closed: Notify,
}

impl Clients {
    /// None yet; so many may be served at once.
    pub fn new(most: usize, patience: Duration) -> Rc<Clients> {
        Rc::new(Clients {
            limit: most,
            open: Cell::new(0),
            closing: Cell::new(0),
            last_number: Cell::new(0),
            first_request_grace: patience,
            without_request: IdleConnections::default(),
            between_requests: IdleConnections::default(),
            closed: Notify::new(),
        })
    }

    /// How many are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// One more has connected, and carries nothing yet. If there is no room, one that carries nothing is told
    /// to close; if there is none such either, the new one is `crowded`.
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

    fn add_idle(self: &Rc<Self>, asked: bool) -> IdleGuard {
        self.last_number.set(self.last_number.get() + 1);
        let (number, (close, told)) = (self.last_number.get(), oneshot::channel());
        self.idle_connections(asked).borrow_mut().insert(number, IdleEntry { since: Instant::now(), close });
        IdleGuard { clients: self.clone(), has_requested: asked, number, closed: told }
    }

    fn idle_connections(&self, asked: bool) -> &IdleConnections {
        match asked {
            true => &self.between_requests,
            false => &self.without_request,
        }
    }

    /// Tells one that carries nothing to close; false if there is none. Never more than one for each that
    /// needs room: whoever was told and has a request after all serves it, and stays.
    pub fn close_one_idle(&self) -> bool {
        let (mut silent, mut between) =
            (self.without_request.borrow_mut(), self.between_requests.borrow_mut());
        let long = silent.first_entry().is_some_and(|e| e.get().since.elapsed() >= self.first_request_grace);
        let first =
            if long { silent.pop_first() } else { between.pop_first().or_else(|| silent.pop_first()) };
        let Some((_, idle)) = first else { return false };
        self.closing.set(self.closing.get() + 1);
        let _ = idle.close.send(());
        true
    }

    /// Whether one was told to close and is still open.
    pub fn is_one_closing(&self) -> bool {
        self.closing.get() > 0
    }

    /// Waits until one has closed.
    pub async fn connection_closed(&self) {
        self.closed.notified().await;
    }
}

/// A client connection, counted while it is open.
pub struct Client {
    clients: Rc<Clients>,
    /// There was no room for it: it is only refused.
    pub over_limit: bool,
}

impl Client {
    /// The connection carries nothing from now on, until the result is dropped; it has asked something before.
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

/// A time in which a client connection carries nothing.
pub struct IdleGuard {
    clients: Rc<Clients>,
    has_requested: bool,
    number: u64,
    closed: oneshot::Receiver<()>,
}

impl IdleGuard {
    /// Waits until its room is needed.
    pub async fn close_requested(&mut self) {
        // It fails only when the entry is gone, and that goes with this or with being told.
        let _ = (&mut self.closed).await;
    }
}

impl Drop for IdleGuard {
    fn drop(&mut self) {
        if self.clients.idle_connections(self.has_requested).borrow_mut().remove(&self.number).is_none() {
            self.clients.closing.set(self.clients.closing.get() - 1);
        }
    }
}
