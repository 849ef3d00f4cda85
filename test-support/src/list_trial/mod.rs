//! A trial of router processes before a discovery service that they reach with difficulty: replicas drain or are removed,
//! and no router may send to one after it counts as notified. A [`Plan`] says what happens; most are drawn by a seed.
//!
//! Discovery, the replicas and the clients are played by one thread.

mod discovery;
mod plan;
mod routers;
mod traffic;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

pub use discovery::{Call, Ending};
pub use plan::{Change, ChangeKind, End, Move, Plan, Restart, Trouble};
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

use crate::lateness::note_lateness;
use discovery::Discovery;
use routers::Routers;

/// A router may send to a replica so long after it counts as notified that it drains.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Every time limit is so much longer than the settings say.
const SLACK: Duration = Duration::from_millis(50);
/// The trial goes on for so long after that.
const TAIL: Duration = Duration::from_millis(1_500);
/// The harness is on time if it is never later than this; else nothing is judged.
const ON_TIME: Duration = Duration::from_millis(100);

/// A request that reached a replica too late after a change of the list.
#[derive(Debug, Clone)]
pub struct LateRequest {
    /// The router that sent it.
    pub router: usize,
    /// The change of which the router counts as notified.
    pub change: Change,
    /// When.
    pub at: Duration,
    /// The calls of that router for the list.
    pub calls: Vec<Call>,
    /// What its log has of the list.
    pub log: String,
}

impl fmt::Display for LateRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "n{} sent at {:?} in spite of {:?}; its calls for the list:",
            self.router, self.at, self.change
        )?;
        for Call { at, ended_at, ending, .. } in &self.calls {
            writeln!(f, "  at {at:?}, at {ended_at:?} {ending:?}")?;
        }
        write!(f, "{}", self.log)
    }
}

/// What was seen.
#[derive(Debug)]
pub struct Report {
    /// From when on requests are late, whatever the change.
    pub late_from: Duration,
    /// Requests that came too late after a change, the first one of each router and change.
    pub late: Vec<LateRequest>,
    /// Requests that all replicas received.
    pub received: usize,
    /// When each router was first written a changed list, as a process that lived to the end.
    pub notified: BTreeMap<usize, Duration>,
    /// Calls for the list.
    pub calls: usize,
    /// Of these refused, hung or torn.
    pub failed_calls: usize,
    /// The harness was late by so much at the most.
    pub lateness: Duration,
    _dir: tempfile::TempDir,
}

impl Report {
    /// Whether the harness was on time, so that the verdict holds.
    pub fn on_time(&self) -> bool {
        self.lateness < ON_TIME
    }

    /// When the last router was notified.
    pub fn last_notified(&self) -> Option<Duration> {
        self.notified.values().max().copied()
    }
}

/// What all tasks share.
struct Trial {
    plan: Plan,
    began: Instant,
    discovery: Rc<Discovery>,
    /// Requests that replicas received: the replica, the router, and when.
    received: RefCell<Vec<(usize, usize, Duration)>>,
}

/// Plays a plan with this program on addresses of this IP.
///
/// # Errors
/// The routers can't be started, or one has ended by itself.
pub fn play(program: &Path, ip: &str, plan: &Plan) -> io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, played(program, ip, plan))
}

async fn played(program: &Path, ip: &str, plan: &Plan) -> io::Result<Report> {
    let dir = tempfile::tempdir()?;
    let mut replicas = Vec::new();
    for _ in 0..plan.replicas {
        replicas.push(TcpListener::bind((ip, 0)).await?);
    }
    let addresses: Result<Vec<SocketAddr>, _> = replicas.iter().map(TcpListener::local_addr).collect();
    let rows: Vec<Value> = addresses?.iter().enumerate().map(|(number, at)| row(number, *at)).collect();
    let began = Instant::now();
    let discovery = Discovery::new(plan, began, &rows);
    let trial = Rc::new(Trial { plan: plan.clone(), began, discovery, received: RefCell::default() });
    for (number, listener) in replicas.into_iter().enumerate() {
        spawn_local(traffic::run_replica(trial.clone(), number, listener));
    }
    let routers = Rc::new(Routers::start(program, ip, dir.path(), &trial, &rows).await?);
    let lateness = Rc::new(Cell::new(Duration::ZERO));
    let watched = spawn_local(note_lateness(lateness.clone()));
    trial.discovery.begin_troubles();
    let changes = spawn_local(change_list(trial.clone()));
    let moves = spawn_local(routers::move_discovery(routers.clone(), trial.clone()));
    for restart in &plan.restarts {
        routers.restart(&trial, restart).await?;
    }
    let late_from = plan.all_notified_at() + DRAIN_GRACE + SLACK;
    sleep_until(began + late_from + TAIL).await;
    [watched, changes, moves].iter().for_each(|task| task.abort());
    routers.all_run()?;
    Ok(report(&trial, &routers, late_from, lateness.get(), dir))
}

fn row(number: usize, at: SocketAddr) -> Value {
    json!({"id": format!("s-{number}"), "addr": at, "zone": "a", "kind": "k", "cell": 0, "state": "active",
        "weight": 1.0, "started_ms": 0})
}

async fn change_list(trial: Rc<Trial>) {
    for change in &trial.plan.changes {
        sleep_until(trial.began + change.at).await;
        trial.discovery.change(change);
    }
    std::future::pending().await
}

fn report(
    trial: &Trial,
    routers: &Routers,
    late_from: Duration,
    lateness: Duration,
    dir: tempfile::TempDir,
) -> Report {
    let calls = trial.discovery.calls();
    let late = trial.plan.changes.iter().flat_map(|change| {
        let first = first_late(trial, routers, change);
        first.into_iter().map(|(router, at)| LateRequest {
            router,
            change: *change,
            at,
            calls: calls.iter().filter(|call| call.router == router).copied().collect(),
            log: routers.log(router),
        })
    });
    let late = late.collect();
    let notified = (0..trial.plan.routers).filter_map(|router| {
        let answered = calls.iter().filter(|call| {
            call.router == router
                && call.at >= routers.started_before(router, Duration::MAX)
                && matches!(call.ending, Ending::Answered(version) if version > 0)
        });
        Some((router, answered.map(|call| call.ended_at).min()?))
    });
    Report {
        late_from,
        late,
        received: trial.received.borrow().len(),
        notified: notified.collect(),
        calls: calls.len(),
        failed_calls: calls.iter().filter(|call| !matches!(call.ending, Ending::Answered(_))).count(),
        lateness,
        _dir: dir,
    }
}

/// By router: when it first sent too late after a change.
fn first_late(trial: &Trial, routers: &Routers, change: &Change) -> BTreeMap<usize, Duration> {
    let mut first = BTreeMap::new();
    for (replica, router, at) in trial.received.borrow().iter() {
        let started_at = routers.started_before(*router, *at);
        let notified_at = trial.plan.notified_at(change).max(trial.plan.agent_returns_after(started_at));
        if *replica == change.replica && *at > notified_at + DRAIN_GRACE + SLACK {
            first.entry(*router).or_insert(*at);
        }
    }
    first
}
