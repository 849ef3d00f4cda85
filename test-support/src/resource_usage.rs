//! Measures what one router uses depending on the size of the fleet around it: the router process runs in front of
//! mock replicas and beside mock peers, under a load that does not depend on the fleet.
//!
//! Replicas, peers and the endpoint list run on one thread. All replicas respond alike and always accept requests: the
//! cost of handling faults is not measured.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout, Instant};

use crate::http_connection::{Head, HttpConnection};
use crate::mock_services::ReservedAddress;
use crate::router_process::RouterProcess;

/// A fleet around one router, and its load.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Number of replicas in the endpoint list.
    pub replicas: usize,
    /// Number of routers, including the measured one.
    pub routers: usize,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Length of the measurement.
    pub span: Duration,
    /// Interval between two changes of a row of the endpoint list.
    pub change_every: Duration,
}

/// What the router used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time, user and system.
    pub cpu: Duration,
    /// Largest resident memory in bytes.
    pub peak_memory: u64,
    /// Largest number of open descriptors among the samples.
    pub descriptors: usize,
    /// Number of connections that replicas accepted.
    pub connections: usize,
    /// Number of bytes that the list service wrote.
    pub list_bytes: usize,
    /// Number of requests that were answered or timed out.
    pub ended: usize,
    /// Number of requests that were answered completely with status 200.
    pub served: usize,
}

/// Idle timeout of the replicas' connections, also in the settings.
const IDLE_CLOSE: Duration = Duration::from_secs(5);
/// Time before the first event of a response.
const FIRST_EVENT_DELAY: Duration = Duration::from_millis(120);
/// Number of further events.
const EVENTS: usize = 10;
const EVENT_GAP: Duration = Duration::from_millis(30);
/// Maximum number of requests of a session.
const MAX_TURNS: usize = 6;
/// Pause between two requests of a session, in ms.
const PAUSE_MS: std::ops::Range<u64> = 1_500..6_000;
/// Number of shared prompt prefixes; the first ones are used far more often than the others.
const SHARED_PREFIXES: f64 = 30.0;
/// Share of sessions that send neither a session key nor a prefix.
const SHARE_WITHOUT_KEYS: f64 = 0.2;
/// Interval between samples of the process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which the router has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a client expects the complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Counters of the mock services and clients.
#[derive(Default)]
struct Counts {
    connections: Cell<usize>,
    list_bytes: Cell<usize>,
    ended: Cell<usize>,
    served: Cell<usize>,
}

fn add(to: &Cell<usize>, n: usize) {
    to.set(to.get() + n);
}

/// The measured router process.
struct Process(RouterProcess);

impl Process {
    fn file(&self, name: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.0.pid())).unwrap_or_default()
    }

    fn cpu(&self) -> Duration {
        let stat = self.file("stat");
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: u64 = fields.skip(11).take(2).filter_map(|t| t.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 10)
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.0.pid())).map_or(0, Iterator::count)
    }
}

/// Runs a fleet around the given router program on addresses of the given IP and returns what the router used.
pub fn measure(program: &Path, ip: &str, fleet: Fleet) -> io::Result<Usage> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run_fleet(program, ip, fleet))
}

async fn run_fleet(program: &Path, ip: &str, fleet: Fleet) -> io::Result<Usage> {
    let dir = tempfile::tempdir()?;
    let counts = Rc::new(Counts::default());
    let mut rows = Vec::new();
    for number in 0..fleet.replicas {
        rows.push(row(number, start_replica(ip, &counts).await?));
    }
    let list = start_list(ip, rows, fleet.change_every, &counts).await?;
    let (front, peers) = (ReservedAddress::on(ip)?, start_peers(ip, fleet.routers - 1).await?);
    let own_peer_address = UdpSocket::bind((ip, 0)).await?.local_addr()?;
    let config = dir.path().join("config.json");
    std::fs::write(&config, configuration(front.addr, list, own_peer_address, &peers).to_string())?;
    let log = dir.path().join("log");
    let mut router = Process(RouterProcess::start(program, &config, &log, front.addr, |_| {})?);
    router.0.wait_until_ready(READY_TIMEOUT).await?;
    let clients = spawn_local(send_traffic(front.addr, fleet, counts.clone()));
    let (started, mut descriptors) = (Instant::now(), 0);
    while started.elapsed() < fleet.span {
        sleep(SAMPLE_INTERVAL).await;
        descriptors = descriptors.max(router.descriptors());
    }
    clients.abort();
    Ok(Usage {
        cpu: router.cpu(),
        peak_memory: router.0.peak_memory(),
        descriptors,
        connections: counts.connections.get(),
        list_bytes: counts.list_bytes.get(),
        ended: counts.ended.get(),
        served: counts.served.get(),
    })
}

/// Sends a request on a new connection; returns the status code of the complete response.
async fn send_request(front: SocketAddr, message: &[u8]) -> io::Result<u16> {
    let mut connection = HttpConnection::new(TcpStream::connect(front).await?);
    exchange(&mut connection, message).await
}

async fn exchange(connection: &mut HttpConnection, message: &[u8]) -> io::Result<u16> {
    connection.write(message).await?;
    let head: Head = connection.read_head().await?;
    connection.skip_body(&head).await?;
    Ok(head.status())
}

fn row(number: usize, at: SocketAddr) -> String {
    let zone = ["a", "b"][number % 2];
    json!({"id": format!("s-{number}"), "addr": at, "zone": zone, "kind": "k", "cell": number / 4,
        "state": "active", "weight": 1.0, "started_ms": 0})
    .to_string()
}

fn configuration(
    listen: SocketAddr,
    list: SocketAddr,
    own_peer_address: SocketAddr,
    peers: &[SocketAddr],
) -> Value {
    let mut routers = vec![own_peer_address];
    routers.extend(peers);
    json!({
        "name": "n0", "listen": listen, "discovery": list, "seed": "8c1f30d27a5be964",
        "peer_listen": own_peer_address, "peers": routers,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": {
            "Discovery": "on_request", "Family": "llm", "FamilyInfo": {"Resume": true},
            "Kinds": ["k"], "Zones": ["a", "b"], "Me": 0, "MyZone": 0, "ReplicasOfMe": routers.len(),
            "Limits": {"Cancel": true, "ConnectTimeoutNs": 150_000_000u64,
                "IdleCloseNs": IDLE_CLOSE.as_nanos() as u64, "MaxRetryAfterNs": 2_000_000_000u64, "MostHeld": 1000,
                "ParallelTries": true, "Peers": true, "Probes": false, "RetryAfter": true, "TryLimit": 3},
            "Profiles": [{"DeadlineNs": 4_000_000_000u64, "Effect": "pure", "GoalTimeNs": 1_200_000_000u64,
                "Name": "chat", "Worth": 1.0}],
            "Report": {"Fields": [], "Via": "none"},
            "Rules": {"AnswerSlackNs": 16_000_000u64, "ColdNs": 20_000_000_000u64, "ColdShare": 0.2,
                "MustAskInNs": 1_000_000_000u64},
            "Tenants": [{"Name": "t", "QuotaPerS": 1_000_000.0}],
        }
    })
}

async fn start_replica(ip: &str, counts: &Rc<Counts>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0)).await?;
    let (at, counts) = (listener.local_addr()?, counts.clone());
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            add(&counts.connections, 1);
            spawn_local(serve(HttpConnection::new(stream)));
        }
    });
    Ok(at)
}

async fn serve(mut connection: HttpConnection) -> io::Result<()> {
    let event = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let text = event(
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}]}\n\n",
    );
    let usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\n";
    let last = event(&format!("{usage}data: [DONE]\n\n")) + "0\r\n\r\n";
    loop {
        let head = timeout(IDLE_CLOSE, connection.read_head()).await??;
        connection.skip_body(&head).await?;
        sleep(FIRST_EVENT_DELAY).await;
        connection
            .write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            )
            .await?;
        for _ in 0..EVENTS {
            connection.write(text.as_bytes()).await?;
            sleep(EVENT_GAP).await;
        }
        connection.write(last.as_bytes()).await?;
    }
}

/// Starts peers that send back each load report they receive, so that the router receives as many reports as it
/// sends, in the format that it knows.
async fn start_peers(ip: &str, count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for _ in 0..count {
        let socket = UdpSocket::bind((ip, 0)).await?;
        addresses.push(socket.local_addr()?);
        spawn_local(async move {
            let mut buf = [0; 2048];
            while let Ok((n, from)) = socket.recv_from(&mut buf).await {
                let _ = socket.send_to(&buf[..n], from).await;
            }
        });
    }
    Ok(addresses)
}

/// Starts a endpoint list service that sends the whole list once on each watch and then one changed row per change:
/// rows drain and become active again in turn.
async fn start_list(
    ip: &str,
    rows: Vec<String>,
    change_every: Duration,
    counts: &Rc<Counts>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0)).await?;
    let (at, counts, rows) = (listener.local_addr()?, counts.clone(), Rc::new(RefCell::new(rows)));
    let (version, _) = watch::channel(1usize);
    let version = Rc::new(version);
    spawn_local(change_rows(rows.clone(), change_every, version.clone()));
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_watch(
                HttpConnection::new(stream),
                rows.clone(),
                version.subscribe(),
                counts.clone(),
            ));
        }
    });
    Ok(at)
}

/// Returns the index of the row that `version` changed.
fn changed_row(version: usize, rows: usize) -> usize {
    version / 2 * 7 % rows
}

async fn change_rows(rows: Rc<RefCell<Vec<String>>>, every: Duration, version: Rc<watch::Sender<usize>>) {
    let mut ticks = interval(every);
    loop {
        ticks.tick().await;
        let next = *version.borrow() + 1;
        {
            let mut rows = rows.borrow_mut();
            let place = changed_row(next, rows.len());
            let (from, to) = if next % 2 == 0 { ("active", "leaving") } else { ("leaving", "active") };
            rows[place] = rows[place].replace(from, to);
        }
        version.send_replace(next);
    }
}

async fn serve_watch(
    mut connection: HttpConnection,
    rows: Rc<RefCell<Vec<String>>>,
    mut version: watch::Receiver<usize>,
    counts: Rc<Counts>,
) -> io::Result<()> {
    let head = connection.read_head().await?;
    connection.skip_body(&head).await?;
    let mut sent_version = *version.borrow_and_update();
    let all = rows.borrow().join(",");
    let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string()
        + &chunk(&format!("{{\"version\":{sent_version},\"full\":true,\"servers\":[{all}]}}\n"));
    loop {
        add(&counts.list_bytes, text.len());
        connection.write(text.as_bytes()).await?;
        version.changed().await.map_err(io::Error::other)?;
        let newest = *version.borrow_and_update();
        text = String::new();
        for next in sent_version + 1..=newest {
            let rows = rows.borrow();
            let row = &rows[changed_row(next, rows.len())];
            text += &chunk(&format!("{{\"version\":{next},\"full\":false,\"servers\":[{row}]}}\n"));
        }
        sent_version = newest;
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Starts sessions so that their requests reach the intended rate on average. Sessions that would already be
/// running at the start begin within the first mean pause.
async fn send_traffic(front: SocketAddr, fleet: Fleet, counts: Rc<Counts>) {
    let mut rng = fastrand::Rng::with_seed(7);
    let mean_turns = (1 + MAX_TURNS) as f64 / 2.0;
    let mean_pause = Duration::from_millis((PAUSE_MS.start + PAUSE_MS.end) / 2);
    let initial_sessions = (fleet.requests_per_s * mean_pause.as_secs_f64()) as usize;
    for session in 0..initial_sessions {
        let (rng, counts, wait) = (rng.fork(), counts.clone(), mean_pause.mul_f64(rng.f64()));
        spawn_local(async move {
            sleep(wait).await;
            run_session(front, session, rng, counts).await;
        });
    }
    let mean_interval = Duration::from_secs_f64(mean_turns / fleet.requests_per_s);
    for session in initial_sessions.. {
        sleep(mean_interval.mul_f64(2.0 * rng.f64())).await;
        spawn_local(run_session(front, session, rng.fork(), counts.clone()));
    }
}

async fn run_session(front: SocketAddr, session: usize, mut rng: fastrand::Rng, counts: Rc<Counts>) {
    let prefix = (rng.f64() * rng.f64() * SHARED_PREFIXES) as usize;
    let without_keys = rng.f64() < SHARE_WITHOUT_KEYS;
    for turn in 0..rng.usize(1..=MAX_TURNS) {
        let keys = match without_keys {
            true => "Req-Extra: prompt_len=500\r\n".to_string(),
            false => format!(
                "Req-Key: k-{session}\r\nReq-Extra: prefix=p{prefix},prompt_len={},prefix_len=1500\r\n",
                2_000 + 200 * turn
            ),
        };
        let message = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nReq-Id: r-{session}-{turn}\r\nReq-Kind: chat\r\n\
             Req-Owner: t\r\n{keys}Content-Length: 2\r\n\r\n{{}}"
        );
        let answer = timeout(RESPONSE_TIMEOUT, send_request(front, message.as_bytes())).await;
        add(&counts.ended, 1);
        if let Ok(Ok(200)) = answer {
            add(&counts.served, 1);
        }
        sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
    }
}
