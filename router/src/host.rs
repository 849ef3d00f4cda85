//! What ties the core to the sockets: it hands the core the time and what happened, and carries out its
//! orders. All tasks run on one thread; the core is borrowed only between two awaits, never across one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use rustc_hash::FxHashMap;
use tallypin::api::{Nanos, RequestId, SettingsError};
use tallypin::deployment::Deployment;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::AbortHandle;

use crate::clients::Clients;
use crate::config::Config;
use crate::core::{AnswerCause, Core, FinalAnswer, Instruction, NewRequest, RequestSummary};
use crate::dialect::{Dialect, Event};
use crate::endpoint_list;
use crate::limits::Limits;
use crate::outward::Outward;
use crate::peers::{self, Peers};
use crate::replica::{self, ReplicaPool};
use crate::request_ids::{RequestIdGuard, RequestIds};
use crate::shutdown::{Lifecycle, Stage};

/// The module's clock: monotonic, and set to Unix time once at the start. So the starting times of model
/// nodes, which are Unix time, can be compared with it, and no step of the system's clock reaches it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    unix: Nanos,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_nanos() as Nanos, start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Nanos {
        self.at(Instant::now())
    }

    /// The time of an instant.
    pub fn at(&self, instant: Instant) -> Nanos {
        self.unix + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    /// The instant of a time.
    pub fn instant(&self, at: Nanos) -> Instant {
        // A year is as good as never, and keeps clear of what an instant can hold.
        let ahead = at.saturating_sub(self.unix).min(31_536_000_000_000_000);
        self.start + Duration::from_nanos(ahead)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// What a front hears of a request after it was submitted.
#[derive(Debug, Clone, PartialEq)]
pub enum ResponseEvent {
    /// Whole events as they came, and what they say.
    Data(Bytes, Vec<Event>),
    /// The final answer; nothing follows.
    End(FinalAnswer),
}

/// What a model node gets of a request.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The client's name for the request.
    pub id: Bytes,
    /// The method.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// The body, counted among those held.
    pub body: BufferedBody,
    /// The client's idempotency key: a model node that has seen it drops the repeat.
    pub idempotency_key: Option<Bytes>,
    /// The front wants the text of events, not only their bytes.
    pub text: bool,
    /// Where its client is, where a balancer says so; for the log.
    pub client: Option<SocketAddr>,
}

/// A part of the budget for bodies, given back when it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    size: usize,
    budget: Rc<Cell<usize>>,
}

impl BodyReservation {
    /// Takes more, up to so much in all, if there is so much left.
    pub fn grow(&mut self, to: usize) -> bool {
        let more = to.saturating_sub(self.size);
        let Some(left) = self.budget.get().checked_sub(more) else { return false };
        self.budget.set(left);
        self.size += more;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.set(self.budget.get() + self.size);
    }
}

/// A body, and its part of the budget.
#[derive(Debug)]
pub struct BufferedBody {
    /// The body.
    pub bytes: Bytes,
    /// Its part of the budget.
    pub reserved: BodyReservation,
}

/// A client that waits for its answer.
struct WaitingRequest {
    /// Its name for the request, for the log.
    name: Bytes,
    /// What attempts need, until one of them has begun the answer.
    pending: Option<PendingStart>,
}

/// What an attempt needs to begin.
struct PendingStart {
    events: mpsc::Sender<ResponseEvent>,
    request: Rc<UpstreamRequest>,
}

/// One running router.
pub struct Host {
    /// The deployment.
    pub deployment: Deployment,
    /// The limits.
    pub limits: Limits,
    /// The clock.
    pub clock: Clock,
    /// The model nodes and the connections to them.
    pub replicas: ReplicaPool,
    /// The way to the other routers.
    pub peers: Option<Peers>,
    /// How far the end has come.
    pub lifecycle: Lifecycle,
    /// Where the node list is; a new configuration may name another place.
    pub endpoint_list_address: watch::Sender<SocketAddr>,
    /// Asks for a watch of the node list.
    pub endpoint_list_requested: Notify,
    /// What balancers in front are told with ordinary answers.
    pub outward: Rc<Outward>,
    /// When the node list has said something last, a sign of life included.
    endpoint_list_heard_at: Cell<Option<Instant>>,
    /// The client connections.
    pub clients: Rc<Clients>,
    /// The clients' names for requests that are open or were of late.
    pub request_ids: RequestIds,
    /// Events that no dialect names, skipped.
    pub unknown_events: Cell<u64>,
    core: RefCell<Core>,
    waiting: RefCell<FxHashMap<RequestId, WaitingRequest>>,
    attempts: RefCell<FxHashMap<(RequestId, u32), AbortHandle>>,
    body_budget: Rc<Cell<usize>>,
    /// The seed, and how many requests were given a name.
    id_source: (u64, Cell<u64>),
    /// What chance decides beside the module.
    random: RefCell<fastrand::Rng>,
    next_timer: Cell<Option<Nanos>>,
    timer_changed: Notify,
}

impl Host {
    /// A router by a configuration, with model nodes of this dialect. Its tasks are started by
    /// [`crate::front::serve`] and its like.
    pub fn new(config: Config, nodes: Dialect, peers: Option<Peers>) -> Result<Rc<Host>, SettingsError> {
        let Config { seed, deployment, limits, node_list, .. } = config;
        let slack = limits.slack.as_nanos() as Nanos;
        Ok(Rc::new(Host {
            core: RefCell::new(Core::new(deployment.decisions.clone(), seed, slack)?),
            clock: Clock::new(),
            replicas: ReplicaPool::new(nodes, &limits),
            peers,
            lifecycle: Lifecycle::new(),
            endpoint_list_address: watch::Sender::new(node_list),
            endpoint_list_requested: Notify::new(),
            outward: Rc::default(),
            endpoint_list_heard_at: Cell::new(None),
            clients: Clients::new(limits.clients, limits.silent_client),
            request_ids: RequestIds::new(limits.late_names),
            unknown_events: Cell::new(0),
            waiting: RefCell::default(),
            attempts: RefCell::default(),
            body_budget: Rc::new(Cell::new(limits.bodies)),
            id_source: (seed, Cell::new(0)),
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
            next_timer: Cell::new(None),
            timer_changed: Notify::new(),
            deployment,
            limits,
        }))
    }

    /// Does something with the core, now, and carries out what follows.
    pub fn with<R>(self: &Rc<Self>, does: impl FnOnce(&mut Core, Nanos) -> R) -> R {
        let (result, orders) = self.ask(does);
        self.execute(orders);
        result
    }

    fn ask<R>(&self, does: impl FnOnce(&mut Core, Nanos) -> R) -> (R, Vec<Instruction>) {
        let mut core = self.core.borrow_mut();
        let result = does(&mut core, self.clock.now());
        let due = core.next_timer();
        if due != self.next_timer.replace(due) {
            self.timer_changed.notify_one();
        }
        (result, core.take_instructions())
    }

    /// Sets a part of the budget for bodies aside, if there is so much left.
    pub fn reserve_body(&self, size: usize) -> Option<BodyReservation> {
        self.body_budget.set(self.body_budget.get().checked_sub(size)?);
        Some(BodyReservation { size, budget: self.body_budget.clone() })
    }

    /// The node list has said something.
    pub fn endpoint_list_heard(&self) {
        self.endpoint_list_heard_at.set(Some(Instant::now()));
    }

    /// For how long it has said nothing, if that is longer than a watch that stands would take.
    pub fn endpoint_list_silence(&self) -> Option<Duration> {
        let silent = self.endpoint_list_heard_at.get().unwrap_or(self.clock.start).elapsed();
        Some(silent).filter(|s| *s > self.limits.list_silence)
    }

    /// Whether it has said something since the start, and not too long ago.
    pub fn endpoint_list_is_fresh(&self) -> bool {
        self.endpoint_list_heard_at.get().is_some() && self.endpoint_list_silence().is_none()
    }

    /// What is left of the budget for bodies.
    pub fn body_budget_left(&self) -> usize {
        self.body_budget.get()
    }

    /// A name for a request whose client gives none. The seed is another at every start and router.
    pub fn generate_request_id(&self) -> String {
        self.id_source.1.set(self.id_source.1.get() + 1);
        format!("msg_{:016x}{:08x}", self.id_source.0, self.id_source.1.get())
    }

    /// A random number from 0 to 1.
    pub fn random(&self) -> f64 {
        self.random.borrow_mut().f64()
    }

    /// Whether another request may be opened.
    pub fn is_full(&self) -> bool {
        self.core.borrow().open_requests() >= self.limits.open
    }

    /// Submits a request, unless its name is another's. The ticket stands for the waiting client: dropped
    /// early, it has left.
    pub fn submit(self: &Rc<Self>, ask: NewRequest, prompt: UpstreamRequest) -> Option<RequestHandle> {
        let name = self.request_ids.reserve(&prompt.id)?;
        let (pieces, receiver) = mpsc::channel(self.limits.pieces);
        let (class, partner) = (ask.class.0 as usize, ask.tenant.0 as usize);
        // By these an operator counts what is read anew: hashes, as texts are the clients'.
        let (session, beginning) = (ask.session.map(|s| s.0), ask.prefix.map(|b| b.0));
        let (tokens, shared, left_ms) = (ask.prompt_tokens, ask.prefix_tokens, ask.time_left / 1_000_000);
        let (id, orders) = self.ask(|core, now| core.accept(now, ask));
        tracing::debug!(target: "request", request = id.0, name = %String::from_utf8_lossy(&prompt.id),
            class = self.deployment.classes.get(class).map_or("", |c| &c.name),
            partner = self.deployment.tenant_names.get(partner).map_or("", |p| p), client = prompt.client.map(tracing::field::display),
            session, beginning, tokens, shared, left_ms, "request taken");
        let unbegun = Some(PendingStart { events: pieces, request: Rc::new(prompt) });
        self.waiting.borrow_mut().insert(id, WaitingRequest { name: name.bytes(), pending: unbegun });
        self.execute(orders);
        Some(RequestHandle { host: self.clone(), id, _name: name, events: receiver })
    }

    fn execute(self: &Rc<Self>, orders: Vec<Instruction>) {
        for order in orders {
            match order {
                Instruction::StartAttempt(id, attempt, node, deadline) => {
                    let waiting = self.waiting.borrow();
                    let Some(w) = waiting.get(&id).and_then(|w| w.pending.as_ref()) else { continue };
                    let (pieces, prompt, text) = (w.events.clone(), Some(w.request.clone()), w.request.text);
                    tracing::debug!(target: "node", request = id.0, attempt, node = %self.replicas.name(node),
                        "attempt begun");
                    let run = replica::Attempt {
                        host: self.clone(),
                        id,
                        attempt,
                        node,
                        deadline,
                        prompt,
                        text,
                        pieces,
                    };
                    let task = tokio::task::spawn_local(run.run());
                    self.attempts.borrow_mut().insert((id, attempt), task.abort_handle());
                }
                Instruction::AbortAttempt(id, attempt, why) => {
                    if let Some(task) = self.attempts.borrow_mut().remove(&(id, attempt)) {
                        tracing::debug!(target: "node", request = id.0, attempt, ?why, "attempt closed");
                        task.abort();
                    }
                }
                Instruction::Finish(id, answer, summary) => {
                    let waiting = self.waiting.borrow_mut().remove(&id);
                    log_answer(id, waiting.as_ref().map(|w| &w.name[..]), answer, summary);
                    // The end of a begun stream follows its events, from the task that passes them on.
                    if let Some(PendingStart { events: pieces, .. }) = waiting.and_then(|w| w.pending) {
                        if matches!(answer, FinalAnswer::Rejected(..) | FinalAnswer::Failed { .. }) {
                            // Nothing was sent before it, so there is room.
                            let _ = pieces.try_send(ResponseEvent::End(answer));
                        }
                    }
                }
                Instruction::Probe(id) => {
                    tokio::task::spawn_local(replica::probe(self.clone(), id));
                }
                Instruction::WatchEndpoints => self.endpoint_list_requested.notify_one(),
                Instruction::SendReport(bytes) => {
                    // Whoever serves nothing new is no router to go to.
                    if let Some(peers) =
                        self.peers.as_ref().filter(|_| self.lifecycle.stage() < Stage::Closing)
                    {
                        peers.gossip(&bytes);
                    }
                }
            }
        }
    }

    /// A request is bound: its prompt is of no more use.
    pub fn release_upstream_request(&self, id: RequestId) {
        if let Some(waiting) = self.waiting.borrow_mut().get_mut(&id) {
            waiting.pending = None;
        }
    }

    /// An attempt's task is at its end.
    pub fn attempt_finished(&self, id: RequestId, attempt: u32) {
        self.attempts.borrow_mut().remove(&(id, attempt));
    }

    /// Starts what a router does beside its clients.
    pub fn start(self: &Rc<Self>) {
        tokio::task::spawn_local(self.clone().run_timers());
        tokio::task::spawn_local(peers::receive_gossip(self.clone()));
        tokio::task::spawn_local(endpoint_list::follow(self.clone()));
        let host = self.clone();
        tokio::task::spawn_local(async move {
            let mut every = tokio::time::interval(host.limits.idle_node / 16);
            loop {
                every.tick().await;
                host.replicas.close_expired();
            }
        });
    }

    /// Wakes the core whenever something falls due. Ends never.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let due = self.next_timer.get().map(|at| self.clock.instant(at));
            match due {
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
    let RequestSummary {
        cause,
        age,
        attempts,
        open_attempts: unsettled,
        may_have_run,
        failed_instead_of_rejected: withheld,
    } = summary;
    // Formatted only where a line is written.
    let (name, age_ms) = (name.unwrap_or_default().escape_ascii(), age / 1_000_000);
    if cause == AnswerCause::Shutdown {
        tracing::info!(target: "drain", request = id.0, %name, ?answer, age_ms, attempts, unsettled, may_have_run,
            "answered because the router ends");
    }
    if withheld && cause != AnswerCause::Shutdown {
        tracing::error!(target: "request", request = id.0, %name, ?cause, attempts,
            "was to be refused although it may have run; failed instead");
    }
    tracing::debug!(target: "request", request = id.0, %name, ?answer, ?cause, age_ms, attempts, unsettled,
        may_have_run, "final answer");
}

/// A client's place in the queue.
pub struct RequestHandle {
    host: Rc<Host>,
    id: RequestId,
    _name: RequestIdGuard,
    events: mpsc::Receiver<ResponseEvent>,
}

impl RequestHandle {
    /// What comes next. After the final answer, nothing does.
    pub async fn next(&mut self) -> Option<ResponseEvent> {
        self.events.recv().await
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.host.waiting.borrow_mut().remove(&self.id);
        self.host.with(|core, now| core.client_disconnected(now, self.id));
    }
}
