//! A planned restart, while clients write their requests slowly, in a deployment whose clients do not ask for the rest of a
//! broken stream.

#[path = "../common/mod.rs"]
mod common;
#[path = "../common/sites.rs"]
#[allow(dead_code)]
mod sites;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// The class's deadline, and how long a client waits: 100% of the class's time.
const DEADLINE_MS: u64 = 4000;
/// New connections keep coming for 0.2 to 0.4 s after SIGTERM.
const FIRST_CONNECTION_AFTER_MS: u64 = 200;
const CONNECTION_INTERVAL_MS: u64 = 50;
const SLOW_CLIENTS: u64 = 4;
/// Time in which a slow client writes its request.
const WRITE_TIME_MS: u64 = 1800;
const WRITE_PIECES: u64 = 18;
/// The kill comes no sooner than the longest deadline, counted as 3 s where it is longer, plus 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3750);
/// Requests that came up to this time after SIGTERM are excused; with the 50 ms that limits are longer on sockets.
const EXCUSED_UNTIL: Duration = Duration::from_millis(750);
/// Time for which a client waits for the first byte of its answer, from its last byte: no less than its deadline.
const PATIENCE: Duration = Duration::from_secs(5);

/// What became of one slow request.
struct SlowRequest {
    id: String,
    /// When its last byte was written; `None` if the connection ended before.
    written_at: Option<Instant>,
    answer: Answer,
}

/// Connects, writes a request in pieces, and reads its answer.
fn ask_slowly(addr: SocketAddr, id: &str, record: &Record) -> SlowRequest {
    let request = ClientRequest {
        id,
        class: "agent-chat",
        tenant: "billing",
        deadline_ms: DEADLINE_MS,
        prompt_tokens: 400,
    };
    let bytes = request.to_bytes();
    let not_sent = |answer| SlowRequest { id: id.into(), written_at: None, answer };
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, ms(1000)) else { return not_sent(Answer::Closed) };
    let _ = stream.set_nodelay(true);
    record.line(&format!("client: connected, begins to write {id}"));
    for (i, piece) in bytes.chunks(bytes.len().div_ceil(WRITE_PIECES as usize)).enumerate() {
        if i > 0 {
            thread::sleep(ms(WRITE_TIME_MS / (WRITE_PIECES - 1)));
        }
        if stream.write_all(piece).is_err() {
            return not_sent(Answer::Closed);
        }
    }
    let written_at = Instant::now();
    record.line_at(written_at, &format!("client: last byte of {id} written"));
    let (answer, _) = read_answer(&mut stream, written_at + PATIENCE);
    record.line(&format!("client: {id}: {answer:?}"));
    SlowRequest { id: id.into(), written_at: Some(written_at), answer }
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
    // 200 tokens at 20 ms each: within the class's 130 to 260 tokens, and faster than its 50 ms a token.
    let plan = Plan { first_token_after: ms(150), tokens: 200, per_token: ms(20) };
    let short = Plan { first_token_after: ms(60), tokens: 20, per_token: ms(15) };
    let replicas: Vec<Replica> = (0..10)
        .map(|i| {
            let plan_of =
                move |request: &Request| if request.id().starts_with("slow") { plan } else { short };
            start_replica(&format!("s-{i}"), &record, &runs, plan_of)
        })
        .collect();
    let discovery = start_discovery(
        &record,
        &replicas,
        &["abbotsford", "chilliwack"],
        &["new-gpu", "std-gpu", "old-gpu"],
    );
    let addrs: Vec<SocketAddr> = (0..2).map(|_| free_address()).collect();
    let peers: Vec<SocketAddr> = (0..2).map(|_| free_address()).collect();
    let mut routers: Vec<Router> = (0..2)
        .map(|me| {
            let config = sites::fvru_scripts(me, &addrs, &peers, discovery);
            start_router(root, &folder, &format!("n{me}"), addrs[me], discovery, &config, &record)
        })
        .collect();

    // Ordinary traffic first, so that the routers know their replicas.
    let mut served = 0;
    for i in 0..24 {
        let id = format!("usual-{i}");
        let request = ClientRequest {
            id: &id,
            class: "agent-chat",
            tenant: "billing",
            deadline_ms: DEADLINE_MS,
            prompt_tokens: 400,
        };
        let (answer, _) = ask(addrs[i % 2], &request, ms(4000));
        record.line(&format!("client: {id}: {answer:?}"));
        served += usize::from(answer == Answer::Served);
    }
    if served < 16 {
        could_not_run(&format!("only {served} of 24 ordinary requests were served"));
    }

    let restart_at = Instant::now();
    if trouble {
        record.line("SIGTERM to router n0");
        send_signal(routers[0].child.id(), SIGTERM);
    }
    let clients: Vec<_> = (0..SLOW_CLIENTS)
        .map(|i| {
            let (addr, record) = (addrs[0], record.clone());
            thread::spawn(move || {
                thread::sleep(ms(FIRST_CONNECTION_AFTER_MS + i * CONNECTION_INTERVAL_MS));
                ask_slowly(addr, &format!("slow-{i}"), &record)
            })
        })
        .collect();
    if trouble {
        thread::sleep(KILL_AFTER.saturating_sub(restart_at.elapsed()));
        match routers[0].child.try_wait() {
            Ok(Some(status)) => record.line(&format!("router n0 had ended before the kill: {status}")),
            _ => {
                record.line("SIGKILL to router n0");
                send_signal(routers[0].child.id(), SIGKILL);
            }
        }
    }
    let outcomes: Vec<SlowRequest> =
        clients.into_iter().map(|c| c.join().unwrap_or_else(|_| could_not_run("a client failed"))).collect();

    let was_run =
        |id: &str| runs.lock().expect("no thread panics with the lock").iter().any(|run| run.id == id);
    let mut lost = 0;
    for outcome in &outcomes {
        let came_after = outcome.written_at.map(|at| at.duration_since(restart_at));
        let excused = trouble && came_after.is_some_and(|after| after <= EXCUSED_UNTIL);
        let is_lost = match &outcome.answer {
            // Served, refused or failed: a final answer.
            Answer::Served | Answer::Status(_) => false,
            // Closed unread: the client sends it once more elsewhere. Closed after it was forwarded: lost.
            Answer::Closed => was_run(&outcome.id),
            Answer::Broken(_) | Answer::Nothing(_) => true,
        };
        let verdict = if is_lost && !excused { "LOST" } else { "ok" };
        lost += usize::from(is_lost && !excused);
        record.line(&format!(
            "{verdict}: {} complete {:?} after SIGTERM, forwarded: {}, answer: {:?}",
            outcome.id,
            came_after,
            was_run(&outcome.id),
            outcome.answer
        ));
    }
    record.line(&format!("{lost} of {} requests lost", outcomes.len()));
    drop(routers);
    drop(folder);
    if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}
