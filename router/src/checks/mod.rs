//! Health checks of balancers and orders of operators: the listeners and measurements around `tallypin_health`, which
//! makes the decisions. Nothing is started here unless the settings enable it.

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
use tallypin_health::Uptime;
use tokio::sync::watch;
use tokio::task::AbortHandle;

pub use context::CheckContext;

use crate::balancer_interface::BalancerInterface;
use crate::clients::Clients;
use crate::installation::{CheckSettings, HealthSettings, Installation};

/// The health of the router as balancers see it, the balancers that check it, and the drain in progress.
pub struct HealthMonitor {
    started_at: Instant,
    /// The settings of the checks. They may change at runtime.
    check_settings: RefCell<Option<CheckSettings>>,
    /// Incremented when the settings change.
    settings_version: watch::Sender<u64>,
    health_settings: RefCell<HealthSettings>,
    assessor: RefCell<HealthAssessor>,
    checkers: RefCell<CheckerRegistry>,
    drain: RefCell<DrainSequence>,
    /// The last measurement.
    signals: Cell<Signals>,
    /// The operator's limit on the weight, in percent.
    max_weight: Cell<u8>,
    operator_order: Cell<OperatorOrder>,
    shutting_down: Cell<bool>,
    assessment: watch::Sender<Assessment>,
    drain_phase: watch::Sender<DrainPhase>,
    /// True once checks are no longer answered.
    has_stopped: watch::Sender<bool>,
    load_report: RefCell<OrcaLoadReport>,
    components: RefCell<Vec<Component>>,
    balancer_interface: Rc<BalancerInterface>,
    /// The names of the services that checks can name. The empty name, of the router as a whole, is not included.
    services: Vec<String>,
    /// The check connections. Their limit is independent of the limit on client connections.
    connections: Rc<Clients>,
    /// Maximum number of open check connections, including those that were asked to close.
    max_open_connections: usize,
    open_streams: Cell<usize>,
    answered_checks: Cell<u64>,
    invalid_checks: Cell<u64>,
}

impl HealthMonitor {
    /// Creates the health of a router that has just started: *degraded* with the cause *slow start* until measured.
    pub fn new(installation: &Installation, balancer_interface: Rc<BalancerInterface>) -> Rc<HealthMonitor> {
        let health = installation.health.clone();
        let assessor = HealthAssessor::new(health.assessment_limits);
        let check_settings = installation.checks.clone();
        let max_connections = check_settings.as_ref().map_or(0, |c| c.max_connections);
        let mut services = vec!["platform".to_string()];
        services.extend(installation.messages.is_some().then(|| "messages".to_string()));
        Rc::new(HealthMonitor {
            started_at: Instant::now(),
            settings_version: watch::Sender::new(0),
            assessment: watch::Sender::new(assessor.current()),
            drain_phase: watch::Sender::new(DrainPhase::Serving),
            has_stopped: watch::Sender::new(false),
            assessor: RefCell::new(assessor),
            checkers: RefCell::new(CheckerRegistry::new(health.checker_limits)),
            drain: RefCell::new(DrainSequence::new(health.drain)),
            signals: Cell::default(),
            max_weight: Cell::new(100),
            operator_order: Cell::new(OperatorOrder::Ready),
            shutting_down: Cell::new(false),
            load_report: RefCell::default(),
            components: RefCell::default(),
            balancer_interface,
            services,
            // A connection without a check makes room for a new one at any time, so many silent connections can't keep a
            // balancer out.
            connections: Clients::new(max_connections, std::time::Duration::ZERO),
            max_open_connections: max_connections + 2,
            open_streams: Cell::new(0),
            answered_checks: Cell::new(0),
            invalid_checks: Cell::new(0),
            check_settings: RefCell::new(check_settings),
            health_settings: RefCell::new(health),
        })
    }

    /// Returns the time since the start of the program.
    pub fn uptime(&self) -> Uptime {
        self.started_at.elapsed()
    }

    /// Returns the time from the start of the program to an instant.
    pub fn uptime_at(&self, at: Instant) -> Uptime {
        at.saturating_duration_since(self.started_at)
    }

    /// Returns the current state, weight and cause.
    pub fn assessment(&self) -> Assessment {
        *self.assessment.borrow()
    }

    /// Subscribes to changes of the assessment.
    pub fn subscribe(&self) -> watch::Receiver<Assessment> {
        self.assessment.subscribe()
    }

    /// Returns the names of the services that checks can name, without the empty name of the router as a whole.
    pub fn services(&self) -> &[String] {
        &self.services
    }

    /// Returns the current load report.
    pub fn load_report(&self) -> OrcaLoadReport {
        self.load_report.borrow().clone()
    }

    /// Returns the components that a verbose health page lists.
    pub fn components(&self) -> Vec<Component> {
        self.components.borrow().clone()
    }

    /// Applies those settings that can change at runtime.
    pub fn apply_settings(&self, installation: &Installation) {
        let health = &installation.health;
        self.assessor.borrow_mut().reconfigure(health.assessment_limits);
        self.checkers.borrow_mut().reconfigure(health.checker_limits);
        self.drain.borrow_mut().reconfigure(health.drain);
        let interval = self.health_settings().interval;
        *self.health_settings.borrow_mut() = HealthSettings { interval, ..health.clone() };
        // The set of listeners is fixed at the start; their addresses are not.
        let mut check_settings = self.check_settings.borrow_mut();
        if let (Some(old), Some(new)) = (check_settings.as_mut(), &installation.checks) {
            let (agent, http, grpc) = (old.agent, old.http, old.grpc);
            *old = CheckSettings { max_connections: old.max_connections, ..new.clone() };
            old.agent = agent.and(new.agent).or(agent);
            old.http = http.and(new.http).or(http);
            old.grpc = grpc.and(new.grpc).or(grpc);
        }
        drop(check_settings);
        self.settings_version.send_modify(|n| *n += 1);
    }

    /// Reads a value from the settings of the checks; `None` if checks are not enabled.
    pub(crate) fn check_setting<R>(&self, get: impl FnOnce(&CheckSettings) -> R) -> Option<R> {
        self.check_settings.borrow().as_ref().map(get)
    }

    pub(crate) fn health_settings(&self) -> HealthSettings {
        self.health_settings.borrow().clone()
    }

    /// Records a measurement and updates the assessment.
    pub fn record_measurement(
        &self,
        signals: Signals,
        load_report: OrcaLoadReport,
        components: Vec<Component>,
    ) {
        *self.components.borrow_mut() = components;
        *self.load_report.borrow_mut() = load_report;
        self.signals.set(signals);
        self.assess(signals);
    }

    fn assess(&self, signals: Signals) {
        let signals = Signals {
            order: self.operator_order.get(),
            max_weight: self.max_weight.get(),
            shutting_down: self.shutting_down.get(),
            ..signals
        };
        let assessment = self.assessor.borrow_mut().step(self.uptime(), &signals);
        self.balancer_interface.set_assessment(assessment);
        // The load report carries the weight of the assessment that is published with it.
        let weight = f64::from(assessment.weight) / 100.0;
        self.load_report.borrow_mut().named_metrics.insert("weight".into(), weight);
        let before = self.assessment.send_replace(assessment);
        if before.state != assessment.state {
            tracing::info!(target: "checks", state = %assessment.state, weight = assessment.weight,
                why = assessment.cause.description(), "health state changed");
        }
        let fields = self.check_setting(|c| {
            let envoy = if c.http_policy.envoy { envoy_fields(assessment.state) } else { "" };
            let load =
                c.report_format.map(|form| self.load_report.borrow().header_field(form)).unwrap_or_default();
            format!("{envoy}{load}")
        });
        self.balancer_interface.set_response_fields(&fields.unwrap_or_default());
    }

    /// Records an answered check. The balancer has received the current state with the answer.
    pub fn record_check(&self, ip: IpAddr, kind: CheckProtocol) {
        self.answered_checks.set(self.answered_checks.get() + 1);
        self.checkers
            .borrow_mut()
            .record_check(self.uptime(), CheckerId { ip: ip.to_canonical(), protocol: kind });
    }

    /// Removes a balancer whose gRPC watch has ended.
    pub fn remove_watcher(&self, ip: IpAddr) {
        self.checkers
            .borrow_mut()
            .remove(CheckerId { ip: ip.to_canonical(), protocol: CheckProtocol::Watch });
    }

    /// Counts a check that was invalid or not complete in time.
    pub fn record_invalid_check(&self) {
        self.invalid_checks.set(self.invalid_checks.get() + 1);
    }

    /// Returns the numbers of answered and of invalid checks.
    pub fn check_counts(&self) -> (u64, u64) {
        (self.answered_checks.get(), self.invalid_checks.get())
    }

    /// Waits until checks are no longer answered.
    pub(crate) async fn stopped(&self) {
        let _ = self.has_stopped.subscribe().wait_for(|stopped| *stopped).await;
    }

    /// Returns the balancers that check this router, the most recent first.
    pub fn checkers(&self) -> Vec<CheckerStatus> {
        self.checkers.borrow().statuses(self.uptime())
    }

    /// Sets the operator's limit on the weight, 1 to 100 percent.
    pub fn set_max_weight(&self, percent: u8) {
        self.max_weight.set(percent.clamp(1, 100));
    }

    /// Returns the operator's limit on the weight, in percent.
    pub fn max_weight(&self) -> u8 {
        self.max_weight.get()
    }

    /// Returns the operator's last order.
    pub fn operator_order(&self) -> OperatorOrder {
        self.operator_order.get()
    }

    /// Sets the goal of the drain. Returns false if the router is already shutting down.
    pub fn set_drain_goal(&self, goal: DrainGoal, order: OperatorOrder) -> bool {
        let now = self.uptime();
        if !self.drain.borrow_mut().set_goal(now, goal) {
            return false;
        }
        self.operator_order.set(order);
        self.shutting_down.set(goal == DrainGoal::Exit);
        let mut checkers = self.checkers.borrow_mut();
        match goal {
            DrainGoal::Serve => checkers.cancel_drain(),
            _ => checkers.begin_drain(now),
        }
        drop(checkers);
        // The state is assessed now, so that balancers receive it before the next measurement.
        self.assess(self.signals.get());
        self.drain_phase.send_replace(self.drain.borrow().phase());
        true
    }

    /// Advances the drain and returns its phase.
    pub fn advance_drain(&self) -> DrainPhase {
        let now = self.uptime();
        let all_notified = self.checkers.borrow().all_notified(now);
        let phase = self.drain.borrow_mut().advance(now, all_notified);
        self.drain_phase.send_if_modified(|p| std::mem::replace(p, phase) != phase);
        phase
    }

    /// Returns the phase of the drain.
    pub fn drain_phase(&self) -> DrainPhase {
        self.drain.borrow().phase()
    }

    /// Subscribes to changes of the drain's phase.
    pub fn subscribe_drain_phase(&self) -> watch::Receiver<DrainPhase> {
        self.drain_phase.subscribe()
    }

    /// Whether the drain proceeded before all balancers were notified, because the notification time was over.
    pub fn notification_timed_out(&self) -> bool {
        self.drain.borrow().notify_timed_out()
    }
}

/// The running check listeners and their addresses. Dropping this stops them.
pub struct CheckListeners {
    /// Address for agent checks.
    pub agent: Option<SocketAddr>,
    /// Address for checks over HTTP.
    pub http: Option<SocketAddr>,
    /// Address for checks over gRPC.
    pub grpc: Option<SocketAddr>,
    tasks: Vec<AbortHandle>,
    has_stopped: watch::Sender<bool>,
}

impl CheckListeners {
    /// Stops the listeners. Their addresses are free when this returns.
    pub async fn stop(self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        while !self.tasks.iter().all(AbortHandle::is_finished) {
            tokio::task::yield_now().await;
        }
    }
}

impl Drop for CheckListeners {
    fn drop(&mut self) {
        self.has_stopped.send_replace(true);
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Starts the configured check listeners and the periodic measurements.
///
/// An address that can't be bound is an error: a balancer that can't reach the checks would consider the router down.
pub async fn start(
    context: &Rc<CheckContext>,
    health_monitor: &Rc<HealthMonitor>,
) -> io::Result<CheckListeners> {
    let (agent, http, grpc) = health_monitor
        .check_setting(|c| (c.agent.map(|a| a.listen), c.http, c.grpc.map(|g| g.listen)))
        .unwrap_or_default();
    let mut listeners = CheckListeners {
        agent: None,
        http: None,
        grpc: None,
        tasks: Vec::new(),
        has_stopped: health_monitor.has_stopped.clone(),
    };
    if let Some(address) = agent {
        let address_of = |c: &CheckSettings| c.agent.map(|a| a.listen);
        let (bound, task) =
            listen::start(context, health_monitor, address, address_of, agent::answer).await?;
        (listeners.agent, listeners.tasks) = (Some(bound), vec![task]);
    }
    if let Some(address) = http {
        let (bound, task) = listen::start(context, health_monitor, address, |c| c.http, http::answer).await?;
        listeners.http = Some(bound);
        listeners.tasks.push(task);
    }
    if let Some(address) = grpc {
        let address_of = |c: &CheckSettings| c.grpc.map(|g| g.listen);
        let (bound, task) = listen::start(context, health_monitor, address, address_of, grpc::answer).await?;
        listeners.grpc = Some(bound);
        listeners.tasks.push(task);
    }
    let measuring = signals::measure_periodically(context.clone(), health_monitor.clone());
    listeners.tasks.push(tokio::task::spawn_local(measuring).abort_handle());
    Ok(listeners)
}
