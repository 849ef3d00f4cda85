//! Clients that send many requests at once and go, before the first of them has an answer.

#[path = "../common/mod.rs"]
mod common;
#[path = "../common/sites.rs"]
#[allow(dead_code)]
mod sites;

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Clients that send much at once and go, one after the other.
const LEAVING_CLIENTS: usize = 6;
/// Requests that each of them sends at once: the page says hundreds.
const REQUESTS_AT_ONCE: usize = 400;
const PROMPT_TOKENS: usize = 400;
const DEADLINE_MS: u64 = 4000;
/// First token of the requests of these clients: within the class's wanted time of 1.2 s plus 60 ms for each 1,000 tokens.
const FIRST_TOKEN_MS: u64 = 900;
/// An attempt may begin up to 0.1 s after the close; limits are 50 ms longer on sockets.
const ALLOWED_AFTER_CLOSE: Duration = Duration::from_millis(150);
/// Ordinary requests before the first of them and before each further one, one after the other. Their first tokens come at
/// once, so the router knows that its replicas have little to do, and sends hedged requests.
const ORDINARY_AT_START: usize = 60;
const ORDINARY_BETWEEN: usize = 30;
/// Time for which the case observes what is sent for a client that has gone.
const OBSERVED_AFTER_MS: u64 = 2000;

/// Sends ordinary requests one after the other; returns how many were served.
fn ask_ordinarily(addr: SocketAddr, count: usize, name: &str, record: &Record) -> usize {
    let mut served = 0;
    for i in 0..count {
        let id = format!("{name}-{i}");
        let request = ClientRequest {
            id: &id,
            class: "chat",
            tenant: "haendlerbund",
            deadline_ms: DEADLINE_MS,
            prompt_tokens: PROMPT_TOKENS,
        };
        served += usize::from(ask(addr, &request, ms(DEADLINE_MS)).0 == Answer::Served);
        thread::sleep(ms(40));
    }
    record.line(&format!("client: {served} of {count} ordinary requests {name} served"));
    served
}

/// One client that has gone: its number, and when it closed its connection.
struct Left {
    number: usize,
    sent_bytes: usize,
    closed_at: Instant,
}

/// Sends requests until the system takes no more at once, and closes the connection. Without trouble, the client sends one
/// request and waits for its answer.
fn send_and_go(addr: SocketAddr, number: usize, trouble: bool, record: &Record) -> Left {
    let requests: Vec<Vec<u8>> = (0..if trouble { REQUESTS_AT_ONCE } else { 1 })
        .map(|i| {
            let id = format!("leaving-{number}-{i}");
            let request = ClientRequest {
                id: &id,
                class: "chat",
                tenant: "haendlerbund",
                deadline_ms: DEADLINE_MS,
                prompt_tokens: PROMPT_TOKENS,
            };
            request.to_bytes()
        })
        .collect();
    let bytes = requests.concat();
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, ms(2000)) else {
        could_not_run("a client could not connect");
    };
    let mut sent = 0;
    if trouble {
        let _ = stream.set_nonblocking(true);
        while sent < bytes.len() {
            match stream.write(&bytes[sent..]) {
                Ok(written) => sent += written,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => break,
            }
        }
        record.line(&format!("client leaving-{number}: sent {sent} of {} bytes", bytes.len()));
    } else {
        let _ = stream.write_all(&bytes);
        sent = bytes.len();
        let (answer, _) = read_answer(&mut stream, Instant::now() + ms(DEADLINE_MS));
        record.line(&format!("client leaving-{number}: {answer:?}"));
    }
    let closed_at = Instant::now();
    drop(stream);
    record.line_at(closed_at, &format!("client leaving-{number}: closed its connection"));
    Left { number, sent_bytes: sent, closed_at }
}

fn main() {
    let here = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| could_not_run("usage: case FOLDER")));
    let root = here.join("../..");
    std::process::exit(run(&here, &root));
}

fn run(here: &Path, root: &Path) -> i32 {
    let (record, trouble) = (Record::create(&here.join("record.txt")), with_trouble());
    let folder = TemporaryFolder::create();
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let quick = Plan { first_token_after: ms(30), tokens: 8, per_token: ms(10) };
    let later = Plan { first_token_after: ms(FIRST_TOKEN_MS), ..quick };
    let replicas: Vec<Replica> = (0..9)
        .map(|i| {
            let plan_of =
                move |request: &Request| if request.id().starts_with("leaving") { later } else { quick };
            start_replica(&format!("s-{i}"), &record, &runs, plan_of)
        })
        .collect();
    let discovery = start_discovery(&record, &replicas, &["rz-garching"], &["gpu-neu", "gpu-alt"]);
    let addr = free_address();
    let router =
        start_router(root, &folder, "n0", addr, discovery, &sites::muenchen_nord(addr, discovery), &record);

    // Ordinary traffic first, so that the router knows its replicas.
    let served = ask_ordinarily(addr, ORDINARY_AT_START, "start", &record);
    if served < ORDINARY_AT_START * 2 / 3 {
        could_not_run(&format!("only {served} of {ORDINARY_AT_START} ordinary requests were served"));
    }

    let mut all_left = Vec::new();
    for number in 0..LEAVING_CLIENTS {
        all_left.push(send_and_go(addr, number, trouble, &record));
        thread::sleep(ms(OBSERVED_AFTER_MS));
        ask_ordinarily(addr, ORDINARY_BETWEEN, &format!("after-{number}"), &record);
    }

    let mut late = 0;
    let runs = runs.lock().expect("no thread panics with the lock").clone();
    for left in &all_left {
        let prefix = format!("leaving-{}-", left.number);
        for run in runs.iter().filter(|run| run.id.starts_with(&prefix)) {
            let after = run.first_byte.saturating_duration_since(left.closed_at);
            let is_late = after > ALLOWED_AFTER_CLOSE;
            late += usize::from(is_late);
            record.line(&format!(
                "{}: {} at {} began {after:?} after its client had closed ({} bytes sent)",
                if is_late { "LATE" } else { "ok" },
                run.id,
                run.replica,
                left.sent_bytes
            ));
        }
    }
    record.line(&format!("{late} attempts began for clients that had gone"));
    drop(router);
    drop(folder);
    if late > 0 {
        BROKEN
    } else {
        HELD
    }
}
