//! Runs one router process against clients and mock replicas: the process gets SIGTERM while clients go on sending
//! and replicas misbehave, and SIGKILL at the earliest moment that the protocol allows. The rules are then checked
//! only on what the clients and replicas observed. A [`Scenario`] says what happens; most are random and
//! reproducible by their seed.

mod client;
mod pauses;
mod process;
mod random_scenario;
mod replica;
mod rules;
mod scenario;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

pub use client::{Exchange, Outcome};
pub use replica::{ReplicaAttempt, ReplicaOutcome};
pub use rules::{Rule, Violation};
pub use scenario::{
    Change, ChangeKind, Class, Effect, Group, ReplicaBehaviour, ReplicaScenario, Scenario, Signal,
};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::harness_delay::record_max_delay;
use crate::mock_services::{MockEndpointList, ReservedAddress};
use pauses::{Pause, Pauses};
use process::Router;

/// Largest delay of the harness's own thread up to which rules about times are checked.
const MAX_HARNESS_DELAY: Duration = Duration::from_millis(60);
/// Time within which a router has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The results of one run.
#[derive(Debug)]
pub struct Report {
    /// The violated rules.
    pub violations: Vec<Violation>,
    /// Number of requests that clients sent.
    pub requests: usize,
    /// Number of attempts that replicas received completely.
    pub attempts_received: usize,
    /// Number of responses by status code.
    pub statuses: BTreeMap<u16, usize>,
    /// Number of attempts that reached a replica in the last part of the shutdown and whose connection the router
    /// closed.
    pub cancelled_late: usize,
    /// Number of requests without an outcome when the router was killed.
    pub open_at_kill: usize,
    /// The longest pause of the router process.
    pub longest_pause: Duration,
    /// The largest delay of the harness's own thread.
    pub max_harness_delay: Duration,
    /// Whether rules about times were checked.
    pub timing_checked: bool,
    /// Path of the router's log, deleted when the report is dropped.
    pub log: PathBuf,
    _dir: tempfile::TempDir,
}

/// State shared by all tasks of a run.
struct Run {
    scenario: Scenario,
    started: Instant,
    front: SocketAddr,
    /// Reading of the system's monotonic clock at `started`.
    started_monotonic: Duration,
    /// Whether clients send no further requests.
    clients_stopped: Cell<bool>,
    /// When the router became ready, since `started`.
    ready: Cell<Duration>,
    /// When the first SIGTERM was sent, since `started`.
    sigterm_at: Cell<Option<Duration>>,
    killed_at: Cell<Option<Duration>>,
    /// Pauses of the router between SIGSTOP and SIGCONT.
    signal_pauses: RefCell<Vec<Pause>>,
    exchanges: RefCell<Vec<Exchange>>,
    attempts: RefCell<Vec<ReplicaAttempt>>,
    /// Whether each replica is down.
    down: RefCell<Vec<bool>>,
    /// Announces the number of each replica that goes down.
    failures: watch::Sender<usize>,
    /// When the endpoint list first showed each draining replica as draining.
    draining_since: RefCell<BTreeMap<usize, Duration>>,
}

impl Run {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the current rows of the endpoint list.
    fn list_rows(&self, addresses: &[SocketAddr]) -> Vec<String> {
        let draining_since = self.draining_since.borrow();
        let row = |(number, at): (usize, &SocketAddr)| {
            self.scenario.row(number, *at, draining_since.contains_key(&number))
        };
        addresses.iter().enumerate().map(row).collect()
    }

    /// Waits until the idle period is over, if it is under way.
    async fn wait_out_idle_period(&self) {
        let from = self.scenario.load_time / 2;
        let since_ready = self.now().saturating_sub(self.ready.get());
        if since_ready >= from && since_ready < from + self.scenario.idle_period {
            tokio::time::sleep(from + self.scenario.idle_period - since_ready).await;
        }
    }

    /// Returns the random source of one task; it is the same in every run of the scenario.
    fn rng(&self, task: u64) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.scenario.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ task)
    }
}

/// Reads the system's monotonic clock, which the fault library uses in the pauses that it logs.
fn monotonic() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32)
}

/// Runs a scenario with the given router program on addresses of the given IP.
pub fn run_scenario(program: &Path, ip: &str, scenario: &Scenario) -> std::io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run_to_report(program, ip, scenario))
}

async fn run_to_report(program: &Path, ip: &str, scenario: &Scenario) -> std::io::Result<Report> {
    let dir = tempfile::tempdir()?;
    let reserved = ReservedAddress::on(ip)?;
    let run = Rc::new(Run {
        scenario: scenario.clone(),
        started: Instant::now(),
        started_monotonic: monotonic(),
        front: reserved.addr,
        clients_stopped: Cell::new(false),
        ready: Cell::new(Duration::ZERO),
        sigterm_at: Cell::new(None),
        killed_at: Cell::new(None),
        signal_pauses: RefCell::default(),
        exchanges: RefCell::default(),
        attempts: RefCell::default(),
        down: RefCell::new(vec![false; scenario.replicas.len()]),
        failures: watch::Sender::new(usize::MAX),
        draining_since: RefCell::default(),
    });
    let mut addresses = Vec::new();
    for number in 0..scenario.replicas.len() {
        addresses.push(replica::start(&run, ip, number).await?);
    }
    let list_rows = run.list_rows(&addresses);
    // A configuration reload may switch the router to the second list service.
    let lists = [MockEndpointList::start(ip, &list_rows), MockEndpointList::start(ip, &list_rows)];
    let list_addresses = [lists[0].addr, lists[1].addr];
    let max_delay = Rc::new(Cell::new(Duration::ZERO));
    let delay_recorder = tokio::task::spawn_local(record_max_delay(max_delay.clone()));
    let mut router = Router::start(program, dir.path(), &run, list_addresses)?;
    router.wait_until_ready(READY_TIMEOUT).await?;
    run.ready.set(run.now());
    let clients: Vec<_> = (0..scenario.clients)
        .map(|n| tokio::task::spawn_local(client::run_active(run.clone(), n as u64)))
        .chain((0..scenario.idle_clients).map(|_| tokio::task::spawn_local(client::run_idle(run.clone()))))
        .collect();
    let lists = Rc::new(lists);
    let changes = tokio::task::spawn_local(apply_changes(run.clone(), addresses, lists.clone()));
    let list_outage = tokio::task::spawn_local(silence_lists(run.clone(), lists));
    tokio::time::sleep(scenario.load_time + scenario.idle_period).await;
    max_delay.set(Duration::ZERO);
    let exit = router.shut_down(&run).await?;
    run.clients_stopped.set(true);
    // Leaves the clients time to notice that the router's connections have ended.
    tokio::time::sleep(Duration::from_millis(100)).await;
    clients.iter().for_each(|c| c.abort());
    delay_recorder.abort();
    changes.abort();
    list_outage.abort();
    let timing_checked = max_delay.get() < MAX_HARNESS_DELAY;
    let log = router.log();
    let exchanges = run.exchanges.borrow();
    let attempts = run.attempts.borrow();
    let mut statuses = BTreeMap::new();
    for status in exchanges.iter().filter_map(|t| t.outcome.status()) {
        *statuses.entry(status).or_default() += 1;
    }
    let log_text = std::fs::read_to_string(&log).unwrap_or_default();
    let observations = rules::Observations {
        scenario,
        exchanges: &exchanges,
        attempts: &attempts,
        sigterm_at: run.sigterm_at.get().unwrap_or_default(),
        killed_at: run.killed_at.get(),
        draining_since: &run.draining_since.borrow(),
        exit,
        pauses: Pauses::collect(&run.signal_pauses.borrow(), &log_text, run.started_monotonic),
        log: &log_text,
        timing_checked,
    };
    let last_part_from = observations.sigterm_at + rules::ANSWER_REQUIRED_AFTER;
    let cancelled_late =
        |r: &&ReplicaAttempt| r.head_at > last_part_from && r.outcome == ReplicaOutcome::ClosedByRouter;
    Ok(Report {
        cancelled_late: attempts.iter().filter(cancelled_late).count(),
        violations: rules::find_violations(&observations),
        requests: exchanges.len(),
        attempts_received: attempts.iter().filter(|r| r.complete_at.is_some()).count(),
        statuses,
        open_at_kill: exchanges.iter().filter(|t| t.outcome == Outcome::Open).count(),
        longest_pause: observations.pauses.iter().map(Pause::length).max().unwrap_or_default(),
        max_harness_delay: max_delay.get(),
        timing_checked,
        log,
        _dir: dir,
    })
}

/// Drains and fails replicas as the scenario says; keeps the list services running until it is aborted.
async fn apply_changes(run: Rc<Run>, addresses: Vec<SocketAddr>, lists: Rc<[MockEndpointList; 2]>) {
    let first_request_at = run.now();
    for Change { at, replica, kind } in run.scenario.changes.clone() {
        tokio::time::sleep((first_request_at + at).saturating_sub(run.now())).await;
        match kind {
            ChangeKind::Drains => {
                run.draining_since.borrow_mut().entry(replica).or_insert(run.now());
                lists.iter().for_each(|list| list.publish(&run.list_rows(&addresses)));
            }
            ChangeKind::Fails(length) => {
                run.down.borrow_mut()[replica] = true;
                run.failures.send_replace(replica);
                let run = run.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(length).await;
                    run.down.borrow_mut()[replica] = false;
                });
            }
        }
    }
    std::future::pending().await
}

/// Silences the list services as the scenario says.
async fn silence_lists(run: Rc<Run>, lists: Rc<[MockEndpointList; 2]>) {
    let Some((at, length)) = run.scenario.list_outage else { return };
    tokio::time::sleep(at).await;
    lists.iter().for_each(|list| list.set_silent(true));
    tokio::time::sleep(length).await;
    lists.iter().for_each(|list| list.set_silent(false));
}
