//! One source of the endpoint list, and the watch on it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tallypin::api::ListUpdate;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use super::context::EndpointListContext;
use super::message::EndpointListMessage;
use super::or_pending;
use super::watch::{watch, WatchError};
use super::watch_clock::{WatchClock, WatchStep, WatchTimeouts};

/// A source of the endpoint list. Versions of different sources are unrelated.
pub(super) struct ListSource {
    pub address: SocketAddr,
    /// The version last applied from this source.
    pub version: Cell<Option<u64>>,
    /// Whether older versions sent by this source have been logged. Reset when a message is accepted.
    pub older_reported: Cell<bool>,
    /// The source that this one replaces with its first message.
    pub predecessor: RefCell<Option<Rc<ListSource>>>,
    /// Whether another source has replaced this one. Messages of this source are then outdated.
    pub superseded: Cell<bool>,
    /// Notified when a message of this source has been applied.
    pub answered: Notify,
    /// Notified when another timeout applies to the watch, as that may expire sooner.
    pub timeouts_changed: Notify,
    pub clock: WatchClock,
}

impl ListSource {
    /// Whether a message can be applied. A full list always can, as the versions of a source may restart. Changes older than the
    /// known version cannot, as they would undo later ones.
    pub fn is_applicable(&self, message: &EndpointListMessage) -> bool {
        message.full || self.version.get().is_none_or(|known| message.version >= known)
    }

    /// Prepares for applying a message: records its version, and marks the predecessor as superseded.
    pub fn accept(&self, message: &EndpointListMessage) {
        self.older_reported.set(false);
        if let Some(predecessor) = self.predecessor.take() {
            predecessor.superseded.set(true);
        }
        self.version.set(Some(message.version));
    }
}

/// A watch that was lost, or a call that failed before a watch was established.
#[derive(Debug)]
pub(super) struct LostWatch {
    /// The reason for the loss.
    pub error: WatchError,
    /// Whether the watch had been established.
    pub established: bool,
    /// Whether the call was lost in the middle of its response, before the watch was established.
    pub truncated: bool,
    /// Time since the watch was opened.
    pub open_for: Duration,
    /// Number of watches lost since the last message or keep-alive, including this one.
    pub losses: u32,
}

impl LostWatch {
    /// The update that reports the loss to the decision module.
    pub fn update(&self) -> ListUpdate {
        match &self.error {
            _ if self.truncated => ListUpdate::Truncated,
            WatchError::Silent if self.established => ListUpdate::Silent,
            error if !self.established && error.is_answer() => ListUpdate::TurnedAway,
            _ => ListUpdate::Failed,
        }
    }
}

/// A running watch, which resolves to the reason for its loss.
type WatchFuture = Pin<Box<dyn Future<Output = WatchError>>>;

/// A source, and the watch on it if there is one.
pub(super) struct SourceWatch {
    pub source: Rc<ListSource>,
    watch: Option<WatchFuture>,
}

impl SourceWatch {
    /// Creates a source without a watch. `predecessor` is the source that this one replaces with its first message.
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
        SourceWatch { source: Rc::new(source), watch: None }
    }

    /// Opens the watch when its clock requires it and runs it until it is lost. Cancel-safe: the watch is kept in `self`, and the
    /// next call continues it.
    pub async fn run(&mut self, context: &Rc<EndpointListContext>) -> LostWatch {
        let error = loop {
            let clock = &self.source.clock;
            match clock.next_step(context.clock.now()) {
                WatchStep::Open => self.open(context),
                WatchStep::Abandon => break WatchError::Silent,
                WatchStep::Wait(until) => tokio::select! {
                    biased;
                    error = or_pending(self.watch.as_mut()) => break error,
                    () = self.source.timeouts_changed.notified() => {}
                    // Data that arrived in the meantime postpones the timeout, so the clock is queried again.
                    () = or_pending(until.map(|at| sleep_until(context.clock.instant(at).into()))) => {}
                },
            }
        };
        self.close(context, error)
    }

    /// Opens a watch. A current one is dropped: another watch was requested because it was not answered in time.
    fn open(&mut self, context: &Rc<EndpointListContext>) {
        if self.watch.take().is_some() {
            context.state.update_counts(|counts| counts.failed += 1);
            tracing::debug!(target: "node_list", address = %self.source.address,
                "endpoint list call not answered in time: replaced by a new call");
        }
        self.source.clock.watch_opened(context.clock.now());
        context.state.update_counts(|counts| counts.opened += 1);
        tracing::debug!(target: "node_list", address = %self.source.address, since = self.source.version.get(),
            unheard_ms = context.state.time_since_activity().as_millis() as u64, "endpoint list watch opened");
        self.watch = Some(Box::pin(watch(context.clone(), self.source.clone())));
    }

    fn close(&mut self, context: &EndpointListContext, error: WatchError) -> LostWatch {
        self.watch = None;
        let clock = &self.source.clock;
        let (now, established) = (context.clock.now(), clock.is_established());
        let truncated = !established && clock.is_incomplete();
        clock.watch_lost(now, context.random.borrow_mut().f64());
        context.state.update_counts(|counts| match established {
            true => counts.lost += 1,
            false => counts.failed += 1,
        });
        let open_for = Duration::from_nanos(now.saturating_sub(clock.opened_at()));
        LostWatch { error, established, truncated, open_for, losses: clock.losses() }
    }
}
