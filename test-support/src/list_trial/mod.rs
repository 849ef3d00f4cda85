//! A trial of router processes before a discovery service that they reach with difficulty: a replica drains, and no
//! router may send to it after it counts as notified. A [`Plan`] says what happens; most are drawn by a seed.
//!
//! Discovery, the replicas and the clients are played by one thread.

mod discovery;
mod plan;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

pub use discovery::{Call, Ending};
pub use plan::{Kill, Plan, Trouble, DRAINED, REPLICAS};
use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::park::Reserved;
use crate::router_process::RouterProcess;
use crate::wire::Wire;
use discovery::Discovery;

/// A router may send to a replica so long after it counts as notified that it drains.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Every time limit is so much longer than the settings say.
const SLACK: Duration = Duration::from_millis(50);
/// The trial goes on for so long after that.
const TAIL: Duration = Duration::from_millis(1_500);
/// The pause between two requests of a router's client.
const PAUSE: Duration = Duration::from_millis(80);
/// A client waits so long for an answer.
const ANSWER: Duration = Duration::from_secs(2);
/// Routers have to be ready within this.
const READY: Duration = Duration::from_secs(20);
/// The harness is on time if it is never later than this; else nothing is judged.
const ON_TIME: Duration = Duration::from_millis(100);
/// How often its lateness is looked at.
const LOOK: Duration = Duration::from_millis(5);
/// Every line of the log that tells of the list.
const SETTINGS: &str = "log {\n level info\n target node_list debug\n queue 65536\n}\n";

/// A request that reached the draining replica too late.
#[derive(Debug, Clone)]
pub struct LateRequest {
    /// The router that sent it.
    pub router: usize,
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
            "n{} sent to the draining replica at {:?}; its calls for the list:",
            self.router, self.at
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
    /// From when on requests to the draining replica are late.
    pub late_from: Duration,
    /// Requests to the draining replica after that, the first one of each router.
    pub late: Vec<LateRequest>,
    /// Requests that all replicas received.
    pub received: usize,
    /// When each router was first written a list in which the replica drains, as a process that lived to the end.
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

/// A router: its process, and what it is started by.
struct Router {
    number: usize,
    process: RouterProcess,
    started_at: Duration,
    front: SocketAddr,
    config: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    _reserved: Reserved,
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
    for _ in 0..REPLICAS {
        replicas.push(TcpListener::bind((ip, 0)).await?);
    }
    let addresses: Result<Vec<SocketAddr>, _> = replicas.iter().map(TcpListener::local_addr).collect();
    let rows: Vec<Value> = addresses?.iter().enumerate().map(|(number, at)| row(number, *at)).collect();
    let began = Instant::now();
    let discovery = Discovery::new(plan, began, rows.clone());
    let trial = Rc::new(Trial { plan: plan.clone(), began, discovery, received: RefCell::default() });
    for (number, listener) in replicas.into_iter().enumerate() {
        spawn_local(run_replica(trial.clone(), number, listener));
    }
    let place = Place { program, ip, dir: dir.path(), peers: free_udp_addresses(ip, plan.routers)?, rows };
    let mut routers = Vec::new();
    for number in 0..plan.routers {
        routers.push(start_router(&place, &trial, number).await?);
    }
    for router in &mut routers {
        router.process.until_ready(READY).await?;
        spawn_local(run_client(trial.clone(), router.number, router.front));
    }
    let lateness = Rc::new(Cell::new(Duration::ZERO));
    let watched = spawn_local(note_lateness(lateness.clone()));
    trial.discovery.begin_troubles();
    let draining = spawn_local(drain(trial.clone()));
    for kill in &plan.kills {
        restart(program, &trial, &mut routers, *kill).await?;
    }
    let late_from = plan.notified_at() + DRAIN_GRACE + SLACK;
    sleep_until(began + late_from + TAIL).await;
    watched.abort();
    draining.abort();
    for router in &mut routers {
        if let Some(status) = router.process.has_ended()? {
            return Err(io::Error::other(format!("n{} has ended: {status}", router.number)));
        }
    }
    Ok(report(&trial, &routers, late_from, lateness.get(), dir))
}

fn row(number: usize, at: SocketAddr) -> Value {
    json!({"id": format!("s-{number}"), "addr": at, "zone": "a", "kind": "k", "cell": 0, "state": "active",
        "weight": 1.0, "started_ms": 0})
}

/// What all routers are started with.
struct Place<'a> {
    program: &'a Path,
    ip: &'a str,
    dir: &'a Path,
    peers: Vec<SocketAddr>,
    /// The list that they start with.
    rows: Vec<Value>,
}

/// Addresses for datagrams that the routers are about to bind; nobody else has sockets on this IP.
fn free_udp_addresses(ip: &str, count: usize) -> io::Result<Vec<SocketAddr>> {
    let sockets: io::Result<Vec<UdpSocket>> = (0..count).map(|_| UdpSocket::bind((ip, 0))).collect();
    sockets?.iter().map(UdpSocket::local_addr).collect()
}

async fn start_router(place: &Place<'_>, trial: &Rc<Trial>, number: usize) -> io::Result<Router> {
    let Place { program, ip, dir, peers, rows } = place;
    let reserved = Reserved::on(ip)?;
    let list = trial.discovery.listen(ip, number).await?;
    let path = |kind: &str| dir.join(format!("n{number}.{kind}"));
    let (config, settings, log) = (path("json"), path("conf"), path("log"));
    std::fs::write(&config, trial.plan.configuration(number, reserved.at, list, peers, rows).to_string())?;
    std::fs::write(&settings, SETTINGS)?;
    let process = start_process(program, &config, &settings, &log, reserved.at)?;
    let started_at = trial.began.elapsed();
    Ok(Router { number, process, started_at, front: reserved.at, config, settings, log, _reserved: reserved })
}

fn start_process(
    program: &Path,
    config: &Path,
    settings: &Path,
    log: &Path,
    front: SocketAddr,
) -> io::Result<RouterProcess> {
    RouterProcess::start(program, config, log, front, |command| {
        command.arg("--settings").arg(settings);
    })
}

/// Kills routers at once, and starts them again after their pause.
async fn restart(program: &Path, trial: &Rc<Trial>, routers: &mut [Router], kill: Kill) -> io::Result<()> {
    let mut order: Vec<usize> = (0..routers.len()).collect();
    fastrand::Rng::with_seed(trial.plan.seed).shuffle(&mut order);
    order.truncate(kill.routers);
    sleep_until(trial.began + kill.at).await;
    for &number in &order {
        routers[number].process.kill()?;
    }
    sleep(kill.restart_after).await;
    for &number in &order {
        let router = &mut routers[number];
        router.process = start_process(program, &router.config, &router.settings, &router.log, router.front)?;
        router.started_at = trial.began.elapsed();
    }
    Ok(())
}

async fn drain(trial: Rc<Trial>) {
    sleep_until(trial.began + trial.plan.drains_at).await;
    trial.discovery.set_state(DRAINED, "leaving");
    std::future::pending().await
}

/// Asks one router again and again.
async fn run_client(trial: Rc<Trial>, router: usize, front: SocketAddr) {
    let mut wire = None;
    for number in 0u64.. {
        sleep(PAUSE).await;
        let connection = match wire.take() {
            Some(connection) => connection,
            None => match TcpStream::connect(front).await {
                Ok(stream) => Wire::new(stream),
                Err(_) => continue,
            },
        };
        wire = ask(connection, router, number).await;
        if trial.began.elapsed() > trial.plan.notified_at() + 2 * TAIL {
            return;
        }
    }
}

/// Sends a request; gives the connection back if it can be used again.
async fn ask(mut wire: Wire, router: usize, number: u64) -> Option<Wire> {
    let message = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nReq-Id: {router}-{number}\r\nReq-Kind: chat\r\n\
         Req-Owner: t\r\nReq-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let exchange = async {
        wire.write(message.as_bytes()).await?;
        let head = wire.head().await?;
        wire.body(&head).await
    };
    let answered = matches!(timeout(ANSWER, exchange).await, Ok(Ok(_)));
    answered.then_some(wire)
}

async fn run_replica(trial: Rc<Trial>, number: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve(trial.clone(), number, Wire::new(stream)));
    }
}

/// Serves on as a draining replica does: what it gets is noted and answered.
async fn serve(trial: Rc<Trial>, replica: usize, mut wire: Wire) -> io::Result<()> {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let event =
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}]}\n\n";
    let last =
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let answer = format!("{head}{}{}0\r\n\r\n", chunk(event), chunk(last));
    loop {
        let head = wire.head().await?;
        let at = trial.began.elapsed();
        wire.body(&head).await?;
        let router = head.field("req-id").and_then(|id| id.split('-').next()?.parse().ok());
        trial.received.borrow_mut().push((replica, router.unwrap_or(usize::MAX), at));
        wire.write(answer.as_bytes()).await?;
    }
}

fn report(
    trial: &Trial,
    routers: &[Router],
    late_from: Duration,
    lateness: Duration,
    dir: tempfile::TempDir,
) -> Report {
    let (calls, received) = (trial.discovery.calls(), trial.received.borrow());
    let mut first_late: BTreeMap<usize, Duration> = BTreeMap::new();
    for (_, router, at) in received.iter().filter(|(replica, _, at)| *replica == DRAINED && *at > late_from) {
        first_late.entry(*router).or_insert(*at);
    }
    let late = first_late.into_iter().map(|(router, at)| LateRequest {
        router,
        at,
        calls: calls.iter().filter(|call| call.router == router).copied().collect(),
        log: std::fs::read_to_string(&routers[router].log).unwrap_or_default(),
    });
    let notified = routers.iter().filter_map(|router| {
        let answered = calls.iter().filter(|call| {
            call.router == router.number
                && call.at >= router.started_at
                && matches!(call.ending, Ending::Answered(version) if version > 0)
        });
        Some((router.number, answered.map(|call| call.ended_at).min()?))
    });
    Report {
        late_from,
        late: late.collect(),
        received: received.len(),
        notified: notified.collect(),
        calls: calls.len(),
        failed_calls: calls.iter().filter(|call| !matches!(call.ending, Ending::Answered(_))).count(),
        lateness,
        _dir: dir,
    }
}

async fn note_lateness(lateness: Rc<Cell<Duration>>) {
    loop {
        let due = Instant::now() + LOOK;
        sleep_until(due).await;
        lateness.set(lateness.get().max(Instant::now() - due));
    }
}
