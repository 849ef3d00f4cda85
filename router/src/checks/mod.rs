//! What balancers in front ask, and what an operator orders: the listeners around `tallypin_health`, which
//! decides. Nothing here is started unless the settings say so.

pub mod agent;
mod context;
pub mod control;
pub mod grpc;
pub mod http;
mod listen;
pub mod signals;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Instant;

use tallypin_health::assessment::{Assessment, HealthAssessor, OperatorOrder, Signals};
use tallypin_health::checkers::{CheckProtocol, CheckerId, CheckerRegistry, CheckerStatus};
use tallypin_health::drain_sequence::{DrainGoal, DrainPhase, DrainSequence};
use tallypin_health::http_check::{envoy_fields, Component};
use tallypin_health::load_report::OrcaLoadReport;
use tallypin_health::Age;
use tokio::sync::watch;
use tokio::task::AbortHandle;

pub use context::CheckContext;

use crate::clients::Clients;
use crate::installation::{CheckSettings, HealthSettings, Installation};
use crate::outward::Outward;

/// What is told to balancers at any moment, and by whom they are told it. It knows nothing of requests.
pub struct Board {
    start: Instant,
    /// What the settings say of checks; they may change while it runs.
    checks: RefCell<Option<CheckSettings>>,
    /// Told when they have changed.
    changed: watch::Sender<u64>,
    health: RefCell<HealthSettings>,
    assessor: RefCell<HealthAssessor>,
    askers: RefCell<CheckerRegistry>,
    plan: RefCell<DrainSequence>,
    /// As measured last.
    signals: Cell<Signals>,
    most: Cell<u8>,
    order: Cell<OperatorOrder>,
    ending: Cell<bool>,
    now: watch::Sender<Assessment>,
    phase: watch::Sender<DrainPhase>,
    /// True once nothing is told any more.
    over: watch::Sender<bool>,
    report: RefCell<OrcaLoadReport>,
    parts: RefCell<Vec<Component>>,
    outward: Rc<Outward>,
    /// The names that services have, besides the empty one.
    services: Vec<String>,
    /// Check connections have a budget of their own, whatever clients hold.
    places: Rc<Clients>,
    /// Connections open at once, those told to close and the newest among them.
    most_places: usize,
    streams: Cell<usize>,
    answered: Cell<u64>,
    spoilt: Cell<u64>,
}

impl Board {
    /// A board that says *degraded, started a moment ago* until it is told more.
    pub fn new(installation: &Installation, outward: Rc<Outward>) -> Rc<Board> {
        let health = installation.health.clone();
        let assessor = HealthAssessor::new(health.figures);
        let checks = installation.checks.clone();
        let connections = checks.as_ref().map_or(0, |c| c.connections);
        let mut services = vec!["platform".to_string()];
        services.extend(installation.messages.is_some().then(|| "messages".to_string()));
        Rc::new(Board {
            start: Instant::now(),
            changed: watch::Sender::new(0),
            now: watch::Sender::new(assessor.current()),
            phase: watch::Sender::new(DrainPhase::Serving),
            over: watch::Sender::new(false),
            assessor: RefCell::new(assessor),
            askers: RefCell::new(CheckerRegistry::new(health.askers)),
            plan: RefCell::new(DrainSequence::new(health.drain)),
            signals: Cell::default(),
            most: Cell::new(100),
            order: Cell::new(OperatorOrder::Ready),
            ending: Cell::new(false),
            report: RefCell::default(),
            parts: RefCell::default(),
            outward,
            services,
            // Whoever has asked nothing for a moment makes room for one that may: 500 that connect and say
            // nothing keep no balancer out.
            places: Clients::new(connections, std::time::Duration::ZERO),
            most_places: connections + 2,
            streams: Cell::new(0),
            answered: Cell::new(0),
            spoilt: Cell::new(0),
            checks: RefCell::new(checks),
            health: RefCell::new(health),
        })
    }

    /// The age of the program, as decisions have it.
    pub fn age(&self) -> Age {
        self.start.elapsed()
    }

    /// The age at an instant.
    pub fn age_at(&self, at: Instant) -> Age {
        at.saturating_duration_since(self.start)
    }

    /// State, weight and cause now.
    pub fn assessment(&self) -> Assessment {
        *self.now.borrow()
    }

    /// The state, to be followed.
    pub fn follow(&self) -> watch::Receiver<Assessment> {
        self.now.subscribe()
    }

    /// The names of services, besides the empty one.
    pub fn services(&self) -> &[String] {
        &self.services
    }

    /// The load report now.
    pub fn report(&self) -> OrcaLoadReport {
        self.report.borrow().clone()
    }

    /// The parts of a verbose page.
    pub fn parts(&self) -> Vec<Component> {
        self.parts.borrow().clone()
    }

    /// Takes over other settings, as far as they can be while it runs.
    pub fn adopt(&self, installation: &Installation) {
        let health = &installation.health;
        self.assessor.borrow_mut().reconfigure(health.figures);
        self.askers.borrow_mut().reconfigure(health.askers);
        self.plan.borrow_mut().reconfigure(health.drain);
        let every = self.health().every;
        *self.health.borrow_mut() = HealthSettings { every, ..health.clone() };
        // Which listeners there are is decided at the start; where they are is not.
        let mut checks = self.checks.borrow_mut();
        if let (Some(old), Some(new)) = (checks.as_mut(), &installation.checks) {
            let (agent, http, grpc) = (old.agent, old.http, old.grpc);
            *old = CheckSettings { connections: old.connections, ..new.clone() };
            old.agent = agent.and(new.agent).or(agent);
            old.http = http.and(new.http).or(http);
            old.grpc = grpc.and(new.grpc).or(grpc);
        }
        drop(checks);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Something of the settings of checks.
    pub(crate) fn of_checks<R>(&self, get: impl FnOnce(&CheckSettings) -> R) -> Option<R> {
        self.checks.borrow().as_ref().map(get)
    }

    pub(crate) fn health(&self) -> HealthSettings {
        self.health.borrow().clone()
    }

    /// What was measured, and what is told in consequence.
    pub fn measured(&self, signals: Signals, report: OrcaLoadReport, parts: Vec<Component>) {
        *self.parts.borrow_mut() = parts;
        *self.report.borrow_mut() = report;
        self.signals.set(signals);
        self.assess(signals);
    }

    fn assess(&self, signals: Signals) {
        let signals = Signals {
            order: self.order.get(),
            max_weight: self.most.get(),
            shutting_down: self.ending.get(),
            ..signals
        };
        let told = self.assessor.borrow_mut().step(self.age(), &signals);
        self.outward.tell(told);
        // In the report that goes out with it, not in the next one.
        let weight = f64::from(told.weight) / 100.0;
        self.report.borrow_mut().named_metrics.insert("weight".into(), weight);
        let before = self.now.send_replace(told);
        if before.state != told.state {
            tracing::info!(target: "checks", state = %told.state, weight = told.weight,
                why = told.cause.description(), "state told to balancers");
        }
        let fields = self.of_checks(|c| {
            let envoy = if c.policy.envoy { envoy_fields(told.state) } else { "" };
            let load = c.report.map(|form| self.report.borrow().header_field(form)).unwrap_or_default();
            format!("{envoy}{load}")
        });
        self.outward.say(&fields.unwrap_or_default());
    }

    /// Someone has asked, and is told the state as it is now.
    pub fn asked(&self, ip: IpAddr, kind: CheckProtocol) {
        self.answered.set(self.answered.get() + 1);
        self.askers
            .borrow_mut()
            .record_check(self.age(), CheckerId { ip: ip.to_canonical(), protocol: kind });
    }

    /// A watcher has gone.
    pub fn left(&self, ip: IpAddr) {
        self.askers.borrow_mut().remove(CheckerId { ip: ip.to_canonical(), protocol: CheckProtocol::Watch });
    }

    /// A check that was none, or was not whole in time.
    pub fn spoilt(&self) {
        self.spoilt.set(self.spoilt.get() + 1);
    }

    /// Checks answered, and those that were none.
    pub fn checks(&self) -> (u64, u64) {
        (self.answered.get(), self.spoilt.get())
    }

    /// Waits until nothing is told any more.
    pub(crate) async fn ended(&self) {
        let _ = self.over.subscribe().wait_for(|over| *over).await;
    }

    /// Who has asked of late.
    pub fn askers(&self) -> Vec<CheckerStatus> {
        self.askers.borrow().statuses(self.age())
    }

    /// The operator's bound on the weight, 1 to 100.
    pub fn bound_weight(&self, most: u8) {
        self.most.set(most.clamp(1, 100));
    }

    /// The bound.
    pub fn bound(&self) -> u8 {
        self.most.get()
    }

    /// The operator's order.
    pub fn order(&self) -> OperatorOrder {
        self.order.get()
    }

    /// Something else is wanted of the router. False: too late.
    pub fn want(&self, wish: DrainGoal, order: OperatorOrder) -> bool {
        let now = self.age();
        if !self.plan.borrow_mut().set_goal(now, wish) {
            return false;
        }
        self.order.set(order);
        self.ending.set(wish == DrainGoal::Exit);
        let mut askers = self.askers.borrow_mut();
        match wish {
            DrainGoal::Serve => askers.cancel_drain(),
            _ => askers.begin_drain(now),
        }
        drop(askers);
        // Told from this moment on, not from the next measurement.
        self.assess(self.signals.get());
        self.phase.send_replace(self.plan.borrow().phase());
        true
    }

    /// The drain goes on.
    pub fn go_on(&self) -> DrainPhase {
        let now = self.age();
        let all_told = self.askers.borrow().all_notified(now);
        let phase = self.plan.borrow_mut().advance(now, all_told);
        self.phase.send_if_modified(|p| std::mem::replace(p, phase) != phase);
        phase
    }

    /// The phase of a drain.
    pub fn phase(&self) -> DrainPhase {
        self.plan.borrow().phase()
    }

    /// The phase, to be followed.
    pub fn phases(&self) -> watch::Receiver<DrainPhase> {
        self.phase.subscribe()
    }

    /// Whether the telling ended with someone untold.
    pub fn untold(&self) -> bool {
        self.plan.borrow().notify_timed_out()
    }
}

/// What was started, and where; dropped, it ends.
pub struct Listening {
    /// Agent checks.
    pub agent: Option<SocketAddr>,
    /// Checks over HTTP.
    pub http: Option<SocketAddr>,
    /// gRPC.
    pub grpc: Option<SocketAddr>,
    tasks: Vec<AbortHandle>,
    over: watch::Sender<bool>,
}

impl Listening {
    /// Ends it; when this returns its addresses are free.
    pub async fn stop(self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        while !self.tasks.iter().all(AbortHandle::is_finished) {
            tokio::task::yield_now().await;
        }
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.over.send_replace(true);
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Binds everything that the settings ask for and starts it; an address that is taken is an error, as a
/// balancer that can't ask would take the router for dead.
pub async fn start(context: &Rc<CheckContext>, board: &Rc<Board>) -> io::Result<Listening> {
    let (agent, http, grpc) = board
        .of_checks(|c| (c.agent.map(|a| a.listen), c.http, c.grpc.map(|g| g.listen)))
        .unwrap_or_default();
    let mut all =
        Listening { agent: None, http: None, grpc: None, tasks: Vec::new(), over: board.over.clone() };
    if let Some(at) = agent {
        let place = |c: &CheckSettings| c.agent.map(|a| a.listen);
        let (bound, task) = listen::start(context, board, at, place, agent::answer).await?;
        (all.agent, all.tasks) = (Some(bound), vec![task]);
    }
    if let Some(at) = http {
        let (bound, task) = listen::start(context, board, at, |c| c.http, http::answer).await?;
        all.http = Some(bound);
        all.tasks.push(task);
    }
    if let Some(at) = grpc {
        let place = |c: &CheckSettings| c.grpc.map(|g| g.listen);
        let (bound, task) = listen::start(context, board, at, place, grpc::answer).await?;
        all.grpc = Some(bound);
        all.tasks.push(task);
    }
    let measuring = signals::keep(context.clone(), board.clone());
    all.tasks.push(tokio::task::spawn_local(measuring).abort_handle());
    Ok(all)
}
