//! What one router needs by the size of the fleet around it: the program as a process before so many replicas, with so many
//! other routers, under a traffic that stays the same.
//!
//! Replicas, peers and the list are played by one thread. Replicas answer alike and have room for all: what the router
//! does with trouble is not measured here.

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

use crate::park::Reserved;
use crate::router_process::RouterProcess;
use crate::wire::{Head, Wire};

/// A fleet around one router, and its traffic.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Rows of the list.
    pub replicas: usize,
    /// Routers, the measured one among them.
    pub routers: usize,
    /// Requests a second.
    pub requests_per_s: f64,
    /// For so long.
    pub span: Duration,
    /// The list tells one changed row so often.
    pub change_every: Duration,
}

/// What the router needed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time, user and system.
    pub cpu: Duration,
    /// The most memory that was resident, in bytes.
    pub peak_memory: u64,
    /// The most descriptors that were open at a look.
    pub descriptors: usize,
    /// Connections that replicas accepted.
    pub connections: usize,
    /// Bytes that the list service wrote.
    pub list_bytes: usize,
    /// Requests that were answered, or not in time.
    pub ended: usize,
    /// Requests that were answered with 200, to the end.
    pub served: usize,
}

/// Replicas close connections that carry nothing after this, as the settings tell.
const IDLE_CLOSE: Duration = Duration::from_secs(5);
/// First event of an answer after so long, then further ones.
const FIRST_EVENT: Duration = Duration::from_millis(120);
const EVENTS: usize = 10;
const EVENT_GAP: Duration = Duration::from_millis(30);
/// A session asks so many times at the most, with pauses of so many ms.
const TURNS: usize = 6;
const PAUSE_MS: std::ops::Range<u64> = 1_500..6_000;
/// Prompts begin with one of so many shared beginnings, the first ones far more often.
const BEGINNINGS: f64 = 30.0;
/// The share of sessions that send neither a session nor a beginning.
const ALONE: f64 = 0.2;
/// Between two looks at the process.
const LOOK: Duration = Duration::from_millis(200);
/// The router has to be ready within this.
const READY: Duration = Duration::from_secs(20);
/// A client waits so long for its answer.
const ANSWER: Duration = Duration::from_secs(10);

/// What the stand-ins count.
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

/// The measured process.
struct Process(RouterProcess);

impl Process {
    fn file(&self, name: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.0.id())).unwrap_or_default()
    }

    fn cpu(&self) -> Duration {
        let stat = self.file("stat");
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: u64 = fields.skip(11).take(2).filter_map(|t| t.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 10)
    }

    fn peak_memory(&self) -> u64 {
        let status = self.file("status");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or_default();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0) * 1024
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.0.id())).map_or(0, Iterator::count)
    }
}

/// Plays such a fleet around this program on addresses of this IP.
pub fn play(program: &Path, ip: &str, fleet: Fleet) -> io::Result<Usage> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, played(program, ip, fleet))
}

async fn played(program: &Path, ip: &str, fleet: Fleet) -> io::Result<Usage> {
    let dir = tempfile::tempdir()?;
    let counts = Rc::new(Counts::default());
    let mut rows = Vec::new();
    for number in 0..fleet.replicas {
        rows.push(row(number, start_replica(ip, &counts).await?));
    }
    let list = start_list(ip, rows, fleet.change_every, &counts).await?;
    let (front, peers) = (Reserved::on(ip)?, start_peers(ip, fleet.routers - 1).await?);
    let own = UdpSocket::bind((ip, 0)).await?.local_addr()?;
    let config = dir.path().join("config.json");
    std::fs::write(&config, configuration(front.at, list, own, &peers).to_string())?;
    let log = dir.path().join("log");
    let mut router = Process(RouterProcess::start(program, &config, &log, front.at, |_| {})?);
    router.0.until_ready(READY).await?;
    let clients = spawn_local(send_traffic(front.at, fleet, counts.clone()));
    let (begun, mut descriptors) = (Instant::now(), 0);
    while begun.elapsed() < fleet.span {
        sleep(LOOK).await;
        descriptors = descriptors.max(router.descriptors());
    }
    clients.abort();
    Ok(Usage {
        cpu: router.cpu(),
        peak_memory: router.peak_memory(),
        descriptors,
        connections: counts.connections.get(),
        list_bytes: counts.list_bytes.get(),
        ended: counts.ended.get(),
        served: counts.served.get(),
    })
}

/// Sends a message on a connection of its own; the status of the whole answer.
async fn ask(front: SocketAddr, message: &[u8]) -> io::Result<u16> {
    let mut wire = Wire::new(TcpStream::connect(front).await?);
    exchange(&mut wire, message).await
}

async fn exchange(wire: &mut Wire, message: &[u8]) -> io::Result<u16> {
    wire.write(message).await?;
    let head: Head = wire.head().await?;
    wire.body(&head).await?;
    Ok(head.status())
}

fn row(number: usize, at: SocketAddr) -> String {
    let zone = ["a", "b"][number % 2];
    json!({"id": format!("s-{number}"), "addr": at, "zone": zone, "kind": "k", "cell": number / 4,
        "state": "active", "weight": 1.0, "started_ms": 0})
    .to_string()
}

fn configuration(listen: SocketAddr, list: SocketAddr, own: SocketAddr, peers: &[SocketAddr]) -> Value {
    let mut routers = vec![own];
    routers.extend(peers);
    json!({
        "name": "n0", "listen": listen, "discovery": list, "seed": "8c1f30d27a5be964",
        "peer_listen": own, "peers": routers,
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
            spawn_local(serve(Wire::new(stream)));
        }
    });
    Ok(at)
}

async fn serve(mut wire: Wire) -> io::Result<()> {
    let event = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let text = event(
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}]}\n\n",
    );
    let usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\n";
    let last = event(&format!("{usage}data: [DONE]\n\n")) + "0\r\n\r\n";
    loop {
        let head = timeout(IDLE_CLOSE, wire.head()).await??;
        wire.body(&head).await?;
        sleep(FIRST_EVENT).await;
        wire.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        )
        .await?;
        for _ in 0..EVENTS {
            wire.write(text.as_bytes()).await?;
            sleep(EVENT_GAP).await;
        }
        wire.write(last.as_bytes()).await?;
    }
}

/// Routers that send back each report that they get: so many come in as go out, in the form that the router knows.
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

/// A list that tells the whole once on each watch, and then one row so often: in turn each drains and takes work again.
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
            spawn_local(tell(Wire::new(stream), rows.clone(), version.subscribe(), counts.clone()));
        }
    });
    Ok(at)
}

/// The row that version `version` changed.
fn changed(version: usize, rows: usize) -> usize {
    version / 2 * 7 % rows
}

async fn change_rows(rows: Rc<RefCell<Vec<String>>>, every: Duration, version: Rc<watch::Sender<usize>>) {
    let mut ticks = interval(every);
    loop {
        ticks.tick().await;
        let next = *version.borrow() + 1;
        {
            let mut rows = rows.borrow_mut();
            let place = changed(next, rows.len());
            let (from, to) = if next % 2 == 0 { ("active", "leaving") } else { ("leaving", "active") };
            rows[place] = rows[place].replace(from, to);
        }
        version.send_replace(next);
    }
}

async fn tell(
    mut wire: Wire,
    rows: Rc<RefCell<Vec<String>>>,
    mut version: watch::Receiver<usize>,
    counts: Rc<Counts>,
) -> io::Result<()> {
    let head = wire.head().await?;
    wire.body(&head).await?;
    let mut told = *version.borrow_and_update();
    let all = rows.borrow().join(",");
    let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string()
        + &chunk(&format!("{{\"version\":{told},\"full\":true,\"servers\":[{all}]}}\n"));
    loop {
        add(&counts.list_bytes, text.len());
        wire.write(text.as_bytes()).await?;
        version.changed().await.map_err(io::Error::other)?;
        let newest = *version.borrow_and_update();
        text = String::new();
        for next in told + 1..=newest {
            let rows = rows.borrow();
            let row = &rows[changed(next, rows.len())];
            text += &chunk(&format!("{{\"version\":{next},\"full\":false,\"servers\":[{row}]}}\n"));
        }
        told = newest;
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sessions come so often that they ask at the wanted rate on the average, from the first moment on: those that would be
/// under way then begin within the first pause.
async fn send_traffic(front: SocketAddr, fleet: Fleet, counts: Rc<Counts>) {
    let mut rng = fastrand::Rng::with_seed(7);
    let mean_turns = (1 + TURNS) as f64 / 2.0;
    let mean_pause = Duration::from_millis((PAUSE_MS.start + PAUSE_MS.end) / 2);
    let under_way = (fleet.requests_per_s * mean_pause.as_secs_f64()) as usize;
    for session in 0..under_way {
        let (rng, counts, wait) = (rng.fork(), counts.clone(), mean_pause.mul_f64(rng.f64()));
        spawn_local(async move {
            sleep(wait).await;
            run_session(front, session, rng, counts).await;
        });
    }
    let between = Duration::from_secs_f64(mean_turns / fleet.requests_per_s);
    for session in under_way.. {
        sleep(between.mul_f64(2.0 * rng.f64())).await;
        spawn_local(run_session(front, session, rng.fork(), counts.clone()));
    }
}

async fn run_session(front: SocketAddr, session: usize, mut rng: fastrand::Rng, counts: Rc<Counts>) {
    let beginning = (rng.f64() * rng.f64() * BEGINNINGS) as usize;
    let alone = rng.f64() < ALONE;
    for turn in 0..rng.usize(1..=TURNS) {
        let keys = match alone {
            true => "Req-Extra: prompt_len=500\r\n".to_string(),
            false => format!(
                "Req-Key: k-{session}\r\nReq-Extra: prefix=p{beginning},prompt_len={},prefix_len=1500\r\n",
                2_000 + 200 * turn
            ),
        };
        let message = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nReq-Id: r-{session}-{turn}\r\nReq-Kind: chat\r\n\
             Req-Owner: t\r\n{keys}Content-Length: 2\r\n\r\n{{}}"
        );
        let answer = timeout(ANSWER, ask(front, message.as_bytes())).await;
        add(&counts.ended, 1);
        if let Ok(Ok(200)) = answer {
            add(&counts.served, 1);
        }
        sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
    }
}
