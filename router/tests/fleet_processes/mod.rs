//! Starts a fleet of router processes whose connections to each other pass through relays.
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
use tallypin_test_support::mock_services::{MockEndpointList, MockReplica, ReservedAddress};
use tallypin_test_support::relay::{Link, Relay};

/// Maximum wait for a condition in a small fleet, well above what any condition takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum wait for a condition in a large fleet.
const LARGE_FLEET_WAIT_TIMEOUT: Duration = Duration::from_secs(180);
/// Maximum number of routers of a small fleet.
const SMALL_FLEET_ROUTERS: usize = 20;
const FLEET_KEY: &str = "the key of this fleet of tests\n";

/// Settings of the heartbeats and leases of a small fleet, shorter than the defaults.
const FAST_TIMINGS: &str = "beat 100ms\n lease 1500ms\n answer 400ms\n within 4s";
/// Silence limit of a small fleet whose limits state none.
const FAST_SILENCE_LIMIT: &str = "\n silent 1500ms";
/// Settings that allow one router to be out of service at a time.
pub const ONE_OUT: &str = " out-most 1\n out-zone 1";
/// Settings that allow three routers to be out of service at a time, two of them in one zone.
pub const THREE_OUT: &str = " out-most 3\n out-zone 2";
pub const CONFIG: &str = include_str!("../../../examples/config.json");

/// Returns the example configuration with this endpoint list service, a warm-up of 1 s and large tenant quotas.
pub fn config(list: &MockEndpointList) -> String {
    let config = CONFIG.replace("127.0.0.1:8500", &list.addr.to_string());
    let config = config.replace("\"ColdNs\": 23000000000", "\"ColdNs\": 1000000000");
    config.replace("\"QuotaPerS\": 19.0", "\"QuotaPerS\": 1900.0")
}

/// Returns an active entry of the endpoint list as JSON.
pub fn endpoint_entry(id: &str, replica: &MockReplica, started_ms: u64) -> String {
    let at = replica.addr;
    format!(
        r#"{{"id":"{id}","addr":"{at}","zone":"rz-garching","kind":"gpu-neu","state":"active","started_ms":{started_ms}}}"#
    )
}

/// Sends a request and returns the connection to read the response from.
pub fn send_request(front_addr: SocketAddr) -> Option<TcpStream> {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let mut stream = TcpStream::connect(front_addr).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let head = format!("Req-Id: t-{id}\r\nReq-Kind: chat\r\nReq-Owner: haendlerbund\r\nConnection: close\r\nContent-Length: 2\r\n");
    stream
        .write_all(format!("POST /v1/chat/completions HTTP/1.1\r\nHost: t\r\n{head}\r\n{{}}").as_bytes())
        .ok()?;
    Some(stream)
}

/// Returns the status of a response, 0 if there was none, and whether the response is complete.
pub fn read_response(stream: Option<TcpStream>) -> (u16, bool) {
    let mut response = String::new();
    let read = stream.map(|mut s| s.read_to_string(&mut response));
    let status = response.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
    (status, matches!(read, Some(Ok(_))) && (status != 200 || response.contains("[DONE]")))
}

pub struct RouterProcess {
    pub name: String,
    /// Address of the agent check.
    pub agent_addr: SocketAddr,
    /// Address for messages of the fleet.
    pub fleet_addr: SocketAddr,
    /// Holds the files of this router: settings, configuration, key, log, control socket and release store.
    pub dir: PathBuf,
    pub child: Mutex<Option<Child>>,
    /// Number of times the process was started.
    pub starts: AtomicUsize,
    /// Address for client requests.
    pub front_addr: SocketAddr,
}

impl RouterProcess {
    /// Reserves the addresses of a router and creates its directory, without starting the process.
    fn new(r: usize, ip: &str, dir: PathBuf, reserved: &mut Vec<ReservedAddress>) -> RouterProcess {
        let [agent_addr, fleet_addr, front_addr] = [(); 3].map(|()| {
            reserved.push(ReservedAddress::on(ip).unwrap());
            reserved[reserved.len() - 1].addr
        });
        std::fs::create_dir_all(&dir).unwrap();
        let (child, starts) = (Mutex::default(), AtomicUsize::new(0));
        RouterProcess { name: format!("r{r}"), agent_addr, fleet_addr, dir, child, starts, front_addr }
    }
}

pub struct FleetProcesses {
    pub routers: Vec<RouterProcess>,
    /// Whether waiting for a condition restarts routers that have ended, as a supervisor does.
    pub supervised: AtomicBool,
    /// Endpoint list service and replica for tests that provide none.
    pub default_endpoints: (MockEndpointList, MockReplica),
    /// By the index of the calling router, then of the called one.
    relays: Vec<Vec<Option<Relay>>>,
    /// Keeps other processes from being given the addresses of the routers.
    _reserved: Vec<ReservedAddress>,
}

/// Returns the loopback address of the router with index `r`; `net` separates concurrent tests.
fn router_ip(net: u8, r: usize) -> String {
    format!("127.{net}.{}.{}", r % 250 + 1, r / 250 + 1)
}

/// Starts relays to the council members, as other routers are not called. In a large fleet only links between members have
/// a relay, because each relay takes threads.
fn start_relays(net: u8, routers: &[RouterProcess], council: usize) -> Vec<Vec<Option<Relay>>> {
    let relayed = |from: usize, to: usize| {
        from != to && to < council && (from < council || routers.len() <= SMALL_FLEET_ROUTERS)
    };
    let relay = |from: usize, to: usize| {
        relayed(from, to).then(|| Relay::start(&router_ip(net, from), routers[to].fleet_addr).unwrap())
    };
    (0..routers.len()).map(|from| (0..routers.len()).map(|to| relay(from, to)).collect()).collect()
}

/// Returns the text of a router's settings.
fn settings(
    own: usize,
    routers: &[RouterProcess],
    relays: &[Option<Relay>],
    council: usize,
    limits: &str,
) -> String {
    let router = &routers[own];
    let dir = router.dir.display();
    // A large fleet has the default timings.
    let timings = if routers.len() > SMALL_FLEET_ROUTERS { "" } else { FAST_TIMINGS };
    let silence_limit =
        if timings.is_empty() || limits.contains(" silent ") { "" } else { FAST_SILENCE_LIMIT };
    let mut text = format!(
        "log {{\n level warn\n target fleet debug\n}}\n\
         checks {{\n agent {{\n listen {}\n}}\n}}\ncontrol {{\n socket {dir}/ctl\n}}\n\
         drain {{\n least 1ms\n settle 1ms\n parting 1ms\n unknown-interval 1ms\n intervals 1\n}}\n\
         fleet {{\n name test\n me r{own}\n key {dir}/key\n {timings}{silence_limit}\n{limits}\n\
         store {dir}/stored\n release settings {dir}/t.conf {dir}/store\n \
         release configuration {dir}/config.json {dir}/store\n council",
        router.agent_addr,
    );
    (0..council).for_each(|r| text += &format!(" r{r}"));
    for (r, other) in routers.iter().enumerate() {
        let addr = relays[r].as_ref().map_or(other.fleet_addr, |relay| relay.addr);
        text += &format!("\n router r{r} {addr} zone-{}", r % 2);
    }
    text + "\n}\n"
}

impl FleetProcesses {
    /// Starts a fleet in which routers alternate between two zones and the first `council` routers are the council.
    /// `limits` are lines of the settings.
    pub fn new(
        test: &str,
        net: u8,
        routers: usize,
        council: usize,
        limits: &str,
        config: &str,
    ) -> FleetProcesses {
        // Routers without replicas do not become ready.
        let replica = MockReplica::start(&format!("127.{net}.9.2"));
        let list = MockEndpointList::start(&format!("127.{net}.9.2"), &[endpoint_entry("n0", &replica, 1)]);
        let config = if config == CONFIG { &self::config(&list) } else { config };
        let base = std::env::temp_dir().join(format!("tallypin-fleet-{test}-{}", std::process::id()));
        let mut reserved = Vec::new();
        let routers: Vec<RouterProcess> = (0..routers)
            .map(|r| RouterProcess::new(r, &router_ip(net, r), base.join(format!("r{r}")), &mut reserved))
            .collect();
        let relays = start_relays(net, &routers, council);
        for (own, router) in routers.iter().enumerate() {
            std::fs::write(router.dir.join("key"), FLEET_KEY).unwrap();
            std::fs::write(router.dir.join("config.json"), config).unwrap();
            std::fs::create_dir_all(router.dir.join("store")).unwrap();
            let text = settings(own, &routers, &relays[own], council, limits);
            std::fs::write(router.dir.join("t.conf"), text).unwrap();
        }
        let fleet = FleetProcesses {
            routers,
            relays,
            supervised: AtomicBool::new(false),
            default_endpoints: (list, replica),
            _reserved: reserved,
        };
        (0..fleet.routers.len()).for_each(|r| fleet.start(r));
        fleet
    }

    /// Starts a fleet, then bootstraps and resumes it.
    pub fn resumed(test: &str, net: u8, routers: usize, council: usize, limits: &str) -> FleetProcesses {
        FleetProcesses::resumed_with_config(test, net, routers, council, limits, CONFIG)
    }

    /// Starts a fleet with this configuration, then bootstraps and resumes it.
    pub fn resumed_with_config(
        test: &str,
        net: u8,
        routers: usize,
        council: usize,
        limits: &str,
        config: &str,
    ) -> FleetProcesses {
        let fleet = FleetProcesses::new(test, net, routers, council, limits, config);
        fleet.wait_until("the council is bootstrapped", || {
            fleet.run_command(0, "status")["halted"].is_string()
        });
        // A command with an id takes effect once, however often it is sent.
        fleet
            .wait_until("the fleet is resumed", || fleet.run_command(0, "--id begin resume")["done"] == true);
        fleet.wait_until("all routers answer commands", || {
            (0..routers).all(|r| fleet.run_command(r, "status")["done"] == true)
        });
        let nobody = serde_json::json!([]);
        fleet.wait_until("every council member sees all routers in service", || {
            (0..council).all(|r| fleet.run_command(r, "status")["out_here"] == nobody)
        });
        fleet
    }

    pub fn start(&self, r: usize) {
        self.start_with_env(r, &[]);
    }

    /// Starts a router with additional environment variables.
    pub fn start_with_env(&self, r: usize, environment: &[(&str, &str)]) {
        let router = &self.routers[r];
        let log = File::options().create(true).append(true).open(router.dir.join("log")).unwrap();
        let mut serve = Command::new(env!("CARGO_BIN_EXE_tallypin"));
        serve.env_clear().arg("serve").arg("--settings").arg(router.dir.join("t.conf"));
        serve.env("PROXY_CONFIG", router.dir.join("config.json"));
        serve.env("PROXY_LISTEN", router.front_addr.to_string()).stdout(Stdio::null()).stderr(log);
        serve.envs(environment.iter().copied());
        *router.child.lock().unwrap() = Some(serve.spawn().unwrap());
        router.starts.fetch_add(1, Ordering::SeqCst);
    }

    /// Sends a router a signal, named as `kill` takes it.
    pub fn signal(&self, r: usize, name: &str) {
        let id = self.routers[r].child.lock().unwrap().as_ref().unwrap().id();
        assert!(Command::new("kill").args([name, &id.to_string()]).status().unwrap().success());
    }

    /// Kills a router and waits for its end.
    pub fn kill(&self, r: usize) {
        let mut child = self.routers[r].child.lock().unwrap().take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    pub fn starts(&self, r: usize) -> usize {
        self.routers[r].starts.load(Ordering::SeqCst)
    }

    /// Restarts the routers whose process has ended by itself.
    pub fn restart_ended_routers(&self) {
        for r in 0..self.routers.len() {
            let ended = |child: &mut Child| child.try_wait().unwrap().is_some();
            let ended = self.routers[r].child.lock().unwrap().as_mut().is_some_and(ended);
            if ended {
                self.start(r);
            }
        }
    }

    /// Runs `tallypin fleet` at a router and returns the JSON that it prints, with the exit code as `code`.
    pub fn run_command(&self, r: usize, arguments: &str) -> Value {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tallypin"));
        command.arg("fleet").arg("--socket").arg(self.routers[r].dir.join("ctl")).args(arguments.split(' '));
        let out = command.output().unwrap();
        let mut reply: Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
        if reply.is_object() {
            reply["code"] = out.status.code().into();
        }
        reply
    }

    /// Returns whether a router is out of service by its agent check, as a balancer sees it, or `None` without an answer.
    pub fn is_out(&self, r: usize) -> Option<bool> {
        let mut stream = TcpStream::connect(self.routers[r].agent_addr).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
        stream.write_all(b"\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(!answer.contains("ready"))
    }

    /// Returns the routers that are out of service at the same moment. Routers are checked one after the other, so only
    /// those that are out in two consecutive rounds count.
    pub fn routers_out(&self) -> Vec<usize> {
        let mut out: Vec<usize> = (0..self.routers.len()).filter(|&r| self.is_out(r) == Some(true)).collect();
        out.retain(|&r| self.is_out(r) == Some(true));
        out
    }

    /// Returns the routers whose agent check does not report them ready: drained, starting, dead or stopped.
    pub fn unavailable_routers(&self) -> Vec<usize> {
        let all: Vec<usize> = (0..self.routers.len()).collect();
        std::thread::scope(|s| {
            let parts = all.chunks(60).map(|part| {
                s.spawn(move || {
                    part.iter().copied().filter(|&r| self.is_out(r) != Some(false)).collect::<Vec<_>>()
                })
            });
            let parts: Vec<_> = parts.collect();
            parts.into_iter().flat_map(|part| part.join().unwrap()).collect()
        })
    }

    /// Waits until the condition holds, and fails if more than `max_out` routers are out of service meanwhile.
    pub fn wait_until_with_max_out(&self, what: &str, max_out: usize, condition: impl Fn() -> bool) {
        let started_at = Instant::now();
        while !condition() {
            if self.supervised.load(Ordering::SeqCst) {
                self.restart_ended_routers();
            }
            let out = self.routers_out();
            assert!(
                out.len() <= max_out,
                "too many routers are out of service at once: {out:?}, while waiting until {what}"
            );
            let timeout = if self.routers.len() > SMALL_FLEET_ROUTERS {
                LARGE_FLEET_WAIT_TIMEOUT
            } else {
                WAIT_TIMEOUT
            };
            assert!(
                started_at.elapsed() < timeout,
                "timed out waiting until {what}; status: {}",
                self.run_command(0, "status")
            );
        }
    }

    pub fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        self.wait_until_with_max_out(what, usize::MAX, condition);
    }

    /// Returns the stage of a router's drain, as the router `queried` reports it; empty if none is ordered.
    pub fn stage(&self, queried: usize, router: usize) -> String {
        let status = self.run_command(queried, "status");
        let name = self.routers[router].name.as_str();
        let entry = status["entries"].as_array().and_then(|all| all.iter().find(|e| e["router"] == name));
        entry.map_or(String::new(), |e| e["stage"].as_str().unwrap_or_default().to_string())
    }

    /// Counts in a router's log the lease requests that were refused because too many routers were out.
    pub fn lease_refusals(&self, r: usize) -> usize {
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

    /// Returns the relay on the link from a router to a council member.
    pub fn relay(&self, from: usize, to: usize) -> &Relay {
        self.relays[from][to].as_ref().expect("the link has a relay")
    }

    /// Sets the links between two groups of routers, in both directions.
    pub fn set_links(&self, one: &[usize], other: &[usize], link: Link) {
        let pairs = one.iter().flat_map(|&a| other.iter().flat_map(move |&b| [(a, b), (b, a)]));
        pairs.filter_map(|(from, to)| self.relays[from][to].as_ref()).for_each(|relay| relay.set_link(link));
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
