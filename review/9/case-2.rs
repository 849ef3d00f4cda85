//! All routers lose their watches at once, and discovery has too many callers for some seconds. A worker begins to drain
//! meanwhile and stays up.

#[path = "../common-2/mod.rs"]
mod common;

use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// The routers that share discovery; STANDING has twenty to thirty on its days with few routers.
const ROUTERS: usize = 30;
/// Time of one call at discovery: 8.7 s for a call of each router. The site file of muenchen-nord has 4.3 to 8.9 s.
const TURN: Duration = Duration::from_millis(290);
/// When the worker begins to drain, after the watches are lost, and how long requests are sent then.
const DRAIN_AFTER: Duration = Duration::from_millis(500);
const SEND_AFTER_DRAIN: Duration = Duration::from_secs(12);
/// A change counts as told at the latest this long after discovery had it (STANDING).
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// Grace of a drain at the site, the 50 ms that each limit is longer on sockets, and a margin of the harness.
const GRACE: Duration = Duration::from_millis(750 + 50);
const MARGIN: Duration = Duration::from_millis(200);
const QUIET: Duration = Duration::from_secs(3);
const ASK_INTERVAL: Duration = Duration::from_millis(120);
const DEADLINE: Duration = Duration::from_secs(4);
const WORKERS: usize = 4;

/// When each request reached the draining worker.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts the workers; the first records its arrivals.
fn start_workers(record: &Record, arrivals: &Arrivals) -> io::Result<Vec<Row>> {
    let mut rows = Vec::new();
    for number in 0..WORKERS {
        let (arrivals, record) = (arrivals.clone(), record.clone());
        let serve = move |request: &Message, stream: &mut TcpStream| {
            if number == 0 {
                arrivals.lock().unwrap().push(Instant::now());
                record.line(&format!("worker s-0: request {}", request.field("req-id")));
            }
            write_stream(stream, 5, Duration::from_millis(10))
        };
        let worker = Worker::start(Arc::new(serve))?;
        let (id, zone, state) = (format!("s-{number}"), "seoul".into(), "active".into());
        rows.push(Row { id, address: worker.address, zone, cell: 0, state, started_ms: 0 });
    }
    Ok(rows)
}

/// Sends requests to a router, one after the other, until `done` is set.
fn ask_repeatedly(record: &Record, number: usize, router: &Router, done: &Flag) -> thread::JoinHandle<()> {
    let (record, done, address) = (record.clone(), done.clone(), router.address);
    thread::spawn(move || {
        while !done.is_set() {
            let request = chat_request(500, DEADLINE);
            let answer = ask(address, &request, DEADLINE * 2);
            let answer = answer.map_or_else(|error| error.to_string(), |answer| answer.start);
            record.line(&format!("router n{number}: request {}: {answer}", request.id));
            thread::sleep(ASK_INTERVAL);
        }
    })
}

fn run(record: &Record) -> io::Result<bool> {
    let arrivals = Arrivals::default();
    let rows = start_workers(record, &arrivals)?;
    let draining = Row { state: "leaving".into(), ..rows[0].clone() };
    let discovery = Discovery::start(rows)?;
    let settings = Settings {
        zones: &["seoul"],
        parallel_tries: false,
        drain_grace_ms: 750,
        routers: ROUTERS,
        ..Settings::default()
    };
    let routers: Vec<Router> = Router::start_all(ROUTERS, &settings, discovery.address)?;
    record.line(&format!(
        "{ROUTERS} routers are ready; lists are asked for, routers may send each other nothing"
    ));
    thread::sleep(QUIET);
    let done = Flag::default();
    let clients: Vec<_> = routers
        .iter()
        .enumerate()
        .map(|(number, router)| ask_repeatedly(record, number, router, &done))
        .collect();
    thread::sleep(QUIET);
    if has_trouble() {
        record.line(&format!("discovery: watches are reset; it serves one call each {TURN:?}"));
        discovery.end_watches_and_serve_in_turn(TURN, DRAIN_AFTER + SEND_AFTER_DRAIN);
    }
    thread::sleep(DRAIN_AFTER);
    let drained_at = Instant::now();
    discovery.set(draining);
    record.line("discovery: s-0 is leaving");
    thread::sleep(SEND_AFTER_DRAIN);
    done.set();
    clients.into_iter().for_each(|client| drop(client.join()));
    record.line(&format!("discovery failed {} calls of the {ROUTERS} routers", discovery.refused_calls()));
    let arrivals = arrivals.lock().unwrap();
    let after = |at: &&Instant| at.saturating_duration_since(drained_at) > TOLD_AFTER + GRACE + MARGIN;
    let late = arrivals.iter().filter(after).count();
    let last = arrivals.iter().max().map(|at| at.saturating_duration_since(drained_at).as_secs_f64());
    record.line(&format!(
        "{} requests at s-0, the last {:.3} s after it began to drain; {late} of them more than {:?} after",
        arrivals.len(),
        last.unwrap_or(0.0),
        TOLD_AFTER + GRACE + MARGIN
    ));
    if arrivals.is_empty() {
        return Err(io::Error::other("the worker got no request"));
    }
    Ok(late == 0)
}

fn main() {
    run_case(run)
}
