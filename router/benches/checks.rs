//! Measures health checks of the router program: the latency of a check on an idle router and under load, and the distribution
//! of load over three routers of which one is slow, with and without weights from agent checks.
//!
//! `cargo bench -p tallypin-router --bench checks` takes half a minute. Absolute figures depend on the machine; compare the
//! ratios within one run.
#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{platform_request, MockReplica};
use hdrhistogram::Histogram;
use tallypin_router::dialect::Dialect;
use tallypin_router::probe;
use tallypin_test_support::balancer::{Balancer, Check};
use tallypin_test_support::health_checks::agent_check_line;

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port is free")
}

struct RouterProcess {
    child: Child,
    front: SocketAddr,
    agent: SocketAddr,
    http: SocketAddr,
    grpc: SocketAddr,
    dir: std::path::PathBuf,
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl RouterProcess {
    fn start(replica: SocketAddr) -> RouterProcess {
        let (front, agent, http, grpc) = (free_address(), free_address(), free_address(), free_address());
        let dir =
            std::env::temp_dir().join(format!("tallypin-bench-{}-{}", std::process::id(), front.port()));
        std::fs::create_dir_all(&dir).expect("the directory can be created");
        let initial_list = format!(
            r#""known": {{"version": 1, "full": true, "servers": [{{"id": "s-0", "addr": "{replica}", "state": "active"}}]}},
               "settings""#
        );
        let config = common::CONFIG
            .replace("\"listen\": \"127.0.0.1:0\"", &format!("\"listen\": \"{front}\""))
            .replace("\"peer_listen\": \"127.0.0.1:0\", \"peers\": [\"127.0.0.1:0\"],", "")
            .replacen("\"settings\"", &initial_list, 1);
        let settings = format!(
            "checks {{\n agent {{\n listen {agent}\n}}\n http {{\n listen {http}\n}}\n grpc {{\n listen {grpc}\n}}\n}}\n\
             health {{\n slow-start 0ms\n}}\nlog {{\n level warn\n}}\n"
        );
        let (config_path, settings_path) = (dir.join("config.json"), dir.join("t.conf"));
        std::fs::write(&config_path, config)
            .and(std::fs::write(&settings_path, settings))
            .expect("the files can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_tallypin"))
            .args(["serve", "--settings"])
            .arg(&settings_path)
            .env_clear()
            .env("PROXY_CONFIG", &config_path)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the router starts");
        RouterProcess { child, front, agent, http, grpc, dir }
    }

    async fn until_up(&self) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while !agent_check_line(self.agent, "").await.is_some_and(|l| l.starts_with("up ready 100%")) {
            assert!(Instant::now() < deadline, "the router is not up within 10 s");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.is_ok_and(|s| s.success()));
    }

    fn peak_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

fn print_latency(name: &str, h: &Histogram<u64>) {
    let us = |q| h.value_at_quantile(q);
    println!("{name:34} n {:6}  p50 {:7} us  p99 {:7} us  max {:7} us", h.len(), us(0.5), us(0.99), h.max());
}

/// Runs work on a thread of its own, so that it does not add to the measured latencies.
fn on_thread<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> std::thread::JoinHandle<T> {
    std::thread::spawn(work)
}

fn block_on_local<F: std::future::Future>(work: F) -> F::Output {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    tokio::task::LocalSet::new().block_on(&runtime, work)
}

/// Starts a mock replica on a thread of its own.
fn start_replica() -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    on_thread(move || {
        block_on_local(async move {
            let replica = MockReplica::new(Dialect::Chat).await;
            let _ = sender.send(replica.addr);
            std::future::pending::<()>().await;
            drop(replica);
        })
    });
    receiver.recv().expect("the replica sends its address")
}

async fn measure_checks(router: &RouterProcess, condition: &str, rounds: usize) -> Histogram<u64> {
    let (mut agent, mut http, mut grpc) = (histogram(), histogram(), histogram());
    for _ in 0..rounds {
        let started = Instant::now();
        agent_check_line(router.agent, "\n").await.expect("the agent check is answered");
        agent += started.elapsed().as_micros() as u64;
        let started = Instant::now();
        probe::check_http(router.http, "/healthz").await.expect("the HTTP check is answered");
        http += started.elapsed().as_micros() as u64;
        let started = Instant::now();
        probe::check_grpc(router.grpc, "").await.expect("the gRPC check is answered");
        grpc += started.elapsed().as_micros() as u64;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    print_latency(&format!("agent check, {condition}"), &agent);
    print_latency(&format!("HTTP check, {condition}"), &http);
    print_latency(&format!("gRPC check, {condition}"), &grpc);
    agent
}

/// Runs clients that send requests until `end`. Returns the number of served requests and the latencies of all requests.
async fn run_clients(balancer: Rc<Balancer>, clients: usize, end: Instant) -> (u64, Histogram<u64>) {
    let totals = Rc::new((Cell::new(0u64), std::cell::RefCell::new(histogram())));
    let tasks: Vec<_> = (0..clients)
        .map(|_| {
            let (balancer, totals) = (balancer.clone(), totals.clone());
            tokio::task::spawn_local(async move {
                while Instant::now() < end {
                    let started = Instant::now();
                    let outcome = balancer.send(&platform_request("", "{}")).await;
                    totals.0.set(totals.0.get() + u64::from(outcome.status == 200));
                    *totals.1.borrow_mut() += started.elapsed().as_micros() as u64;
                    // Clients pause between requests, so that the latency shows the wait behind other clients.
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
            })
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
    let (served, latencies) = (totals.0.get(), totals.1.borrow().clone());
    (served, latencies)
}

/// Measures three routers of which the first is slow. Returns the first router's share of the requests and the latencies.
fn measure_spread(with_weights: bool) -> (f64, Histogram<u64>) {
    let replica = start_replica();
    let routers: Vec<RouterProcess> = (0..3).map(|_| RouterProcess::start(replica)).collect();
    block_on_local(async {
        for router in &routers {
            router.until_up().await;
        }
    });
    let servers: Vec<_> = routers.iter().map(|r| (r.front, r.agent)).collect();
    let end = Instant::now() + Duration::from_secs(8);
    let clients = on_thread(move || {
        block_on_local(async move {
            let check = |agent| {
                if with_weights {
                    Check::Agent(agent, Duration::from_millis(100), "")
                } else {
                    Check::None
                }
            };
            let balancer =
                Rc::new(Balancer::new(servers.into_iter().map(|(front, agent)| (front, check(agent)))));
            tokio::time::sleep(Duration::from_millis(200)).await;
            // Only the second half is measured, after the weights have adapted.
            let warm_up = run_clients(balancer.clone(), 24, end - Duration::from_secs(4)).await;
            drop(warm_up);
            let before: Vec<u64> = (0..3).map(|n| balancer.requests_sent(n)).collect();
            let (_, latencies) = run_clients(balancer.clone(), 24, end).await;
            let sent: Vec<u64> = (0..3).map(|n| balancer.requests_sent(n) - before[n]).collect();
            (sent[0] as f64 / sent.iter().sum::<u64>().max(1) as f64, latencies)
        })
    });
    // The first router runs for only two fifths of the time.
    while Instant::now() < end {
        routers[0].signal("-STOP");
        std::thread::sleep(Duration::from_millis(60));
        routers[0].signal("-CONT");
        std::thread::sleep(Duration::from_millis(40));
    }
    clients.join().expect("the clients complete")
}

fn main() {
    let replica = start_replica();
    let router = RouterProcess::start(replica);
    block_on_local(router.until_up());
    let idle = block_on_local(measure_checks(&router, "at rest", 500));
    println!("memory at rest {} KiB", router.peak_memory_kib());
    let (front, end) = (router.front, Instant::now() + Duration::from_secs(6));
    let clients = on_thread(move || {
        block_on_local(async move {
            let balancer = Rc::new(Balancer::new([(front, Check::None)]));
            run_clients(balancer, 128, end).await
        })
    });
    std::thread::sleep(Duration::from_millis(500));
    let loaded = block_on_local(measure_checks(&router, "under load", 500));
    let (served, latencies) = clients.join().expect("the clients complete");
    println!(
        "load: {served} requests served in 6 s over 128 clients, memory {} KiB",
        router.peak_memory_kib()
    );
    print_latency("request under load", &latencies);
    let ratio = |q| loaded.value_at_quantile(q) as f64 / idle.value_at_quantile(q).max(1) as f64;
    println!("agent check under load over at rest: p50 x{:.1}, p99 x{:.1}", ratio(0.5), ratio(0.99));
    drop(router);
    for (with_weights, name) in [(false, "without weights"), (true, "with weights")] {
        let (share, latencies) = measure_spread(with_weights);
        println!("one router of three slow, {name}: it gets {:.1}% of requests", share * 100.0);
        print_latency(&format!("request, {name}"), &latencies);
    }
}
