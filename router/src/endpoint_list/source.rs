//! One address of the endpoint list, and the watch on it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep_until;

use super::context::EndpointListContext;
use super::message::EndpointListMessage;
use super::or_pending;
use super::watch::{watch, WatchError};
use super::watch_clock::{WatchClock, WatchStep, WatchTimeouts};

/// An address of the list, and what is known of it: its versions may be its own.
pub(super) struct ListSource {
    pub address: SocketAddr,
    /// The version last applied.
    pub version: Cell<Option<u64>>,
    /// It has been logged that the source sends versions older than that.
    pub older_reported: Cell<bool>,
    /// The source that this one supersedes with its first message.
    pub predecessor: RefCell<Option<Rc<ListSource>>>,
    /// Another source has superseded it: what still arrives from this one is older than what is known.
    pub superseded: Cell<bool>,
    /// Notified when a message of it has been applied.
    pub answered: Notify,
    /// Notified when the watch is held to another timeout, which may end sooner.
    pub timeouts_changed: Notify,
    pub clock: WatchClock,
}

impl ListSource {
    /// Whether a message is newer than what is known: a whole list always is, as its versions may begin anew, but changes
    /// from before a known version would undo what came after them.
    pub fn is_newer(&self, message: &EndpointListMessage) -> bool {
        message.full || self.version.get().is_none_or(|known| message.version >= known)
    }

    /// Takes note of a message that is about to be applied: its version is known, and a predecessor counts no longer.
    pub fn accept(&self, message: &EndpointListMessage) {
        self.older_reported.set(false);
        if let Some(predecessor) = self.predecessor.take() {
            predecessor.superseded.set(true);
        }
        self.version.set(Some(message.version));
    }
}

/// A watch that was lost, or a call that never became one.
#[derive(Debug)]
pub(super) struct LostWatch {
    /// Why.
    pub error: WatchError,
    /// It had been established.
    pub established: bool,
    /// The answer had begun, and was not whole.
    pub truncated: bool,
    /// How long ago it was opened.
    pub open_for: Duration,
    /// Losses since a watch was last heard, this one included.
    pub losses: u32,
}

/// A watch that runs until it is lost.
type WatchFuture = Pin<Box<dyn Future<Output = WatchError>>>;

/// A source and the watch on it, if there is one.
pub(super) struct SourceWatch {
    pub source: Rc<ListSource>,
    watching: Option<WatchFuture>,
}

impl SourceWatch {
    /// No watch yet. `predecessor`: the source that this one supersedes.
    pub fn new(
        address: SocketAddr,
        timeouts: WatchTimeouts,
        predecessor: Option<Rc<ListSource>>,
    ) -> SourceWatch {
        let source = ListSource {
            address,
            version: Cell::new(None),
            older_reported: Cell::new(false),
            predecessor: RefCell::new(predecessor),
            superseded: Cell::new(false),
            answered: Notify::new(),
            timeouts_changed: Notify::new(),
            clock: WatchClock::new(timeouts),
        };
        SourceWatch { source: Rc::new(source), watching: None }
    }

    /// Opens the watch when its clock says so and follows it until it is lost. Cancel-safe: the watch is kept in `self`, and
    /// the next call goes on with it.
    pub async fn run(&mut self, context: &Rc<EndpointListContext>) -> LostWatch {
        let error = loop {
            let clock = &self.source.clock;
            match clock.next_step(context.clock.now()) {
                WatchStep::Open => self.open(context),
                WatchStep::Abandon => break WatchError::Silent,
                WatchStep::Wait(until) => tokio::select! {
                    biased;
                    lost = or_pending(self.watching.as_mut()) => break lost,
                    () = self.source.timeouts_changed.notified() => {}
                    // What arrives meanwhile puts the time off: the clock is asked again then.
                    () = or_pending(until.map(|at| sleep_until(context.clock.instant(at).into()))) => {}
                },
            }
        };
        self.close(context, error)
    }

    /// Opens a watch in place of one that may be there: that one has been asked for again, so it was not answered in time.
    fn open(&mut self, context: &Rc<EndpointListContext>) {
        if self.watching.take().is_some() {
            context.state.count(|counts| counts.failed += 1);
            tracing::debug!(target: "node_list", address = %self.source.address,
                "endpoint list call abandoned for a further one");
        }
        self.source.clock.watch_opened(context.clock.now());
        context.state.count(|counts| counts.opened += 1);
        tracing::debug!(target: "node_list", address = %self.source.address, since = self.source.version.get(),
            unheard_ms = context.state.unheard_for().as_millis() as u64, "endpoint list watch opened");
        self.watching = Some(Box::pin(watch(context.clone(), self.source.clone())));
    }

    fn close(&mut self, context: &EndpointListContext, error: WatchError) -> LostWatch {
        self.watching = None;
        let clock = &self.source.clock;
        let (now, established) = (context.clock.now(), clock.is_established());
        let truncated = !established && clock.is_incomplete();
        clock.watch_lost(now, context.random.borrow_mut().f64());
        context.state.count(|counts| match established {
            true => counts.lost += 1,
            false => counts.failed += 1,
        });
        let open_for = Duration::from_nanos(now.saturating_sub(clock.opened_at()));
        LostWatch { error, established, truncated, open_for, losses: clock.losses() }
    }
}
