//! Runs the core: hands it the time and what has happened, carries out its instructions, and connects the client that waits
//! for a request to the attempt that answers it. All tasks run on one thread; the core is borrowed only between two
//! awaits, never across one. What the instructions need of sockets stands behind [`Executor`].

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use rustc_hash::FxHashMap;
use tallypin::api::{Nanos, PeerId, ReplicaId, RequestId, SettingsError};
use tallypin::deployment::Deployment;
use tokio::sync::{mpsc, Notify};
use tokio::task::AbortHandle;

use crate::body_budget::BufferedBody;
use crate::clock::Clock;
use crate::core::{AbortReason, AnswerCause, Core, FinalAnswer, Instruction, NewRequest, RequestSummary};
use crate::dialect::StreamEvent;
use crate::limits::Limits;
use crate::request_ids::{RequestIdGuard, RequestIds};

/// What a front hears of a request after it was submitted.
#[derive(Debug, Clone, PartialEq)]
pub enum ResponseEvent {
    /// Whole events as they came, and what they say.
    Data(Bytes, Vec<StreamEvent>),
    /// The final answer; nothing follows.
    End(FinalAnswer),
}

/// What a replica gets of a request.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The client's identifier of the request.
    pub id: Bytes,
    /// The method.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// The body, with its part of the memory for bodies.
    pub body: BufferedBody,
    /// The client's idempotency key: a replica that has seen it drops the repeat.
    pub idempotency_key: Option<Bytes>,
    /// The front wants the text of events, not only their bytes.
    pub text: bool,
    /// The client's address, where a balancer says it; for the log.
    pub client: Option<SocketAddr>,
}

/// An attempt that is to be started.
#[derive(Debug)]
pub struct AttemptStart {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, counted from 0.
    pub attempt: u32,
    /// At which replica.
    pub replica: ReplicaId,
    /// When the client gives up.
    pub deadline: Nanos,
    /// What to send.
    pub upstream: Rc<UpstreamRequest>,
    /// Where the attempt's events go once it is the one that streams.
    pub events: mpsc::Sender<ResponseEvent>,
}

/// What the core's instructions need of sockets. None of the calls may reach back into the dispatcher before it returns,
/// other than from a task that it spawns.
pub trait Executor {
    /// Spawns the task of an attempt. The task reports to the dispatcher; its handle aborts it.
    fn start_attempt(&self, dispatcher: &Rc<Dispatcher>, attempt: AttemptStart) -> AbortHandle;
    /// Spawns a health check of a replica.
    fn probe(&self, dispatcher: &Rc<Dispatcher>, replica: ReplicaId);
    /// Polls the endpoint list, or watches it anew.
    fn watch_endpoints(&self);
    /// Sends a load report to the other routers.
    fn send_report(&self, report: &[u8]);
    /// Sends a message to one other router.
    fn send_to_peer(&self, peer: PeerId, bytes: &[u8]);
}

/// A client that waits for its answer.
struct WaitingRequest {
    /// Its identifier, for the log.
    id: Bytes,
    /// What attempts need, until one of them streams.
    pending: Option<PendingStart>,
}

/// What an attempt needs to start.
struct PendingStart {
    events: mpsc::Sender<ResponseEvent>,
    upstream: Rc<UpstreamRequest>,
}

/// The task of an attempt, aborted when this is dropped; an attempt that has come to its end is released instead.
struct AttemptTask(Option<AbortHandle>);

impl AttemptTask {
    fn release(mut self) {
        self.0 = None;
    }
}

impl Drop for AttemptTask {
    fn drop(&mut self) {
        if let Some(task) = &self.0 {
            task.abort();
        }
    }
}

/// The names by which the log tells classes and tenants.
struct LogNames {
    classes: Vec<String>,
    tenants: Vec<String>,
}

/// The core of one running router, its clients that wait, and the tasks of its attempts.
pub struct Dispatcher {
    core: RefCell<Core>,
    clock: Clock,
    executor: Box<dyn Executor>,
    request_ids: Rc<RequestIds>,
    waiting: RefCell<FxHashMap<RequestId, WaitingRequest>>,
    attempts: RefCell<FxHashMap<(RequestId, u32), AttemptTask>>,
    names: LogNames,
    /// The most open requests.
    open_limit: usize,
    /// The most response events that wait for a slow client.
    event_limit: usize,
    next_timer: Cell<Option<Nanos>>,
    timer_changed: Notify,
}

impl Dispatcher {
    /// A core by a deployment's settings, whose instructions `executor` carries out.
    ///
    /// # Errors
    /// If the settings cannot be decided by.
    pub fn new(
        deployment: &Deployment,
        limits: &Limits,
        seed: u64,
        clock: Clock,
        request_ids: Rc<RequestIds>,
        executor: Box<dyn Executor>,
    ) -> Result<Rc<Dispatcher>, SettingsError> {
        let core = Core::new(deployment.decisions.clone(), seed, limits.deadline_slack.as_nanos() as Nanos)?;
        let classes = deployment.classes.iter().map(|c| c.name.clone()).collect();
        Ok(Rc::new(Dispatcher {
            core: RefCell::new(core),
            clock,
            executor,
            request_ids,
            waiting: RefCell::default(),
            attempts: RefCell::default(),
            names: LogNames { classes, tenants: deployment.tenant_names.clone() },
            open_limit: limits.max_open_requests,
            event_limit: limits.response_queue_length,
            next_timer: Cell::new(None),
            timer_changed: Notify::new(),
        }))
    }

    /// Does something with the core, now, and carries out what follows.
    pub fn with<R>(self: &Rc<Self>, use_core: impl FnOnce(&mut Core, Nanos) -> R) -> R {
        let (result, instructions) = self.advance(use_core);
        self.execute(instructions);
        result
    }

    fn advance<R>(&self, use_core: impl FnOnce(&mut Core, Nanos) -> R) -> (R, Vec<Instruction>) {
        let mut core = self.core.borrow_mut();
        let result = use_core(&mut core, self.clock.now());
        let next = core.next_timer();
        if next != self.next_timer.replace(next) {
            self.timer_changed.notify_one();
        }
        (result, core.take_instructions())
    }

    /// Whether there are as many open requests as there may be.
    pub fn is_full(&self) -> bool {
        self.core.borrow().open_requests() >= self.open_limit
    }

    /// Submits a request; `None` if its identifier is another's. The handle stands for the waiting client: dropped early, the
    /// client has left.
    pub fn submit(self: &Rc<Self>, request: NewRequest, upstream: UpstreamRequest) -> Option<RequestHandle> {
        let id_guard = self.request_ids.reserve(&upstream.id)?;
        let (events, receiver) = mpsc::channel(self.event_limit);
        let logged = request.clone();
        let (id, instructions) = self.advance(|core, now| core.accept(now, request));
        self.log_accepted(id, &logged, &upstream);
        let pending = Some(PendingStart { events, upstream: Rc::new(upstream) });
        self.waiting.borrow_mut().insert(id, WaitingRequest { id: id_guard.bytes(), pending });
        self.execute(instructions);
        Some(RequestHandle { dispatcher: self.clone(), id, _id_guard: id_guard, events: receiver })
    }

    /// The hashes of session and prefix let an operator count what is read anew; their texts are the clients'.
    fn log_accepted(&self, id: RequestId, request: &NewRequest, upstream: &UpstreamRequest) {
        let name = |names: &[String], index: u32| names.get(index as usize).cloned().unwrap_or_default();
        tracing::debug!(target: "request", request = id.0, name = %String::from_utf8_lossy(&upstream.id),
            class = name(&self.names.classes, request.class.0),
            tenant = name(&self.names.tenants, request.tenant.0),
            client = upstream.client.map(tracing::field::display),
            session = request.session.map(|s| s.0), prefix = request.prefix.map(|p| p.0),
            prompt_tokens = request.prompt_tokens, prefix_tokens = request.prefix_tokens,
            time_left_ms = request.time_left / 1_000_000, "request accepted");
    }

    fn execute(self: &Rc<Self>, instructions: Vec<Instruction>) {
        for instruction in instructions {
            match instruction {
                Instruction::StartAttempt { request, attempt, replica, deadline } => {
                    self.start_attempt(request, attempt, replica, deadline);
                }
                Instruction::AbortAttempt { request, attempt, reason } => {
                    self.abort_attempt(request, attempt, reason);
                }
                Instruction::Finish { request, answer, summary } => self.finish(request, answer, summary),
                Instruction::Probe(replica) => self.executor.probe(self, replica),
                Instruction::WatchEndpoints => self.executor.watch_endpoints(),
                Instruction::SendReport(report) => self.executor.send_report(&report),
                Instruction::SendToPeer { peer, bytes } => self.executor.send_to_peer(peer, &bytes),
            }
        }
    }

    fn start_attempt(self: &Rc<Self>, request: RequestId, attempt: u32, replica: ReplicaId, deadline: Nanos) {
        let waiting = self.waiting.borrow();
        let Some(pending) = waiting.get(&request).and_then(|w| w.pending.as_ref()) else { return };
        let (upstream, events) = (pending.upstream.clone(), pending.events.clone());
        let start = AttemptStart { request, attempt, replica, deadline, upstream, events };
        let task = self.executor.start_attempt(self, start);
        self.attempts.borrow_mut().insert((request, attempt), AttemptTask(Some(task)));
    }

    fn abort_attempt(&self, request: RequestId, attempt: u32, reason: AbortReason) {
        if let Some(task) = self.attempts.borrow_mut().remove(&(request, attempt)) {
            tracing::debug!(target: "node", request = request.0, attempt, ?reason, "attempt aborted");
            drop(task);
        }
    }

    fn finish(&self, request: RequestId, answer: FinalAnswer, summary: RequestSummary) {
        let waiting = self.waiting.borrow_mut().remove(&request);
        log_answer(request, waiting.as_ref().map(|w| &w.id[..]), answer, summary);
        // The end of a stream follows its events, from the task that passes them on.
        let Some(PendingStart { events, .. }) = waiting.and_then(|w| w.pending) else { return };
        if matches!(answer, FinalAnswer::Rejected { .. } | FinalAnswer::Failed { .. }) {
            // Nothing was sent before it, so there is room.
            let _ = events.try_send(ResponseEvent::End(answer));
        }
    }

    /// An attempt of the request streams: no other will need what replicas get of it, and its part of the memory for bodies
    /// is free again with the last attempt that has it.
    pub fn release_upstream_request(&self, id: RequestId) {
        if let Some(waiting) = self.waiting.borrow_mut().get_mut(&id) {
            waiting.pending = None;
        }
    }

    /// An attempt's task is at its end. It calls this itself, so it is not to be aborted by it.
    pub fn attempt_finished(&self, id: RequestId, attempt: u32) {
        if let Some(task) = self.attempts.borrow_mut().remove(&(id, attempt)) {
            task.release();
        }
    }

    /// Wakes the core whenever a timer of it is due. Never ends.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            match self.next_timer.get().map(|at| self.clock.instant(at)) {
                // Both branches are cancel-safe: a notice that comes meanwhile is kept for the next turn.
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => self.with(|core, now| core.run_timers(now)),
                    () = self.timer_changed.notified() => {}
                },
                None => self.timer_changed.notified().await,
            }
        }
    }
}

/// Logs a final answer: all of them at level `debug`, those that the router's own end forces at `info`.
fn log_answer(id: RequestId, name: Option<&[u8]>, answer: FinalAnswer, summary: RequestSummary) {
    let RequestSummary { cause, age, attempts, open_attempts, may_have_run, failed_instead_of_rejected } =
        summary;
    // Formatted only where a line is written.
    let (name, age_ms) = (name.unwrap_or_default().escape_ascii(), age / 1_000_000);
    if cause == AnswerCause::Shutdown {
        tracing::info!(target: "drain", request = id.0, %name, ?answer, age_ms, attempts, open_attempts,
            may_have_run, "request answered because the router is shutting down");
    }
    if failed_instead_of_rejected && cause != AnswerCause::Shutdown {
        tracing::error!(target: "request", request = id.0, %name, ?cause, attempts,
            "request failed instead of rejected: a replica may have run it");
    }
    tracing::debug!(target: "request", request = id.0, %name, ?answer, ?cause, age_ms, attempts, open_attempts,
        may_have_run, "final answer");
}

/// A client that waits for the answer to its request. Dropped before the final answer, the client has left.
pub struct RequestHandle {
    dispatcher: Rc<Dispatcher>,
    id: RequestId,
    _id_guard: RequestIdGuard,
    events: mpsc::Receiver<ResponseEvent>,
}

impl RequestHandle {
    /// What comes next; `None` after the final answer. Cancel-safe: an event that is not returned stays queued.
    pub async fn next(&mut self) -> Option<ResponseEvent> {
        self.events.recv().await
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.dispatcher.waiting.borrow_mut().remove(&self.id);
        self.dispatcher.with(|core, now| core.client_disconnected(now, self.id));
    }
}
