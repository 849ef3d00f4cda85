//! A trial of one router process: it is told to end while clients go on sending and replicas misbehave, and is killed at
//! the earliest moment that the protocol allows. Observers that see only the bytes of clients and replicas then check
//! the rules. A [`Plan`] says what happens; most are drawn by a seed, so that a trial can be played again.

mod client;
mod pauses;
mod plan;
mod process;
mod replica;
mod verdict;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

pub use client::{Ending, Try};
pub use plan::{Behaviour, Change, ChangeKind, Class, Effect, Group, Plan, ReplicaPlan, Signal};
pub use replica::{Received, ReplicaEnd};
use tokio::sync::watch;
use tokio::time::Instant;
pub use verdict::{Break, Rule};

use crate::lateness::note_lateness;
use crate::park::{List, Reserved};
use pauses::{Pause, Pauses};
use process::Router;

/// The harness is on time if it is never later than this; else rules about times are not judged.
const ON_TIME: Duration = Duration::from_millis(60);
/// A router has to be ready within this.
const READY: Duration = Duration::from_secs(20);

/// What was seen in a trial.
#[derive(Debug)]
pub struct Report {
    /// The rules that were broken.
    pub breaks: Vec<Break>,
    /// Requests that clients sent.
    pub requests: usize,
    /// Attempts that replicas received whole.
    pub received: usize,
    /// Final answers by status, in the order of their number.
    pub statuses: BTreeMap<u16, usize>,
    /// Attempts that came to replicas in the last part of the shutdown, and that the router gave up.
    pub given_up_late: usize,
    /// Requests that were open when the router was killed.
    pub killed: usize,
    /// The longest time in which the router was held up.
    pub longest_pause: Duration,
    /// The harness was late by so much at the most.
    pub late: Duration,
    /// Whether rules about times were judged.
    pub on_time: bool,
    /// Where the router's log is; gone with the report.
    pub log: PathBuf,
    _dir: tempfile::TempDir,
}

/// What all tasks of a trial share.
struct Trial {
    plan: Plan,
    began: Instant,
    front: SocketAddr,
    /// The monotonic clock of the system at that moment.
    began_at: Duration,
    /// Clients begin no further request.
    over: Cell<bool>,
    /// When the router was ready.
    ready: Cell<Duration>,
    /// Seconds since the start, once the signals were sent.
    told: Cell<Option<Duration>>,
    killed: Cell<Option<Duration>>,
    /// When the router was stopped by a signal.
    stopped: RefCell<Vec<Pause>>,
    tries: RefCell<Vec<Try>>,
    received: RefCell<Vec<Received>>,
    /// The replicas that are down, and word of each that goes down.
    down: RefCell<Vec<bool>>,
    goes_down: watch::Sender<usize>,
    /// When the list said of a replica that it leaves.
    left: RefCell<BTreeMap<usize, Duration>>,
}

impl Trial {
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// The list as it is now.
    fn rows(&self, addresses: &[SocketAddr]) -> Vec<String> {
        let left = self.left.borrow();
        let row = |(number, at): (usize, &SocketAddr)| self.plan.row(number, *at, left.contains_key(&number));
        addresses.iter().enumerate().map(row).collect()
    }

    /// Waits while nobody is to ask.
    async fn lull(&self) {
        let from = self.plan.quiet / 2;
        let since_ready = self.now().saturating_sub(self.ready.get());
        if since_ready >= from && since_ready < from + self.plan.lull {
            tokio::time::sleep(from + self.plan.lull - since_ready).await;
        }
    }

    /// A random source for a part of the trial, the same in each play of the plan.
    fn random(&self, part: u64) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part)
    }
}

/// The system's monotonic clock, by which the router's process tells of its pauses.
fn monotonic() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32)
}

/// Plays a plan with this program on addresses of this IP.
pub fn play(program: &Path, ip: &str, plan: &Plan) -> std::io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, played(program, ip, plan))
}

async fn played(program: &Path, ip: &str, plan: &Plan) -> std::io::Result<Report> {
    let dir = tempfile::tempdir()?;
    let reserved = Reserved::on(ip)?;
    let trial = Rc::new(Trial {
        plan: plan.clone(),
        began: Instant::now(),
        began_at: monotonic(),
        front: reserved.at,
        over: Cell::new(false),
        ready: Cell::new(Duration::ZERO),
        told: Cell::new(None),
        killed: Cell::new(None),
        stopped: RefCell::default(),
        tries: RefCell::default(),
        received: RefCell::default(),
        down: RefCell::new(vec![false; plan.replicas.len()]),
        goes_down: watch::Sender::new(usize::MAX),
        left: RefCell::default(),
    });
    let mut addresses = Vec::new();
    for number in 0..plan.replicas.len() {
        addresses.push(replica::start(&trial, ip, number).await?);
    }
    let rows = trial.rows(&addresses);
    // The second is where a new configuration may move the list.
    let lists = [List::start(ip, &rows), List::start(ip, &rows)];
    let places = [lists[0].at, lists[1].at];
    let late = Rc::new(Cell::new(Duration::ZERO));
    let lateness = tokio::task::spawn_local(note_lateness(late.clone()));
    let mut router = Router::start(program, dir.path(), &trial, places)?;
    router.until_ready(READY).await?;
    trial.ready.set(trial.now());
    let clients: Vec<_> = (0..plan.clients)
        .map(|n| tokio::task::spawn_local(client::run(trial.clone(), n as u64)))
        .chain((0..plan.crowd).map(|_| tokio::task::spawn_local(client::idle(trial.clone()))))
        .collect();
    let lists = Rc::new(lists);
    let changes = tokio::task::spawn_local(change(trial.clone(), addresses, lists.clone()));
    let outage = tokio::task::spawn_local(fall_silent(trial.clone(), lists));
    tokio::time::sleep(plan.quiet + plan.lull).await;
    late.set(Duration::ZERO);
    let exit = router.end(&trial).await?;
    trial.over.set(true);
    // Whatever the end of its connections tells the clients arrives at once.
    tokio::time::sleep(Duration::from_millis(100)).await;
    clients.iter().for_each(|c| c.abort());
    lateness.abort();
    changes.abort();
    outage.abort();
    let on_time = late.get() < ON_TIME;
    let log = router.log();
    let tries = trial.tries.borrow();
    let received = trial.received.borrow();
    let mut statuses = BTreeMap::new();
    for status in tries.iter().filter_map(|t| t.ending.status()) {
        *statuses.entry(status).or_default() += 1;
    }
    let logged = std::fs::read_to_string(&log).unwrap_or_default();
    let seen = verdict::Seen {
        plan,
        tries: &tries,
        received: &received,
        told: trial.told.get().unwrap_or_default(),
        killed: trial.killed.get(),
        left: &trial.left.borrow(),
        exit,
        pauses: Pauses::of(&trial.stopped.borrow(), &logged, trial.began_at),
        log: &logged,
        on_time,
    };
    let late_from = seen.told + verdict::OWED_AFTER;
    let given_up_late = |r: &&Received| r.at > late_from && r.end == ReplicaEnd::GivenUp;
    Ok(Report {
        given_up_late: received.iter().filter(given_up_late).count(),
        breaks: verdict::judge(&seen),
        requests: tries.len(),
        received: received.iter().filter(|r| r.whole_at.is_some()).count(),
        statuses,
        killed: tries.iter().filter(|t| t.ending == Ending::Open).count(),
        longest_pause: seen.pauses.iter().map(Pause::length).max().unwrap_or_default(),
        late: late.get(),
        on_time,
        log,
        _dir: dir,
    })
}

/// Has the replicas leave and fail as planned, and keeps the lists until then.
async fn change(trial: Rc<Trial>, addresses: Vec<SocketAddr>, lists: Rc<[List; 2]>) {
    let began = trial.now();
    for Change { at, replica, what } in trial.plan.changes.clone() {
        tokio::time::sleep((began + at).saturating_sub(trial.now())).await;
        match what {
            ChangeKind::Leaves => {
                trial.left.borrow_mut().entry(replica).or_insert(trial.now());
                lists.iter().for_each(|list| list.set(&trial.rows(&addresses)));
            }
            ChangeKind::Fails(time) => {
                trial.down.borrow_mut()[replica] = true;
                trial.goes_down.send_replace(replica);
                let trial = trial.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(time).await;
                    trial.down.borrow_mut()[replica] = false;
                });
            }
        }
    }
    std::future::pending().await
}

/// Has the lists fall silent as planned.
async fn fall_silent(trial: Rc<Trial>, lists: Rc<[List; 2]>) {
    let Some((at, length)) = trial.plan.outage else { return };
    tokio::time::sleep(at).await;
    lists.iter().for_each(|list| list.silence(true));
    tokio::time::sleep(length).await;
    lists.iter().for_each(|list| list.silence(false));
}
