//! What checks cost and what they are good for, with the program as it is run: the time to answer a check at rest
//! and under load, and how load spreads over three routers of which one is slow, with weights and without.
//!
//! `cargo bench -p tallypin-router --bench checks`; half a minute. Figures are for the machine they were taken on:
//! the ratios within one run are what to compare.
#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{platform, Node};
use hdrhistogram::Histogram;
use tallypin_router::dialect::Dialect;
use tallypin_router::probe;
use tallypin_test_support::balancer::{Balancer, Check};
use tallypin_test_support::checkers::agent_line;

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

struct Program {
    child: Child,
    front: SocketAddr,
    agent: SocketAddr,
    http: SocketAddr,
    grpc: SocketAddr,
    dir: std::path::PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Program {
    fn start(node: SocketAddr) -> Program {
        let (front, agent, http, grpc) = (free(), free(), free(), free());
        let dir =
            std::env::temp_dir().join(format!("tallypin-bench-{}-{}", std::process::id(), front.port()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let known = format!(
            r#""known": {{"version": 1, "full": true, "servers": [{{"id": "s-0", "addr": "{node}", "state": "active"}}]}},
               "settings""#
        );
        let config = common::CONFIG
            .replace("\"listen\": \"127.0.0.1:0\"", &format!("\"listen\": \"{front}\""))
            .replace("\"peer_listen\": \"127.0.0.1:0\", \"peers\": [\"127.0.0.1:0\"],", "")
            .replacen("\"settings\"", &known, 1);
        let settings = format!(
            "checks {{\n agent {{\n listen {agent}\n}}\n http {{\n listen {http}\n}}\n grpc {{\n listen {grpc}\n}}\n}}\n\
             health {{\n slow-start 0ms\n}}\nlog {{\n level warn\n}}\n"
        );
        let (config_at, settings_at) = (dir.join("config.json"), dir.join("t.conf"));
        std::fs::write(&config_at, config).and(std::fs::write(&settings_at, settings)).expect("its files");
        let child = Command::new(env!("CARGO_BIN_EXE_tallypin"))
            .args(["serve", "--settings"])
            .arg(&settings_at)
            .env_clear()
            .env("PROXY_CONFIG", &config_at)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program");
        Program { child, front, agent, http, grpc, dir }
    }

    async fn ready(&self) {
        let by = Instant::now() + Duration::from_secs(10);
        while !agent_line(self.agent, "").await.is_some_and(|l| l.starts_with("up ready 100%")) {
            assert!(Instant::now() < by, "the router does not come up");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.is_ok_and(|s| s.success()));
    }

    fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("its bounds")
}

fn told(name: &str, h: &Histogram<u64>) {
    let us = |q| h.value_at_quantile(q);
    println!("{name:34} n {:6}  p50 {:7} us  p99 {:7} us  max {:7} us", h.len(), us(0.5), us(0.99), h.max());
}

/// Runs something on a thread and runtime of its own, so that its work does not show in what is timed here.
fn aside<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> std::thread::JoinHandle<T> {
    std::thread::spawn(work)
}

fn local<F: std::future::Future>(work: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, work)
}

/// A node on a thread of its own.
fn node() -> SocketAddr {
    let (tell, told) = std::sync::mpsc::channel();
    aside(move || {
        local(async move {
            let node = Node::new(Dialect::Chat).await;
            let _ = tell.send(node.addr);
            std::future::pending::<()>().await;
            drop(node);
        })
    });
    told.recv().expect("its address")
}

async fn checks(program: &Program, when: &str, rounds: usize) -> Histogram<u64> {
    let (mut agent, mut http, mut grpc) = (histogram(), histogram(), histogram());
    for _ in 0..rounds {
        let at = Instant::now();
        agent_line(program.agent, "\n").await.expect("an agent check");
        agent += at.elapsed().as_micros() as u64;
        let at = Instant::now();
        probe::http(program.http, "/healthz").await.expect("a check over HTTP");
        http += at.elapsed().as_micros() as u64;
        let at = Instant::now();
        probe::grpc(program.grpc, "").await.expect("a gRPC check");
        grpc += at.elapsed().as_micros() as u64;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    told(&format!("agent check, {when}"), &agent);
    told(&format!("HTTP check, {when}"), &http);
    told(&format!("gRPC check, {when}"), &grpc);
    agent
}

/// Clients that ask without a break until told to stop; how many were served, and how long each took.
async fn load(balancer: Rc<Balancer>, clients: usize, until: Instant) -> (u64, Histogram<u64>) {
    let all = Rc::new((Cell::new(0u64), std::cell::RefCell::new(histogram())));
    let tasks: Vec<_> = (0..clients)
        .map(|_| {
            let (balancer, all) = (balancer.clone(), all.clone());
            tokio::task::spawn_local(async move {
                while Instant::now() < until {
                    let at = Instant::now();
                    let outcome = balancer.ask(&platform("", "{}")).await;
                    all.0.set(all.0.get() + u64::from(outcome.status == 200));
                    *all.1.borrow_mut() += at.elapsed().as_micros() as u64;
                    // A client thinks: it is what other clients wait behind that shows.
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
            })
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
    let (served, times) = (all.0.get(), all.1.borrow().clone());
    (served, times)
}

fn spread(weights: bool) -> (f64, Histogram<u64>) {
    let at = node();
    let programs: Vec<Program> = (0..3).map(|_| Program::start(at)).collect();
    local(async {
        for program in &programs {
            program.ready().await;
        }
    });
    let servers: Vec<_> = programs.iter().map(|p| (p.front, p.agent)).collect();
    let until = Instant::now() + Duration::from_secs(8);
    let asked = aside(move || {
        local(async move {
            let check =
                |at| if weights { Check::Agent(at, Duration::from_millis(100), "") } else { Check::None };
            let balancer = Rc::new(Balancer::new(servers.into_iter().map(|(front, at)| (front, check(at)))));
            tokio::time::sleep(Duration::from_millis(200)).await;
            // What counts is after the weights have had time to move.
            let first = load(balancer.clone(), 24, until - Duration::from_secs(4)).await;
            drop(first);
            let before: Vec<u64> = (0..3).map(|n| balancer.sent(n)).collect();
            let (_, times) = load(balancer.clone(), 24, until).await;
            let sent: Vec<u64> = (0..3).map(|n| balancer.sent(n) - before[n]).collect();
            (sent[0] as f64 / sent.iter().sum::<u64>().max(1) as f64, times)
        })
    });
    // The first router has the processor for two fifths of the time.
    while Instant::now() < until {
        programs[0].signal("-STOP");
        std::thread::sleep(Duration::from_millis(60));
        programs[0].signal("-CONT");
        std::thread::sleep(Duration::from_millis(40));
    }
    asked.join().expect("the load")
}

fn main() {
    let at = node();
    let program = Program::start(at);
    local(program.ready());
    let rest = local(checks(&program, "at rest", 500));
    println!("memory at rest {} KiB", program.memory_kib());
    let (front, until) = (program.front, Instant::now() + Duration::from_secs(6));
    let asked = aside(move || {
        local(async move {
            let balancer = Rc::new(Balancer::new([(front, Check::None)]));
            load(balancer, 128, until).await
        })
    });
    std::thread::sleep(Duration::from_millis(500));
    let busy = local(checks(&program, "under load", 500));
    let (served, times) = asked.join().expect("the load");
    println!("load: {served} requests served in 6 s over 128 clients, memory {} KiB", program.memory_kib());
    told("request under load", &times);
    let ratio = |q| busy.value_at_quantile(q) as f64 / rest.value_at_quantile(q).max(1) as f64;
    println!("agent check under load over at rest: p50 x{:.1}, p99 x{:.1}", ratio(0.5), ratio(0.99));
    drop(program);
    for (weights, name) in [(false, "without weights"), (true, "with weights")] {
        let (share, times) = spread(weights);
        println!("one router of three slow, {name}: it gets {:.1}% of requests", share * 100.0);
        told(&format!("request, {name}"), &times);
    }
}
