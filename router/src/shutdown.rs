//! Graceful shutdown. After SIGTERM, new clients are still served for a grace period. Then the listeners and idle connections
//! close, open requests are finished, and the program ends. [`crate::lifecycle`] holds the current stage.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tallypin::api::Nanos;
use tallypin_health::assessment::OperatorOrder;
use tallypin_health::drain_sequence::{DrainGoal, DrainPhase};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{sleep, timeout, timeout_at};

use crate::checks::{signals, HealthMonitor};
use crate::components::Components;
use crate::lifecycle::Stage;

/// Handlers of SIGTERM and SIGINT. They are installed before the router listens, so that no signal can end the program while
/// it has accepted clients.
#[derive(Debug)]
pub struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// Returns an error if the system does not permit it.
    pub fn new() -> io::Result<ShutdownSignals> {
        Ok(ShutdownSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal. Cancel-safe: a signal is kept until it is received.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Shuts the router down after a signal, and returns when all requests are finished. With a health monitor, balancers are
/// notified first, and an operator's order can start the shutdown as well.
pub async fn shut_down_on_signal(
    components: Rc<Components>,
    health_monitor: Option<Rc<HealthMonitor>>,
    mut termination: ShutdownSignals,
) {
    let Some(health_monitor) = health_monitor else {
        termination.received().await;
        tokio::select! {
            () = drain(&components) => {}
            () = log_further_signals(&mut termination) => {}
        }
        return;
    };
    tokio::select! {
        () = termination.received() => {
            notify_balancers(&components, &health_monitor, &mut termination).await;
        }
        () = wait_until_listeners_may_close(&health_monitor) => {}
    }
    finish_drain(&components, &health_monitor).await;
}

/// Notifies balancers of the shutdown, and waits until the listeners may close. A second signal ends the wait: until then no
/// request is lost.
async fn notify_balancers(
    components: &Components,
    health_monitor: &HealthMonitor,
    termination: &mut ShutdownSignals,
) {
    tracing::info!(target: "drain", balancers = health_monitor.checkers().len(), "shutdown signal received");
    health_monitor.set_drain_goal(DrainGoal::Exit, OperatorOrder::Drain);
    signals::apply_drain_phase(&components.lifecycle, health_monitor.drain_phase());
    tokio::select! {
        () = wait_until_listeners_may_close(health_monitor) => {}
        () = termination.received() => {
            tracing::warn!(target: "drain", "second shutdown signal received: closing the listeners now");
        }
    }
}

/// Logs further shutdown signals, which have no effect. Never returns.
async fn log_further_signals(termination: &mut ShutdownSignals) {
    loop {
        termination.received().await;
        tracing::info!(target: "drain", "further shutdown signal received: already shutting down");
    }
}

/// Waits until the listeners may close in a drain that balancers are notified of, and finishes the drain.
pub async fn wait_and_finish_drain(components: &Rc<Components>, health_monitor: &HealthMonitor) {
    wait_until_listeners_may_close(health_monitor).await;
    finish_drain(components, health_monitor).await;
}

async fn wait_until_listeners_may_close(health_monitor: &HealthMonitor) {
    // Fails only if the health monitor was dropped, but it outlives this call.
    let _ = health_monitor.subscribe_drain_phase().wait_for(|phase| *phase == DrainPhase::ShuttingDown).await;
}

/// Waits until no client connection is open.
async fn wait_until_clients_closed(components: &Components) {
    while components.clients.open() > 0 {
        components.clients.connection_closed().await;
    }
}

/// Finishes a drain of which balancers have been notified, from the closing of the listeners on.
async fn finish_drain(components: &Components, health_monitor: &HealthMonitor) {
    let open_requests = components.with_core(|core, _| core.open_requests());
    tracing::info!(target: "drain", clients = components.clients.open(), open_requests,
        balancers_not_notified = health_monitor.notification_timed_out(), "closing the listeners");
    components.lifecycle.enter(Stage::Closing);
    sleep(components.limits.final_read_duration * 2).await;
    let drain_time = components.limits.drain_time;
    components.with_core(|core, now| core.require_answers_to_end_by(add_duration(now, drain_time)));
    if timeout(components.limits.drain_time, wait_until_clients_closed(components)).await.is_err() {
        let clients = components.clients.open();
        tracing::warn!(target: "drain", clients, "shutting down with clients that have not finished");
        answer_open_requests(components, 0);
        let _ = timeout(components.limits.close_linger, wait_until_clients_closed(components)).await;
    }
}

/// Whether clients have no other router to connect to, in a deployment whose clients resume broken streams. Clients are then
/// served on their open connections for as long as streams can still finish. Guards against a rolling restart that stops the
/// last router before the previous one has returned.
fn is_last_router(components: &Components) -> bool {
    let silence_limit = components.limits.peer_silence_timeout;
    let silent = components.peers.as_ref().is_some_and(|peers| !peers.received_within(silence_limit));
    let is_only_router = components.deployment.decision_settings.router_count == 1;
    components.deployment.resumes_streams && (is_only_router || silent)
}

/// Runs the shutdown through all stages, without balancers to notify.
pub async fn drain(components: &Rc<Components>) {
    let limits = &components.limits;
    let started_at = components.clock.now();
    components.lifecycle.enter(Stage::Grace);
    let last_router = is_last_router(components);
    let grace = if last_router { limits.lone_router_shutdown_grace } else { limits.shutdown_grace };
    let accepted = || components.with_core(|core, _| core.counts().accepted);
    let accepted_before = accepted();
    let grace_ms = grace.as_millis() as u64;
    tracing::info!(target: "drain", grace_ms, last_router, "shutdown begun");
    sleep(grace).await;
    let accepted_since = accepted() - accepted_before;
    tracing::info!(target: "drain", accepted_since, "grace time over, closing the listeners");
    components.lifecycle.enter(Stage::Closing);
    // Requests in transit when the listeners closed have arrived after this time.
    sleep(limits.final_read_duration * 2).await;
    let forwarding_end = add_duration(started_at, limits.forwarding_end_after_stop);
    components.with_core(|core, _| core.require_answers_to_end_by(forwarding_end));
    let mut finished = std::pin::pin!(wait_until_clients_closed(components));
    if timeout_at(components.clock.instant(forwarding_end).into(), &mut finished).await.is_err() {
        answer_open_requests(components, add_duration(started_at, limits.late_arrival_after_stop));
        let _ = timeout(limits.drain_time, finished).await;
    }
}

fn add_duration(at: Nanos, time: Duration) -> Nanos {
    at.saturating_add(time.as_nanos() as Nanos)
}

/// Answers the requests without a response before the process is killed or ends; requests still being read are rejected.
/// Streams of requests accepted after `interrupt_after` are interrupted if clients resume streams at another router.
fn answer_open_requests(components: &Components, interrupt_after: Nanos) {
    components.lifecycle.enter(Stage::Rejecting);
    let open_requests = components.with_core(|core, _| core.open_requests());
    tracing::info!(target: "drain", clients = components.clients.open(), open_requests,
        "answering requests without a response");
    let interrupt_after = components.deployment.resumes_streams.then_some(interrupt_after);
    components.with_core(|core, now| core.answer_for_shutdown(now, interrupt_after));
}
