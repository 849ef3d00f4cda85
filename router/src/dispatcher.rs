//! Runs the core: passes it the time and all events, carries out its instructions, and connects each waiting client to the
//! attempt that answers its request. All tasks run on one thread, and the core is never borrowed across an await. Socket
//! operations are behind the [`Executor`] trait.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use rustc_hash::FxHashMap;
use tallypin::api::{Nanos, PeerId, ReplicaId, RequestId, SettingsError};
use tallypin::deployment::Deployment;
use tokio::sync::{mpsc, Notify};
use tokio::task::AbortHandle;

use crate::clock::Clock;
use crate::core::{AbortReason, AnswerCause, Core, FinalAnswer, Instruction, NewRequest, RequestSummary};
use crate::dialect::StreamEvent;
use crate::limits::Limits;
use crate::memory_budget::{BufferedBody, MemoryReservation};
use crate::request_ids::{RequestIdGuard, RequestIds};

/// An event of a submitted request, for its front.
#[derive(Debug, Clone, PartialEq)]
pub enum ResponseEvent {
    /// The bytes of one or more complete events as received, and their parsed form.
    Data(Bytes, Vec<StreamEvent>),
    /// The final answer; nothing follows.
    End(FinalAnswer),
}

/// An event on its way from an attempt to the front.
#[derive(Debug)]
pub struct QueuedEvent {
    /// The event.
    pub event: ResponseEvent,
    /// The memory of the event, unless it is small. It stays reserved until the front has handled the event.
    pub memory: Option<MemoryReservation>,
}

impl From<ResponseEvent> for QueuedEvent {
    fn from(event: ResponseEvent) -> QueuedEvent {
        QueuedEvent { event, memory: None }
    }
}

/// The request that is sent to a replica.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The request identifier, given by the client or generated for it.
    pub id: Bytes,
    /// The HTTP method.
    pub method: Bytes,
    /// The path and query.
    pub target: Bytes,
    /// The body, with its reservation in the body budget.
    pub body: BufferedBody,
    /// The client's idempotency key. A replica that has seen the key drops the repeated request.
    pub idempotency_key: Option<Bytes>,
    /// Whether the front needs the text of events in addition to their bytes.
    pub needs_event_text: bool,
    /// The client's address if a balancer passed it on; for the log.
    pub client_address: Option<SocketAddr>,
}

/// The data for starting an attempt.
#[derive(Debug)]
pub struct AttemptStart {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, counted from 0 within the request.
    pub attempt: u32,
    /// The replica that receives the attempt.
    pub replica: ReplicaId,
    /// The client's deadline, in nanoseconds of the router's clock.
    pub deadline: Nanos,
    /// Whether the answer is held back until it is complete.
    pub holds_answer: bool,
    /// The request to send.
    pub upstream: Rc<UpstreamRequest>,
    /// Receives the attempt's events if this attempt's stream goes to the client.
    pub events: mpsc::Sender<QueuedEvent>,
}

/// The socket operations that the core's instructions require. An implementation must not call the dispatcher before it
/// returns, except from a task that it spawns.
pub trait Executor {
    /// Spawns the task of an attempt, which reports to the dispatcher. The returned handle aborts it.
    fn start_attempt(&self, dispatcher: &Rc<Dispatcher>, attempt: AttemptStart) -> AbortHandle;
    /// Spawns a health check of a replica.
    fn probe(&self, dispatcher: &Rc<Dispatcher>, replica: ReplicaId);
    /// Polls the endpoint list, or restarts its watch.
    fn watch_endpoints(&self);
    /// Sends a load report to the other routers.
    fn send_report(&self, report: &[u8]);
    /// Sends a message to one other router.
    fn send_to_peer(&self, peer: PeerId, bytes: &[u8]);
}

/// A request whose client waits for its final answer.
struct WaitingRequest {
    /// The request identifier, for the log.
    id: Bytes,
    /// The data for starting further attempts; `None` once an attempt streams.
    pending: Option<PendingStart>,
}

/// The parts of an [`AttemptStart`] that all attempts of a request share.
struct PendingStart {
    events: mpsc::Sender<QueuedEvent>,
    upstream: Rc<UpstreamRequest>,
}

/// The task of an attempt. Dropping this aborts the task, unless it was detached because the attempt has ended.
struct AttemptTask(Option<AbortHandle>);

impl AttemptTask {
    fn detach(mut self) {
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

/// The names of classes and tenants, for the log.
struct LogNames {
    classes: Vec<String>,
    tenants: Vec<String>,
}

/// The core of one running router, its waiting clients, and the tasks of its attempts.
pub struct Dispatcher {
    core: RefCell<Core>,
    clock: Clock,
    executor: Box<dyn Executor>,
    request_ids: Rc<RequestIds>,
    waiting: RefCell<FxHashMap<RequestId, WaitingRequest>>,
    attempts: RefCell<FxHashMap<(RequestId, u32), AttemptTask>>,
    names: LogNames,
    /// Maximum number of open requests.
    max_open_requests: usize,
    /// Maximum number of response events queued for a slow client.
    response_queue_length: usize,
    next_timer: Cell<Option<Nanos>>,
    timer_changed: Notify,
}

impl Dispatcher {
    /// Creates a core from a deployment's settings. `executor` carries out its instructions.
    ///
    /// # Errors
    /// Returns an error if the decision module rejects the settings.
    pub fn new(
        deployment: &Deployment,
        limits: &Limits,
        seed: u64,
        clock: Clock,
        request_ids: Rc<RequestIds>,
        executor: Box<dyn Executor>,
    ) -> Result<Rc<Dispatcher>, SettingsError> {
        let core =
            Core::new(deployment.decision_settings.clone(), seed, limits.deadline_slack.as_nanos() as Nanos)?;
        let classes = deployment.classes.iter().map(|c| c.name.clone()).collect();
        Ok(Rc::new(Dispatcher {
            core: RefCell::new(core),
            clock,
            executor,
            request_ids,
            waiting: RefCell::default(),
            attempts: RefCell::default(),
            names: LogNames { classes, tenants: deployment.tenant_names.clone() },
            max_open_requests: limits.max_open_requests,
            response_queue_length: limits.response_queue_length,
            next_timer: Cell::new(None),
            timer_changed: Notify::new(),
        }))
    }

    /// Calls `use_core` with the core and the current time, and carries out the resulting instructions.
    pub fn with_core<R>(self: &Rc<Self>, use_core: impl FnOnce(&mut Core, Nanos) -> R) -> R {
        let (result, instructions) = self.call_and_take_instructions(use_core);
        self.execute(instructions);
        result
    }

    fn call_and_take_instructions<R>(
        &self,
        use_core: impl FnOnce(&mut Core, Nanos) -> R,
    ) -> (R, Vec<Instruction>) {
        let mut core = self.core.borrow_mut();
        let result = use_core(&mut core, self.clock.now());
        let next = core.next_timer();
        if next != self.next_timer.replace(next) {
            self.timer_changed.notify_one();
        }
        (result, core.take_instructions())
    }

    /// Whether the maximum number of requests is open.
    pub fn is_full(&self) -> bool {
        self.core.borrow().open_requests() >= self.max_open_requests
    }

    /// Submits a request. Returns `None` if its identifier is in use by another request. Dropping the handle before the final
    /// answer counts as a disconnect of the client.
    pub fn submit(self: &Rc<Self>, request: NewRequest, upstream: UpstreamRequest) -> Option<RequestHandle> {
        let id_guard = self.request_ids.reserve(&upstream.id)?;
        let (events, receiver) = mpsc::channel(self.response_queue_length);
        let logged = request.clone();
        let (id, instructions) = self.call_and_take_instructions(|core, now| core.accept(now, request));
        self.log_accepted(id, &logged, &upstream);
        let pending = Some(PendingStart { events, upstream: Rc::new(upstream) });
        self.waiting.borrow_mut().insert(id, WaitingRequest { id: id_guard.bytes(), pending });
        self.execute(instructions);
        Some(RequestHandle {
            dispatcher: self.clone(),
            id,
            _id_guard: id_guard,
            events: receiver,
            event_memory: None,
        })
    }

    /// Logs an accepted request. Session and prefix are logged as hashes: these let an operator count how often a prompt is
    /// processed again, without exposing the clients' text.
    fn log_accepted(&self, id: RequestId, request: &NewRequest, upstream: &UpstreamRequest) {
        let name = |names: &[String], index: u32| names.get(index as usize).cloned().unwrap_or_default();
        tracing::debug!(target: "request", request = id.0, name = %String::from_utf8_lossy(&upstream.id),
            class = name(&self.names.classes, request.class.0),
            tenant = name(&self.names.tenants, request.tenant.0),
            client = upstream.client_address.map(tracing::field::display),
            session = request.session.map(|s| s.0), prefix = request.prefix.map(|p| p.0),
            prompt_tokens = request.prompt_tokens, prefix_tokens = request.prefix_tokens,
            time_left_ms = request.time_left / 1_000_000, "request accepted");
    }

    fn execute(self: &Rc<Self>, instructions: Vec<Instruction>) {
        for instruction in instructions {
            match instruction {
                Instruction::StartAttempt { request, attempt, replica, deadline, holds_answer } => {
                    let waiting = self.waiting.borrow();
                    let pending = waiting.get(&request).and_then(|waiting| waiting.pending.as_ref());
                    let Some(PendingStart { events, upstream }) = pending else { continue };
                    let (events, upstream) = (events.clone(), upstream.clone());
                    drop(waiting);
                    self.start_attempt(AttemptStart {
                        request,
                        attempt,
                        replica,
                        deadline,
                        holds_answer,
                        upstream,
                        events,
                    });
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

    fn start_attempt(self: &Rc<Self>, start: AttemptStart) {
        let id = (start.request, start.attempt);
        let task = self.executor.start_attempt(self, start);
        self.attempts.borrow_mut().insert(id, AttemptTask(Some(task)));
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
        // For a stream, the attempt's task sends the end after the last event.
        let Some(PendingStart { events, .. }) = waiting.and_then(|w| w.pending) else { return };
        if matches!(answer, FinalAnswer::Rejected { .. } | FinalAnswer::Failed { .. }) {
            // The queue is empty: no event was sent before a rejection or failure.
            let _ = events.try_send(ResponseEvent::End(answer).into());
        }
    }

    /// Drops the upstream request once an attempt streams, as no further attempt will be started. Its body reservation is
    /// freed when the last attempt that uses it drops it.
    pub fn release_upstream_request(&self, id: RequestId) {
        if let Some(waiting) = self.waiting.borrow_mut().get_mut(&id) {
            waiting.pending = None;
        }
    }

    /// Forgets the task of an attempt that is about to end. The task calls this itself and is not aborted.
    pub fn attempt_finished(&self, id: RequestId, attempt: u32) {
        if let Some(task) = self.attempts.borrow_mut().remove(&(id, attempt)) {
            task.detach();
        }
    }

    /// Runs the core's timers when they are due. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            match self.next_timer.get().map(|at| self.clock.instant(at)) {
                // Both branches are cancel-safe: `Notify` keeps a notification for the next iteration.
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => self.with_core(|core, now| core.run_timers(now)),
                    () = self.timer_changed.notified() => {}
                },
                None => self.timer_changed.notified().await,
            }
        }
    }
}

/// Logs a final answer at level `debug`, and also at `info` if the router's shutdown caused it.
fn log_answer(id: RequestId, name: Option<&[u8]>, answer: FinalAnswer, summary: RequestSummary) {
    let RequestSummary { cause, age, attempts, open_attempts, may_have_run, failed_instead_of_rejected } =
        summary;
    // The name is formatted only if a line is written, as `escape_ascii` is lazy.
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

/// A client waiting for the answer to its request. Dropping it before the final answer counts as a disconnect.
pub struct RequestHandle {
    dispatcher: Rc<Dispatcher>,
    id: RequestId,
    _id_guard: RequestIdGuard,
    events: mpsc::Receiver<QueuedEvent>,
    /// The memory of the event that the front is handling.
    event_memory: Option<MemoryReservation>,
}

impl RequestHandle {
    /// Waits for the next event; `None` after the final answer. The event before must have been handled. Cancel-safe: an event
    /// that is not returned stays queued.
    pub async fn next(&mut self) -> Option<ResponseEvent> {
        self.event_memory = None;
        let QueuedEvent { event, memory } = self.events.recv().await?;
        self.event_memory = memory;
        Some(event)
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.dispatcher.waiting.borrow_mut().remove(&self.id);
        self.dispatcher.with_core(|core, now| core.client_disconnected(now, self.id));
    }
}
