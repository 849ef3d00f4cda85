//! A crowd stops half way in requests; the platform kills a router that holds more memory than its limit.

#[path = "../common-2/mod.rs"]
mod common;

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// The limits of the router, both inside the ranges of LATER: 32 to 192 MB, 256 to 1,024 descriptors.
const MEMORY_MB: usize = 48;
const SOCKETS: usize = 1024;
/// The crowd: it connects and stops half way in a request whose body has the size that PROTOCOL allows at most.
const CROWD: usize = 1000;
const BODY_BYTES: usize = 256 << 10;
/// How the crowd writes the half: in pieces.
const PIECES: usize = 8;
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client of the crowd stays if nobody ends its connection.
const CROWD_STAY: Duration = Duration::from_secs(6);
/// Number of crowds, one after the other.
const CROWDS: usize = 4;
/// Interval of the platform's look at the memory of the router.
const MEMORY_INTERVAL: Duration = Duration::from_millis(5);
/// Ordinary clients: a short request each `ASK_INTERVAL`, answered by a worker within about 0.3 s.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(4);

/// Connects, sends half of a request in pieces, and stays until the router answers or closes.
fn stop_half_way(router: SocketAddr) -> io::Result<()> {
    let request = chat_request(BODY_BYTES, DEADLINE);
    let half = &request.bytes[..request.bytes.len() / 2];
    let mut stream = TcpStream::connect(router)?;
    stream.set_read_timeout(Some(CROWD_STAY))?;
    stream.set_write_timeout(Some(CROWD_STAY))?;
    for piece in half.chunks(half.len() / PIECES + 1) {
        stream.write_all(piece)?;
        thread::sleep(PIECE_INTERVAL);
    }
    let mut answer = Vec::new();
    BufReader::new(stream).read_to_end(&mut answer).map(drop)
}

/// Lets one crowd come and waits until all of it has gone.
fn let_crowd_come(router: SocketAddr) {
    let clients: Vec<_> = (0..CROWD)
        .map(|_| thread::Builder::new().stack_size(128 << 10).spawn(move || drop(stop_half_way(router))))
        .collect();
    for client in clients.into_iter().flatten() {
        let _ = client.join();
    }
}

fn run(record: &Record) -> io::Result<bool> {
    let serve = |_: &Message, stream: &mut TcpStream| write_stream(stream, 10, Duration::from_millis(30));
    let mut rows = Vec::new();
    for number in 0..4 {
        let worker = Worker::start(Arc::new(serve))?;
        let (id, zone, state) = (format!("s-{number}"), "rz-garching".into(), "active".into());
        rows.push(Row { id, address: worker.address, zone, cell: 0, state, started_ms: 0 });
    }
    let discovery = Discovery::start(rows)?;
    let settings = Settings { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Settings::default() };
    let router = Arc::new(Router::start(&settings, discovery.address)?);
    record.line(&format!("router ready, limits {MEMORY_MB} MB and {SOCKETS} descriptors"));
    let (done, killed, highest) = (Flag::default(), Flag::default(), Arc::new(AtomicUsize::new(0)));
    let platform = {
        let (router, done, killed, highest, record) =
            (router.clone(), done.clone(), killed.clone(), highest.clone(), record.clone());
        thread::spawn(move || {
            while let Some(now) = router.memory_kib().filter(|_| !done.is_set()) {
                highest.fetch_max(now, Ordering::SeqCst);
                if now > MEMORY_MB << 10 {
                    record.line(&format!(
                        "platform: the router holds {now} KiB of {} KiB: killed",
                        MEMORY_MB << 10
                    ));
                    killed.set();
                    return router.kill();
                }
                thread::sleep(MEMORY_INTERVAL);
            }
        })
    };
    let ordinary = {
        let (done, killed, record, address) = (done.clone(), killed.clone(), record.clone(), router.address);
        thread::spawn(move || {
            let mut asked = Vec::new();
            while !done.is_set() && !killed.is_set() {
                let record = record.clone();
                asked.push(thread::spawn(move || {
                    let (request, sent_at) = (chat_request(500, DEADLINE), record.seconds());
                    let result = ask(address, &request, DEADLINE * 2);
                    let answer = result.as_ref().map_or_else(|error| error.to_string(), |a| a.start.clone());
                    record.line(&format!("ordinary request {} sent at {sent_at:.3}: {answer}", request.id));
                }));
                thread::sleep(ASK_INTERVAL);
            }
            asked.into_iter().for_each(|request| drop(request.join()));
        })
    };
    let started = Instant::now();
    for number in 0..CROWDS {
        if has_trouble() {
            record.line(&format!("crowd {number}: {CROWD} clients connect and stop half way"));
            let_crowd_come(router.address);
        } else {
            thread::sleep(Duration::from_secs(4));
        }
        record.line(&format!("highest memory up to now {} KiB", highest.load(Ordering::SeqCst)));
        if killed.is_set() || router.has_exited() {
            break;
        }
    }
    done.set();
    let _ = (platform.join(), ordinary.join());
    let crashed = killed.is_set() || router.has_exited();
    record.line(&format!(
        "after {:.1} s: highest memory {} KiB of {} KiB, router {}",
        started.elapsed().as_secs_f64(),
        highest.load(Ordering::SeqCst),
        MEMORY_MB << 10,
        if crashed { "killed" } else { "running" }
    ));
    Ok(!crashed)
}

fn main() {
    run_case(run)
}
