//! The endpoint list: which replicas there are, watched at the discovery service. When to ask for it is the decision
//! module's choice; a lost watch is reported to it, and what is known goes on being used.
//!
//! [`message`] has the form of the messages, [`object_reader`] cuts them out of the stream, [`watch_clock`] says when a
//! watch is opened and abandoned; [`follow`] drives the watches, and [`fn@apply`] gives their messages to the decisions and the
//! connections.

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

/// Waits for something, or for ever if there is nothing to wait for.
async fn or_pending<F: Future>(something: Option<F>) -> F::Output {
    match something {
        Some(something) => something.await,
        None => std::future::pending().await,
    }
}

/// The timeouts of the source in use, and of one that is to supersede it.
struct SourceTimeouts {
    current: WatchTimeouts,
    next: WatchTimeouts,
}

impl SourceTimeouts {
    fn new(mode: EndpointListMode, limits: &Limits) -> SourceTimeouts {
        let polled = WatchTimeouts {
            answer: limits.list_response_timeout,
            incomplete: limits.list_message_gap,
            silence: limits.watch_silence_timeout,
            reconnect: None,
        };
        match mode {
            EndpointListMode::Pushed => {
                // The agent is the router's own: no others call it, and it is called as often as ever.
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

/// Watches the list whenever the decisions ask for it, at the address that the configuration names. A former address is left
/// only when the new one has sent the whole list: until then its changes go on counting, and what is known goes on being
/// used. Where lists are pushed, a watch on the router's own agent costs nobody anything and counts as notification: there
/// is one from the start, whatever the decisions ask. Never ends.
///
/// Each arm of the `select!` is cancel-safe: notifications keep their permit, the address channel its newest value, and
/// `SourceWatch::run` its watch.
pub async fn follow(context: Rc<EndpointListContext>) {
    let timeouts = SourceTimeouts::new(context.deployment.decisions.list_mode, &context.limits);
    let mut address = context.state.address();
    let mut current = SourceWatch::new(*address.borrow_and_update(), timeouts.current, None);
    let mut next: Option<SourceWatch> = None;
    if context.deployment.decisions.list_mode == EndpointListMode::Pushed {
        current.source.clock.request_watch(context.clock.now());
    }
    loop {
        let next_source = next.as_ref().map(|next| next.source.clone());
        tokio::select! {
            biased;
            // First of all: a source that has answered has superseded the one before it.
            () = or_pending(next_source.as_ref().map(|source| source.answered.notified())) => {
                if let Some(answered) = next.take() {
                    tracing::info!(target: "node_list", address = %answered.source.address, "endpoint list source changed");
                    answered.source.clock.set_timeouts(timeouts.current);
                    current = answered;
                }
            }
            moved = address.changed() => {
                // It fails only when the sender is gone, and the context holds that.
                if moved.is_err() { return };
                next = Some(successor(&context, &current, *address.borrow_and_update(), timeouts.next));
            }
            lost = or_pending(next.as_mut().map(|next| next.run(&context))) => {
                let address = next_source.as_ref().map(|source| source.address);
                log_lost(&context, address, &lost, "watch at the new endpoint list source lost, reconnecting");
            }
            // A further request means that the last one has not been answered in good time.
            () = context.state.poll_requested() => {
                tracing::debug!(target: "node_list", moving = next.is_some(), "the decisions request the endpoint list");
                // Also while the list moves: until the new address answers, the former one may be the only one that does.
                current.source.clock.request_watch(context.clock.now());
            }
            lost = current.run(&context) => {
                log_lost(&context, Some(current.source.address), &lost, "endpoint list watch lost");
                let update = if lost.truncated { ListUpdate::Truncated } else { ListUpdate::Failed };
                context.dispatcher.with(|core, now| core.endpoints_changed(now, update, Vec::new()));
            }
        }
    }
}

/// Tells why a watch was lost, how long it lasted, and since when nothing is known of the list.
fn log_lost(context: &EndpointListContext, address: Option<SocketAddr>, lost: &LostWatch, message: &str) {
    let LostWatch { error, established, truncated, open_for, losses } = lost;
    tracing::warn!(target: "node_list", address = address.map(tracing::field::display), %error, established, truncated,
        open_ms = open_for.as_millis() as u64, losses,
        unheard_ms = context.state.unheard_for().as_millis() as u64, "{message}");
}

/// The source at a new address, to supersede `current` when it answers. It is called at once, as the former one may end
/// soon, and again soon if it fails: one that never answers is not waited for.
fn successor(
    context: &EndpointListContext,
    current: &SourceWatch,
    address: SocketAddr,
    timeouts: WatchTimeouts,
) -> SourceWatch {
    let next = SourceWatch::new(address, timeouts, Some(current.source.clone()));
    next.source.clock.request_watch(context.clock.now());
    next
}
