//! A fleet of processes of the program, with relays between all of them.
#![allow(dead_code)]

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde_json::Value;
use tallypin_test_support::park::{List, Node, Reserved};
use tallypin_test_support::relay::{Link, Relay};

/// What is awaited comes within this, or the test fails: far more than any of it takes.
const PATIENCE: Duration = Duration::from_secs(30);
/// The same of a large fleet.
const PATIENCE_LARGE: Duration = Duration::from_secs(180);
/// Up to so many routers a fleet is a small one.
const SMALL: usize = 20;
const KEY: &str = "the key of this fleet of tests\n";

const QUICK: &str = "beat 100ms\n silent 1500ms\n lease 1500ms\n answer 400ms\n within 4s";
pub const ONE: &str = " out-most 1\n out-zone 1";
pub const THREE: &str = " out-most 3\n out-zone 2";
pub const CONFIG: &str = include_str!("../../../examples/config.json");

/// A configuration that watches this list; replicas warm up for a second, and tenants' quotas are wide.
pub fn config(list: &List) -> String {
    let config = CONFIG.replace("127.0.0.1:8500", &list.at.to_string());
    let config = config.replace("\"ColdNs\": 23000000000", "\"ColdNs\": 1000000000");
    config.replace("\"QuotaPerS\": 19.0", "\"QuotaPerS\": 1900.0")
}

/// A row of the list.
pub fn row(id: &str, node: &Node, started_ms: u64) -> String {
    let at = node.at;
    format!(
        r#"{{"id":"{id}","addr":"{at}","zone":"rz-garching","kind":"gpu-neu","state":"active","started_ms":{started_ms}}}"#
    )
}

/// Sends a request; its connection, to read the answer from.
pub fn send(front: SocketAddr) -> Option<TcpStream> {
    static LAST: AtomicUsize = AtomicUsize::new(0);
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let id = LAST.fetch_add(1, Ordering::SeqCst);
    let head = format!("Req-Id: t-{id}\r\nReq-Kind: chat\r\nReq-Owner: haendlerbund\r\nConnection: close\r\nContent-Length: 2\r\n");
    stream
        .write_all(format!("POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\n{head}\r\n{{}}").as_bytes())
        .ok()?;
    Some(stream)
}

/// The status of an answer, and whether it is whole; 0: there was none.
pub fn answer(stream: Option<TcpStream>) -> (u16, bool) {
    let mut said = String::new();
    let read = stream.map(|mut s| s.read_to_string(&mut said));
    let status = said.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
    (status, matches!(read, Some(Ok(_))) && (status != 200 || said.contains("[DONE]")))
}

pub struct RouterProcess {
    pub name: String,
    pub agent: SocketAddr,
    pub at: SocketAddr,
    pub dir: PathBuf,
    pub child: Mutex<Option<Child>>,
    /// How often it was started.
    pub starts: AtomicUsize,
    pub front: SocketAddr,
}

impl RouterProcess {
    /// One that has not been started, with addresses of its own.
    fn new(r: usize, ip: &str, dir: PathBuf, reserved: &mut Vec<Reserved>) -> RouterProcess {
        let [agent, at, front] = [(); 3].map(|()| {
            reserved.push(Reserved::on(ip).unwrap());
            reserved[reserved.len() - 1].at
        });
        std::fs::create_dir_all(&dir).unwrap();
        let (child, starts) = (Mutex::default(), AtomicUsize::new(0));
        RouterProcess { name: format!("r{r}"), agent, at, dir, child, starts, front }
    }
}

pub struct FleetProcesses {
    pub routers: Vec<RouterProcess>,
    /// Whoever has ended is started again, as a supervisor does.
    pub supervised: AtomicBool,
    /// The endpoint list and the replica where a test brings none.
    pub park: (List, Node),
    /// By who calls and who is called.
    relays: Vec<Vec<Option<Relay>>>,
    /// Their addresses, kept from everybody else.
    _reserved: Vec<Reserved>,
}

fn ip(net: u8, r: usize) -> String {
    format!("127.{net}.{}.{}", r % 250 + 1, r / 250 + 1)
}

/// Only members are called. Of a large fleet only members have relays: each takes threads.
fn relays(net: u8, routers: &[RouterProcess], council: usize) -> Vec<Vec<Option<Relay>>> {
    let relayed =
        |from: usize, to: usize| from != to && to < council && (from < council || routers.len() <= SMALL);
    let relay = |from: usize, to: usize| {
        relayed(from, to).then(|| Relay::start(&ip(net, from), routers[to].at).unwrap())
    };
    (0..routers.len()).map(|from| (0..routers.len()).map(|to| relay(from, to)).collect()).collect()
}

/// The settings of a router.
fn settings(
    own: usize,
    routers: &[RouterProcess],
    relays: &[Option<Relay>],
    council: usize,
    bounds: &str,
) -> String {
    let router = &routers[own];
    let dir = router.dir.display();
    // A small fleet at a pace of its own, a large one as it ships.
    let pace = if routers.len() > SMALL { "" } else { QUICK };
    let mut text = format!(
        "log {{\n level warn\n target fleet debug\n}}\n\
         checks {{\n agent {{\n listen {}\n}}\n}}\ncontrol {{\n socket {dir}/ctl\n}}\n\
         drain {{\n least 1ms\n settle 1ms\n parting 1ms\n unknown-interval 1ms\n intervals 1\n}}\n\
         fleet {{\n name test\n me r{own}\n key {dir}/key\n {pace}\n{bounds}\n\
         store {dir}/stored\n release settings {dir}/t.conf {dir}/store\n \
         release configuration {dir}/config.json {dir}/store\n council",
        router.agent,
    );
    (0..council).for_each(|r| text += &format!(" r{r}"));
    for (r, other) in routers.iter().enumerate() {
        let at = relays[r].as_ref().map_or(other.at, |relay| relay.at);
        text += &format!("\n router r{r} {at} zone-{}", r % 2);
    }
    text + "\n}\n"
}

impl FleetProcesses {
    /// So many routers, alternately of two zones, the first of them the council; `bounds` are lines of the settings.
    pub fn new(
        test: &str,
        net: u8,
        routers: usize,
        council: usize,
        bounds: &str,
        config: &str,
    ) -> FleetProcesses {
        // Without replicas nobody would be ready.
        let node = Node::start(&format!("127.{net}.9.2"));
        let list = List::start(&format!("127.{net}.9.2"), &[row("n0", &node, 1)]);
        let config = if config == CONFIG { &self::config(&list) } else { config };
        let base = std::env::temp_dir().join(format!("tallypin-fleet-{test}-{}", std::process::id()));
        let mut reserved = Vec::new();
        let routers: Vec<RouterProcess> = (0..routers)
            .map(|r| RouterProcess::new(r, &ip(net, r), base.join(format!("r{r}")), &mut reserved))
            .collect();
        let relays = relays(net, &routers, council);
        for (own, router) in routers.iter().enumerate() {
            std::fs::write(router.dir.join("key"), KEY).unwrap();
            std::fs::write(router.dir.join("config.json"), config).unwrap();
            std::fs::create_dir_all(router.dir.join("store")).unwrap();
            let text = settings(own, &routers, &relays[own], council, bounds);
            std::fs::write(router.dir.join("t.conf"), text).unwrap();
        }
        let fleet = FleetProcesses {
            routers,
            relays,
            supervised: AtomicBool::new(false),
            park: (list, node),
            _reserved: reserved,
        };
        (0..fleet.routers.len()).for_each(|r| fleet.start(r));
        fleet
    }

    /// The same, bootstrapped and resumed.
    pub fn begun(test: &str, net: u8, routers: usize, council: usize, bounds: &str) -> FleetProcesses {
        FleetProcesses::with(test, net, routers, council, bounds, CONFIG)
    }

    /// The same with another configuration.
    pub fn with(
        test: &str,
        net: u8,
        routers: usize,
        council: usize,
        bounds: &str,
        config: &str,
    ) -> FleetProcesses {
        let fleet = FleetProcesses::new(test, net, routers, council, bounds, config);
        fleet.until("all are of the council", || fleet.order(0, "status")["halted"].is_string());
        // With an id it runs once, however often it is sent.
        fleet.until("it goes on", || fleet.order(0, "--id begin resume")["done"] == true);
        fleet.until("all take orders", || (0..routers).all(|r| fleet.order(r, "status")["done"] == true));
        let none = serde_json::json!([]);
        fleet.until("all are seen to serve", || {
            (0..council).all(|r| fleet.order(r, "status")["out_here"] == none)
        });
        fleet
    }

    pub fn start(&self, r: usize) {
        self.start_with(r, &[]);
    }

    /// The same, with more in its environment.
    pub fn start_with(&self, r: usize, environment: &[(&str, &str)]) {
        let router = &self.routers[r];
        let log = File::options().create(true).append(true).open(router.dir.join("log")).unwrap();
        let mut serve = Command::new(env!("CARGO_BIN_EXE_tallypin"));
        serve.env_clear().arg("serve").arg("--settings").arg(router.dir.join("t.conf"));
        serve.env("PROXY_CONFIG", router.dir.join("config.json"));
        serve.env("PROXY_LISTEN", router.front.to_string()).stdout(Stdio::null()).stderr(log);
        serve.envs(environment.iter().copied());
        *router.child.lock().unwrap() = Some(serve.spawn().unwrap());
        router.starts.fetch_add(1, Ordering::SeqCst);
    }

    pub fn signal(&self, r: usize, name: &str) {
        let id = self.routers[r].child.lock().unwrap().as_ref().unwrap().id();
        assert!(Command::new("kill").args([name, &id.to_string()]).status().unwrap().success());
    }

    pub fn kill(&self, r: usize) {
        let mut child = self.routers[r].child.lock().unwrap().take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    pub fn starts(&self, r: usize) -> usize {
        self.routers[r].starts.load(Ordering::SeqCst)
    }

    /// Starts again whoever has ended by itself.
    pub fn supervise(&self) {
        for r in 0..self.routers.len() {
            let ended = |child: &mut Child| child.try_wait().unwrap().is_some();
            let ended = self.routers[r].child.lock().unwrap().as_mut().is_some_and(ended);
            if ended {
                self.start(r);
            }
        }
    }

    /// An order at a router, as an operator gives it; what it prints, and `code`, the exit code.
    pub fn order(&self, r: usize, order: &str) -> Value {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tallypin"));
        command.arg("fleet").arg("--socket").arg(self.routers[r].dir.join("ctl")).args(order.split(' '));
        let out = command.output().unwrap();
        let mut said: Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
        if said.is_object() {
            said["code"] = out.status.code().into();
        }
        said
    }

    /// Whether a router is out of service, as a balancer's check has it; `None`: it does not answer.
    pub fn out(&self, r: usize) -> Option<bool> {
        let mut stream = TcpStream::connect(self.routers[r].agent).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
        stream.write_all(b"\n").ok()?;
        let mut said = String::new();
        stream.read_to_string(&mut said).ok()?;
        Some(!said.contains("ready"))
    }

    /// Who is out at one moment: asked one after the other, so whoever is out both before and after the others were asked.
    pub fn all_out(&self) -> Vec<usize> {
        let mut out: Vec<usize> = (0..self.routers.len()).filter(|&r| self.out(r) == Some(true)).collect();
        out.retain(|&r| self.out(r) == Some(true));
        out
    }

    /// How many do not serve, seen from outside: drained, starting, dead or stopped.
    pub fn gone(&self) -> Vec<usize> {
        let all: Vec<usize> = (0..self.routers.len()).collect();
        std::thread::scope(|s| {
            let parts = all.chunks(60).map(|part| {
                s.spawn(move || {
                    part.iter().copied().filter(|&r| self.out(r) != Some(false)).collect::<Vec<_>>()
                })
            });
            let parts: Vec<_> = parts.collect();
            parts.into_iter().flat_map(|part| part.join().unwrap()).collect()
        })
    }

    /// Waits until it is so; what is out by the way must never be more than `most`.
    pub fn until_within(&self, what: &str, most: usize, so: impl Fn() -> bool) {
        let begun = Instant::now();
        while !so() {
            if self.supervised.load(Ordering::SeqCst) {
                self.supervise();
            }
            let out = self.all_out();
            assert!(out.len() <= most, "{out:?} are out at once: {what}");
            let patience = if self.routers.len() > SMALL { PATIENCE_LARGE } else { PATIENCE };
            assert!(begun.elapsed() < patience, "not in time: {what}; {}", self.order(0, "status"));
        }
    }

    pub fn until(&self, what: &str, so: impl Fn() -> bool) {
        self.until_within(what, usize::MAX, so);
    }

    /// The order that a router is out, or to go, by, and how far it has come.
    pub fn stage(&self, at: usize, of: usize) -> String {
        let said = self.order(at, "status");
        let name = self.routers[of].name.as_str();
        let entry = said["entries"].as_array().and_then(|all| all.iter().find(|e| e["router"] == name));
        entry.map_or(String::new(), |e| e["stage"].as_str().unwrap_or_default().to_string())
    }

    /// How often a router has asked for leave and was refused for want of room, as its log tells.
    pub fn refused(&self, r: usize) -> usize {
        let log = self.log(r);
        log.lines()
            .filter(|l| {
                l.contains("command rejected command=AcquireLease") && l.contains("may be out at once")
            })
            .count()
    }

    pub fn log(&self, r: usize) -> String {
        std::fs::read_to_string(self.routers[r].dir.join("log")).unwrap()
    }

    /// Links between two sides, both ways.
    pub fn between(&self, one: &[usize], other: &[usize], link: Link) {
        let pairs = one.iter().flat_map(|&a| other.iter().flat_map(move |&b| [(a, b), (b, a)]));
        pairs.filter_map(|(from, to)| self.relays[from][to].as_ref()).for_each(|relay| relay.set(link));
    }
}

impl Drop for FleetProcesses {
    fn drop(&mut self) {
        for router in &mut self.routers {
            if let Some(mut child) = router.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            if !std::thread::panicking() {
                let _ = std::fs::remove_dir_all(&router.dir);
            }
        }
    }
}
