//! The endpoint list: the replicas of the deployment, watched at the discovery service. The decision module decides when to
//! request the list. A lost watch is reported to it, and the last known list remains in use.
//!
//! [`message`] defines the messages, [`object_reader`] splits the stream into them, [`watch_clock`] decides when a watch is
//! opened and abandoned, [`follow`] runs the watches, and [`fn@apply`] passes messages to the decision module and the
//! connection pool.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use tallypin::api::{EndpointListMode, ListUpdate};

use crate::limits::Limits;

mod apply;
mod context;
pub mod message;
pub mod object_reader;
mod source;
mod watch;
pub mod watch_clock;

pub use apply::apply;
pub use context::EndpointListContext;
pub use message::{EndpointListMessage, EndpointRecord};

use source::{LostWatch, SourceWatch};
use watch_clock::WatchTimeouts;

/// Awaits the future, or never resolves if it is `None`.
async fn or_pending<F: Future>(future: Option<F>) -> F::Output {
    match future {
        Some(future) => future.await,
        None => std::future::pending().await,
    }
}

/// The timeouts of the source in use, and of a source that will replace it.
struct SourceTimeouts {
    current: WatchTimeouts,
    next: WatchTimeouts,
}

impl SourceTimeouts {
    fn new(mode: EndpointListMode, limits: &Limits) -> SourceTimeouts {
        let polled = WatchTimeouts {
            answer: limits.list_response_timeout,
            stall: limits.list_message_stall_timeout,
            silence: limits.watch_silence_timeout,
            reconnect: None,
        };
        match mode {
            EndpointListMode::Pushed => {
                // Only this router calls its agent, so calls need no longer interval after repeated losses.
                let agent = WatchTimeouts {
                    answer: limits.agent_response_timeout,
                    reconnect: Some(limits.agent_backoff),
                    ..polled
                };
                SourceTimeouts { current: agent, next: agent }
            }
            EndpointListMode::Polled { .. } => {
                let next = WatchTimeouts { reconnect: Some(limits.list_call_interval), ..polled };
                SourceTimeouts { current: polled, next }
            }
        }
    }
}

/// Watches the list at the configured address whenever the decision module requests it. After a change of the address, the
/// former source stays in use until the new one has sent its first list. Where lists are pushed, a watch on the router's own
/// agent is opened at the start without a request: it puts no load on others, and the router counts as notified through it.
/// Never returns.
///
/// Each branch of the `select!` is cancel-safe: `Notify` keeps its permit, the address channel its newest value, and
/// `SourceWatch::run` its watch.
pub async fn follow(context: Rc<EndpointListContext>) {
    let timeouts = SourceTimeouts::new(context.deployment.decision_settings.list_mode, &context.limits);
    let mut address = context.state.address();
    let mut current = SourceWatch::new(*address.borrow_and_update(), timeouts.current, None);
    let mut next: Option<SourceWatch> = None;
    let mut next_turns_away = false;
    if context.deployment.decision_settings.list_mode == EndpointListMode::Pushed {
        current.source.clock.request_watch(context.clock.now());
    }
    loop {
        let next_source = next.as_ref().map(|next| next.source.clone());
        tokio::select! {
            biased;
            // This branch is polled first: a source that has answered has superseded the current one.
            () = or_pending(next_source.as_ref().map(|source| source.answered.notified())) => {
                if let Some(answered) = next.take() {
                    tracing::info!(target: "node_list", address = %answered.source.address, "endpoint list source changed");
                    answered.source.clock.set_timeouts(timeouts.current);
                    current = answered;
                }
            }
            moved = address.changed() => {
                // Fails only if the sender was dropped, but the context holds it.
                if moved.is_err() { return };
                next_turns_away = false;
                next = Some(create_next_source(&context, &current, *address.borrow_and_update(), timeouts.next));
            }
            lost = or_pending(next.as_mut().map(|next| next.run(&context))) => {
                let address = next_source.as_ref().map(|source| source.address);
                next_turns_away = lost.update() == ListUpdate::TurnedAway;
                log_lost(&context, address, &lost, "watch at the new endpoint list source lost, reconnecting");
            }
            // A new request means that the previous one has not been answered in time.
            () = context.state.wait_for_poll_request() => {
                tracing::debug!(target: "node_list", moving = next.is_some(), "endpoint list requested by the decision module");
                // The current source is called even while a new source is being contacted: until the new one answers, the
                // list can come only from the current one.
                current.source.clock.request_watch(context.clock.now());
            }
            lost = current.run(&context) => {
                log_lost(&context, Some(current.source.address), &lost, "endpoint list watch lost");
                let update = match lost.update() {
                    // The former address cannot be reached, but the service at the new one can.
                    ListUpdate::Failed if next_turns_away && next.is_some() && !lost.established => {
                        ListUpdate::TurnedAway
                    }
                    update => update,
                };
                context.dispatcher.with_core(|core, now| core.endpoints_changed(now, update, Vec::new()));
            }
        }
    }
}

/// Logs why a watch was lost, how long it was open, and the time since the last message of the list.
fn log_lost(context: &EndpointListContext, address: Option<SocketAddr>, lost: &LostWatch, message: &str) {
    let LostWatch { error, established, truncated, open_for, losses } = lost;
    tracing::warn!(target: "node_list", address = address.map(tracing::field::display), %error, established, truncated,
        open_ms = open_for.as_millis() as u64, losses,
        unheard_ms = context.state.time_since_activity().as_millis() as u64, "{message}");
}

/// Creates the source at a new address, which replaces `current` when it answers. It is called immediately, as the former
/// source may end soon, and is retried if it fails or does not answer in time.
fn create_next_source(
    context: &EndpointListContext,
    current: &SourceWatch,
    address: SocketAddr,
    timeouts: WatchTimeouts,
) -> SourceWatch {
    let next = SourceWatch::new(address, timeouts, Some(current.source.clone()));
    next.source.clock.request_watch(context.clock.now());
    next
}
