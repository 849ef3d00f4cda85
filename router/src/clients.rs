//! The client connections: how many there are, which of them carry nothing, and which of those is closed
//! when another needs its room. One that has begun to send a request is never among them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{oneshot, Notify};

struct Idle {
    since: Instant,
    close: oneshot::Sender<()>,
}

/// Those that carry nothing, by number; numbers are given in order, so the oldest is the first.
type Waiting = RefCell<BTreeMap<u64, Idle>>;

/// The client connections of a router.
pub struct Clients {
    most: usize,
    open: Cell<usize>,
    /// Told to close, and still open.
    leaving: Cell<usize>,
    last: Cell<u64>,
    /// A usual client asks as soon as it is connected: whoever has not after this goes first.
    patience: Duration,
    /// Those that have asked nothing yet.
    silent: Waiting,
    /// Those between two requests.
    between: Waiting,
    closed: Notify,
}

impl Clients {
    /// None yet; so many may be served at once.
    pub fn new(most: usize, patience: Duration) -> Rc<Clients> {
        Rc::new(Clients {
            most,
            open: Cell::new(0),
            leaving: Cell::new(0),
            last: Cell::new(0),
            patience,
            silent: Waiting::default(),
            between: Waiting::default(),
            closed: Notify::new(),
        })
    }

    /// How many are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// One more has connected, and carries nothing yet. If there is no room, one that carries nothing is told
    /// to close; if there is none such either, the new one is `crowded`.
    pub fn enter(self: &Rc<Self>) -> (Client, IdleGuard) {
        self.open.set(self.open.get() + 1);
        let over = || self.open.get() - self.leaving.get() > self.most;
        if over() {
            self.make_room();
        }
        let client = Client { clients: self.clone(), crowded: over() };
        // From the start, not from when its task first runs: many may connect before that.
        let idle = self.idle(false);
        (client, idle)
    }

    fn idle(self: &Rc<Self>, asked: bool) -> IdleGuard {
        self.last.set(self.last.get() + 1);
        let (number, (close, told)) = (self.last.get(), oneshot::channel());
        self.among(asked).borrow_mut().insert(number, Idle { since: Instant::now(), close });
        IdleGuard { clients: self.clone(), asked, number, told }
    }

    fn among(&self, asked: bool) -> &Waiting {
        match asked {
            true => &self.between,
            false => &self.silent,
        }
    }

    /// Tells one that carries nothing to close; false if there is none. Never more than one for each that
    /// needs room: whoever was told and has a request after all serves it, and stays.
    pub fn make_room(&self) -> bool {
        let (mut silent, mut between) = (self.silent.borrow_mut(), self.between.borrow_mut());
        let long = silent.first_entry().is_some_and(|e| e.get().since.elapsed() >= self.patience);
        let first =
            if long { silent.pop_first() } else { between.pop_first().or_else(|| silent.pop_first()) };
        let Some((_, idle)) = first else { return false };
        self.leaving.set(self.leaving.get() + 1);
        let _ = idle.close.send(());
        true
    }

    /// Whether one was told to close and is still open.
    pub fn room_is_coming(&self) -> bool {
        self.leaving.get() > 0
    }

    /// Waits until one has closed.
    pub async fn one_closed(&self) {
        self.closed.notified().await;
    }
}

/// A client connection, counted while it is open.
pub struct Client {
    clients: Rc<Clients>,
    /// There was no room for it: it is only refused.
    pub crowded: bool,
}

impl Client {
    /// The connection carries nothing from now on, until the result is dropped; it has asked something before.
    pub fn idle(&self) -> IdleGuard {
        self.clients.idle(true)
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
    asked: bool,
    number: u64,
    told: oneshot::Receiver<()>,
}

impl IdleGuard {
    /// Waits until its room is needed.
    pub async fn room_wanted(&mut self) {
        // It fails only when the entry is gone, and that goes with this or with being told.
        let _ = (&mut self.told).await;
    }
}

impl Drop for IdleGuard {
    fn drop(&mut self) {
        if self.clients.among(self.asked).borrow_mut().remove(&self.number).is_none() {
            self.clients.leaving.set(self.clients.leaving.get() - 1);
        }
    }
}
