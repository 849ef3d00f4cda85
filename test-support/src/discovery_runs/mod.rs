//! Runs router processes against a mock discovery service that is hard to reach: replicas drain or are removed,
//! and no router may send to a replica after it counts as notified. A [`Scenario`] says what happens; most are
//! random and reproducible by their seed.
//!
//! Discovery, the replicas and the clients run on one thread.

mod configuration;
mod discovery;
mod routers;
mod scenario;
mod traffic;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

pub use discovery::{Call, CallOutcome};
pub use scenario::{Change, ChangeKind, DiscoveryMove, Fault, Restart, Scenario, Stop};
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

use crate::harness_delay::record_max_delay;
use discovery::Discovery;
use routers::Routers;

/// Time for which a router may still send to a replica after it counts as notified of the drain.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Tolerance added to every time limit.
const TIME_TOLERANCE: Duration = Duration::from_millis(50);
/// Time for which the run goes on after the last moment at which requests are allowed.
const EXTRA_RUN_TIME: Duration = Duration::from_millis(1_500);
/// Largest delay of the harness's own thread up to which the result is judged.
const MAX_HARNESS_DELAY: Duration = Duration::from_millis(100);

/// A request that reached a replica too late after a change of the endpoint list.
#[derive(Debug, Clone)]
pub struct LateRequest {
    /// Index of the router that sent it.
    pub router: usize,
    /// The change of which the router counts as notified.
    pub change: Change,
    /// When it arrived, since the start of the run.
    pub at: Duration,
    /// The list calls of that router.
    pub calls: Vec<Call>,
    /// The log of that router.
    pub log: String,
}

impl fmt::Display for LateRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "router n{} sent a request at {:?} in spite of {:?}; its list calls:",
            self.router, self.at, self.change
        )?;
        for Call { at, ended_at, outcome, .. } in &self.calls {
            writeln!(f, "  called at {at:?}, at {ended_at:?} {outcome:?}")?;
        }
        write!(f, "{}", self.log)
    }
}

/// The results of one run.
#[derive(Debug)]
pub struct Report {
    /// Time from which a request to a drained or removed replica is late, whichever change it follows.
    pub late_from: Duration,
    /// The first late request of each router and change.
    pub late: Vec<LateRequest>,
    /// Number of requests that the replicas received.
    pub received: usize,
    /// When each router was first sent a changed list; only list calls of the last process of a router count.
    pub first_notified: BTreeMap<usize, Duration>,
    /// Number of list calls.
    pub calls: usize,
    /// Number of list calls that were refused, left hanging or truncated.
    pub failed_calls: usize,
    /// The largest delay of the harness's own thread.
    pub max_harness_delay: Duration,
    _dir: tempfile::TempDir,
}

impl Report {
    /// Whether the harness was on time, so that the result can be judged.
    pub fn on_time(&self) -> bool {
        self.max_harness_delay < MAX_HARNESS_DELAY
    }

    /// Returns when the last router was notified.
    pub fn last_notified(&self) -> Option<Duration> {
        self.first_notified.values().max().copied()
    }
}

/// State shared by all tasks of a run.
struct Run {
    scenario: Scenario,
    started: Instant,
    discovery: Rc<Discovery>,
    /// Requests that replicas received: replica, router, and time since the start.
    received: RefCell<Vec<(usize, usize, Duration)>>,
}

/// Runs a scenario with the given router program on addresses of the given IP.
///
/// # Errors
/// The routers cannot be started, or one has exited by itself.
pub fn run_scenario(program: &Path, ip: &str, scenario: &Scenario) -> io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run_to_report(program, ip, scenario))
}

async fn run_to_report(program: &Path, ip: &str, scenario: &Scenario) -> io::Result<Report> {
    let dir = tempfile::tempdir()?;
    let mut replicas = Vec::new();
    for _ in 0..scenario.replicas {
        replicas.push(TcpListener::bind((ip, 0)).await?);
    }
    let addresses: Result<Vec<SocketAddr>, _> = replicas.iter().map(TcpListener::local_addr).collect();
    let rows: Vec<Value> = addresses?.iter().enumerate().map(|(number, at)| row(number, *at)).collect();
    let started = Instant::now();
    let discovery = Discovery::new(scenario, started, &rows);
    let run = Rc::new(Run { scenario: scenario.clone(), started, discovery, received: RefCell::default() });
    for (number, listener) in replicas.into_iter().enumerate() {
        spawn_local(traffic::run_replica(run.clone(), number, listener));
    }
    let routers = Rc::new(Routers::start(program, ip, dir.path(), &run, &rows).await?);
    let max_harness_delay = Rc::new(Cell::new(Duration::ZERO));
    let delay_recorder = spawn_local(record_max_delay(max_harness_delay.clone()));
    run.discovery.start_faults();
    let list_changes = spawn_local(change_list(run.clone()));
    let discovery_move = spawn_local(routers::move_discovery(routers.clone(), run.clone()));
    for restart in &scenario.restarts {
        routers.restart(&run, restart).await?;
    }
    let late_from = scenario.all_notified_at() + DRAIN_GRACE + TIME_TOLERANCE;
    sleep_until(started + late_from + EXTRA_RUN_TIME).await;
    [delay_recorder, list_changes, discovery_move].iter().for_each(|task| task.abort());
    routers.check_all_running()?;
    Ok(report(&run, &routers, late_from, max_harness_delay.get(), dir))
}

fn row(number: usize, at: SocketAddr) -> Value {
    json!({"id": format!("s-{number}"), "addr": at, "zone": "a", "kind": "k", "cell": 0, "state": "active",
        "weight": 1.0, "started_ms": 0})
}

async fn change_list(run: Rc<Run>) {
    for change in &run.scenario.changes {
        sleep_until(run.started + change.at).await;
        run.discovery.change(change);
    }
    std::future::pending().await
}

fn report(
    run: &Run,
    routers: &Routers,
    late_from: Duration,
    max_harness_delay: Duration,
    dir: tempfile::TempDir,
) -> Report {
    let calls = run.discovery.calls();
    let late = run.scenario.changes.iter().flat_map(|change| {
        let first = first_late_requests(run, routers, change);
        first.into_iter().map(|(router, at)| LateRequest {
            router,
            change: *change,
            at,
            calls: calls.iter().filter(|call| call.router == router).copied().collect(),
            log: routers.log(router),
        })
    });
    let late = late.collect();
    let first_notified = (0..run.scenario.routers).filter_map(|router| {
        let answered = calls.iter().filter(|call| {
            call.router == router
                && call.at >= routers.process_started_before(router, Duration::MAX)
                && matches!(call.outcome, CallOutcome::Answered(version) if version > 0)
        });
        Some((router, answered.map(|call| call.ended_at).min()?))
    });
    Report {
        late_from,
        late,
        received: run.received.borrow().len(),
        first_notified: first_notified.collect(),
        calls: calls.len(),
        failed_calls: calls.iter().filter(|call| !matches!(call.outcome, CallOutcome::Answered(_))).count(),
        max_harness_delay,
        _dir: dir,
    }
}

/// Returns, for each router, the time of its first late request after a change.
fn first_late_requests(run: &Run, routers: &Routers, change: &Change) -> BTreeMap<usize, Duration> {
    let mut first = BTreeMap::new();
    for (replica, router, at) in run.received.borrow().iter() {
        let started_at = routers.process_started_before(*router, *at);
        let notified_at = run.scenario.notified_at(change).max(run.scenario.agent_available_at(started_at));
        if *replica == change.replica && *at > notified_at + DRAIN_GRACE + TIME_TOLERANCE {
            first.entry(*router).or_insert(*at);
        }
    }
    first
}
