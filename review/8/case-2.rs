//! A planned restart while one worker of four has become slow. Requests that are written in 2 s are taken during the
//! shutdown; the kill cuts their streams.

#[path = "../common-2/mod.rs"]
mod common;

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// SIGKILL after SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s (PROTOCOL, Figures).
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// A request that came this long after SIGTERM is lost if the kill finds it unanswered (PROTOCOL, Figures).
const LATE_AFTER: Duration = Duration::from_millis(700);
/// Margin of the harness about `LATE_AFTER`.
const MARGIN: Duration = Duration::from_millis(200);
/// Time in which a request is written (DAYS, Less room), and when its last byte is written, after SIGTERM.
const WRITE_TIME: Duration = Duration::from_secs(2);
const COMPLETE_AFTER: Duration = Duration::from_millis(1000);
const PIECES: u32 = 20;
/// Slowly written requests.
const REQUESTS: usize = 16;
const DEADLINE: Duration = Duration::from_secs(4);
/// A worker's answer: time to the first token, tokens, and time for a token; the settings aim at 80 ms.
const FIRST_TOKEN: Duration = Duration::from_millis(40);
const TOKENS: usize = 20;
const TOKEN: Duration = Duration::from_millis(30);
const WORKERS: usize = 4;
/// The slow worker's factor; the account of the site has 3.2 to 8.3, at up to 25% of the nodes.
const SLOWER: u32 = 8;
/// Ordinary requests before the restart.
const EARLIER_REQUESTS: usize = 40;
const EARLIER_INTERVAL: Duration = Duration::from_millis(100);

/// How a slowly written request ended.
enum End {
    /// Answered with this status, or served whole.
    Answered(u16),
    /// Its stream began and did not reach its last chunk.
    Cut,
    /// The connection ended without an answer.
    Closed,
    /// Not written to its end before the connection ended, so not taken.
    NotTaken,
}

/// Writes a request in pieces so that its last byte is written at `complete_at`, and reads the answer.
fn ask_slowly(router: SocketAddr, request: &Request, complete_at: Instant) -> io::Result<End> {
    thread::sleep((complete_at - WRITE_TIME).saturating_duration_since(Instant::now()));
    let mut stream = TcpStream::connect(router)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let piece_size = request.bytes.len().div_ceil(PIECES as usize);
    let count = request.bytes.len().div_ceil(piece_size) as u32;
    for (number, piece) in request.bytes.chunks(piece_size).enumerate() {
        let before_end = WRITE_TIME * (count - 1 - number as u32) / count;
        thread::sleep((complete_at - before_end).saturating_duration_since(Instant::now()));
        if stream.write_all(piece).is_err() {
            return Ok(End::NotTaken);
        }
    }
    let mut reader = BufReader::new(stream);
    let Ok(head) = read_head(&mut reader) else { return Ok(End::Closed) };
    if head.status() != 200 {
        return Ok(End::Answered(head.status()));
    }
    loop {
        match read_chunk(&mut reader) {
            Ok(Some(_)) => {}
            Ok(None) => return Ok(End::Answered(200)),
            Err(_) => return Ok(End::Cut),
        }
    }
}

fn run(record: &Record) -> io::Result<bool> {
    let restart = Flag::default();
    let mut rows = Vec::new();
    for number in 0..WORKERS {
        let (record, restart) = (record.clone(), restart.clone());
        let serve = move |request: &Message, stream: &mut TcpStream| {
            let is_slow = number == 0 && restart.is_set() && has_trouble();
            let factor = if is_slow { SLOWER } else { 1 };
            if restart.is_set() {
                record.line(&format!(
                    "worker s-{number}, {factor} times slower: request {}",
                    request.field("req-id")
                ));
            }
            thread::sleep(FIRST_TOKEN * factor);
            write_stream(stream, TOKENS, TOKEN * factor)
        };
        let worker = Worker::start(Arc::new(serve))?;
        let (id, zone, state) = (format!("s-{number}"), "abbotsford".into(), "active".into());
        rows.push(Row { id, address: worker.address, zone, cell: 0, state, started_ms: 0 });
    }
    let discovery = Discovery::start(rows)?;
    let settings = Settings { resume: false, zones: &["abbotsford"], ..Settings::default() };
    let router = Router::start(&settings, discovery.address)?;
    record.line("router ready; clients do not ask for the rest of a broken stream");
    let earlier: Vec<_> = (0..EARLIER_REQUESTS)
        .map(|_| {
            thread::sleep(EARLIER_INTERVAL);
            let address = router.address;
            thread::spawn(move || ask(address, &chat_request_for(500, DEADLINE, TOKENS), DEADLINE * 2))
        })
        .collect();
    let served =
        earlier.into_iter().filter_map(|asked| asked.join().ok()?.ok()).filter(|a| a.status() == 200);
    record.line(&format!("{} of {EARLIER_REQUESTS} earlier requests served", served.count()));
    let terminate_at = Instant::now() + WRITE_TIME;
    let slow: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let (record, address) = (record.clone(), router.address);
            thread::spawn(move || -> io::Result<bool> {
                let request = chat_request_for(500, DEADLINE, TOKENS);
                let complete_at = terminate_at + COMPLETE_AFTER;
                let end = ask_slowly(address, &request, complete_at)?;
                let after = Instant::now().saturating_duration_since(terminate_at).as_secs_f64();
                let text = match end {
                    End::Answered(status) => format!("answered with {status}"),
                    End::Cut => "its stream was cut before the last chunk".into(),
                    End::Closed => "closed without an answer".into(),
                    End::NotTaken => "not written to its end".into(),
                };
                record.line(&format!("request {}: {text}, {after:.3} s after SIGTERM", request.id));
                Ok(matches!(end, End::Cut | End::Closed))
            })
        })
        .collect();
    thread::sleep(terminate_at.saturating_duration_since(Instant::now()));
    restart.set();
    router.signal("TERM")?;
    let terminated = Instant::now();
    record.line("SIGTERM");
    if COMPLETE_AFTER < LATE_AFTER + MARGIN || terminated - terminate_at > MARGIN {
        return Err(io::Error::other("SIGTERM was late"));
    }
    while terminated.elapsed() < KILL_AFTER && !router.has_exited() {
        thread::sleep(Duration::from_millis(5));
    }
    record.line(if router.has_exited() { "the router has ended by itself" } else { "SIGKILL" });
    router.kill();
    let mut lost = 0;
    for request in slow {
        lost += usize::from(request.join().map_err(|_| io::Error::other("a client failed"))??);
    }
    record
        .line(&format!("{lost} of {REQUESTS} requests that came {COMPLETE_AFTER:?} after SIGTERM are lost"));
    Ok(lost == 0)
}

fn main() {
    run_case(run)
}
