//! The planned shutdown. On SIGTERM clients still come for a grace time and are served; then the listeners and idle
//! connections close, open requests are finished, and the program ends. How far it has come stands in
//! [`crate::lifecycle`].

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tallypin::api::Nanos;
use tallypin_health::assessment::OperatorOrder;
use tallypin_health::drain_sequence::{DrainGoal, DrainPhase};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{sleep, timeout, timeout_at};

use crate::checks::{signals, Board};
use crate::components::Components;
use crate::lifecycle::Stage;

/// SIGTERM and SIGINT, taken over before the router listens: one that came between the two would end the program under
/// the clients that it has accepted.
#[derive(Debug)]
pub struct Termination {
    terminate: Signal,
    interrupt: Signal,
}

impl Termination {
    /// Takes the signals over.
    ///
    /// # Errors
    /// If the system does not allow it.
    pub fn new() -> io::Result<Termination> {
        Ok(Termination {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next of them. Cancel-safe: a signal that nobody waits for is kept.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Shuts the router down after a signal, and returns when all requests are finished. With a board, balancers are notified
/// first, and an operator's order may begin the shutdown as well.
pub async fn on_signal(components: Rc<Components>, board: Option<Rc<Board>>, mut termination: Termination) {
    let Some(board) = board else {
        termination.received().await;
        tokio::select! {
            () = drain(&components) => {}
            () = log_further_signals(&mut termination) => {}
        }
        return;
    };
    tokio::select! {
        () = termination.received() => {
            notify_balancers(&components, &board, &mut termination).await;
        }
        () = listeners_may_close(&board) => {}
    }
    finish_drain(&components, &board).await;
}

/// Notifies balancers of the shutdown, and waits until the listeners may close. Until then nothing is lost, so a second signal
/// cuts it short.
async fn notify_balancers(components: &Components, board: &Board, termination: &mut Termination) {
    tracing::info!(target: "drain", balancers = board.askers().len(), "shutdown signal received");
    board.want(DrainGoal::Exit, OperatorOrder::Drain);
    signals::follow(&components.lifecycle, board.phase());
    tokio::select! {
        () = listeners_may_close(board) => {}
        () = termination.received() => {
            tracing::warn!(target: "drain", "second shutdown signal received: closing the listeners now");
        }
    }
}

/// Logs that the signal has come again: it changes nothing. Never ends.
async fn log_further_signals(termination: &mut Termination) {
    loop {
        termination.received().await;
        tracing::info!(target: "drain", "further shutdown signal received: already shutting down");
    }
}

/// Waits until a drain that balancers are notified of has come to the closing of the listeners, and finishes it.
pub async fn when_drained(components: &Rc<Components>, board: &Board) {
    listeners_may_close(board).await;
    finish_drain(components, board).await;
}

async fn listeners_may_close(board: &Board) {
    // It fails only when the board is gone, and that outlives this.
    let _ = board.phases().wait_for(|phase| *phase == DrainPhase::ShuttingDown).await;
}

/// Waits until no client connection is open.
async fn all_clients_closed(components: &Components) {
    while components.clients.open() > 0 {
        components.clients.connection_closed().await;
    }
}

/// The last part of a drain that balancers have been notified of.
async fn finish_drain(components: &Components, board: &Board) {
    let open_requests = components.with(|core, _| core.open_requests());
    tracing::info!(target: "drain", clients = components.clients.open(), open_requests,
        balancers_not_notified = board.untold(), "closing the listeners");
    components.lifecycle.enter(Stage::Closing);
    sleep(components.limits.final_read_time * 2).await;
    if timeout(components.limits.drain_time, all_clients_closed(components)).await.is_err() {
        let clients = components.clients.open();
        tracing::warn!(target: "drain", clients, "shutting down with clients that have not finished");
        answer_open_requests(components, 0);
        let _ = timeout(components.limits.close_linger, all_clients_closed(components)).await;
    }
}

/// Whether clients have no other router to go to. They are then served on the connections they have for as long as streams
/// may still end, if they ask for the rest of those that do not. Guards against a rolling restart that takes the last router
/// down before the one before it is back.
fn is_last_router(components: &Components) -> bool {
    let silence_limit = components.limits.peer_silence_timeout;
    let silent = components.peers.as_ref().is_some_and(|peers| !peers.received_within(silence_limit));
    let only_one = components.deployment.decisions.router_count == 1;
    components.deployment.resumes_streams && (only_one || silent)
}

/// Goes through the stages to the end, without balancers to notify.
pub async fn drain(components: &Rc<Components>) {
    let limits = &components.limits;
    let begun_at = components.clock.now();
    components.lifecycle.enter(Stage::Grace);
    let last_router = is_last_router(components);
    let grace = if last_router { limits.lone_router_shutdown_grace } else { limits.shutdown_grace };
    let accepted = || components.with(|core, _| core.counts().accepted);
    let accepted_before = accepted();
    let grace_ms = grace.as_millis() as u64;
    tracing::info!(target: "drain", grace_ms, last_router, "shutdown begun");
    sleep(grace).await;
    let accepted_since = accepted() - accepted_before;
    tracing::info!(target: "drain", accepted_since, "grace time over, closing the listeners");
    components.lifecycle.enter(Stage::Closing);
    // Whatever was under way when the listeners closed has been seen by then.
    sleep(limits.final_read_time * 2).await;
    let mut finished = std::pin::pin!(all_clients_closed(components));
    let until = components.clock.instant(after(begun_at, limits.forwarding_end_after_stop));
    if timeout_at(until.into(), &mut finished).await.is_err() {
        answer_open_requests(components, after(begun_at, limits.late_arrival_after_stop));
        let _ = timeout(limits.drain_time, finished).await;
    }
}

fn after(at: Nanos, time: Duration) -> Nanos {
    at.saturating_add(time.as_nanos() as Nanos)
}

/// The last step before the process is killed, or ends: answers the requests without a response, and has those that are still
/// being read rejected. Streams of requests accepted after `interrupt_after` are interrupted where clients ask another router
/// for the rest.
fn answer_open_requests(components: &Components, interrupt_after: Nanos) {
    components.lifecycle.enter(Stage::Rejecting);
    let open_requests = components.with(|core, _| core.open_requests());
    tracing::info!(target: "drain", clients = components.clients.open(), open_requests,
        "answering requests without a response");
    let interrupt_after = components.deployment.resumes_streams.then_some(interrupt_after);
    components.with(|core, now| core.answer_for_shutdown(now, interrupt_after));
}
