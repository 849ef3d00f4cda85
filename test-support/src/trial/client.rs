//! The clients of a trial: each keeps a connection for as long as it stays open and asks again and again, also after the
//! router was told to end. What each of its requests met is noted.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::plan::Class;
use super::verdict::LATE;
use super::Trial;
use crate::wire::Wire;

/// A client gives an answer up so long after its own wait: far past what any rule allows.
const PATIENCE: Duration = Duration::from_secs(2);
/// A stream that has begun may take so long.
const STREAM: Duration = Duration::from_secs(10);
/// A client that stops in the middle of a request is told so, or closed, within this.
const STOPPED: Duration = Duration::from_secs(3);
/// Clients think for so long at the most between two requests.
const THINK_MS: u64 = 120;
/// One request in so many has very little time.
const SHORT_WAITS: u8 = 12;
/// A connection that was refused is tried again after this.
const AGAIN: Duration = Duration::from_millis(20);

/// How a try ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It is open.
    Open,
    /// The answer came to its end.
    Answered(u16),
    /// The answer began and broke off.
    BrokenOff(u16),
    /// The connection ended without a byte of an answer.
    Closed,
    /// The client left.
    Left,
    /// Nothing came, for far longer than the client waits.
    Unanswered,
}

impl Ending {
    /// The status of the answer, if there was any.
    pub fn status(self) -> Option<u16> {
        match self {
            Ending::Answered(status) | Ending::BrokenOff(status) => Some(status),
            _ => None,
        }
    }
}

/// A request on a connection; times count from the start of the trial.
#[derive(Debug, Clone)]
pub struct Try {
    /// The client's name for the request. A try again on a new connection has the same.
    pub id: String,
    /// Its class.
    pub class: Class,
    /// When its first byte was written.
    pub begun: Duration,
    /// When its last byte was written, unless the connection broke before.
    pub sent: Option<Duration>,
    /// When the first byte of the answer came.
    pub first: Option<Duration>,
    /// When it ended.
    pub ended: Option<Duration>,
    /// How it ended.
    pub ending: Ending,
}

/// What a client does with one of its requests.
struct Manner {
    /// The request is written in two parts, with a pause between them.
    pause: Option<Duration>,
    /// The client leaves so long after it has written it.
    leaves: Option<Duration>,
    /// How large its body is.
    body: usize,
    /// The client stops in the middle of the request and stays.
    stops: bool,
}

impl Manner {
    fn drawn(rng: &mut fastrand::Rng) -> Manner {
        Manner {
            stops: rng.u8(..40) == 0,
            pause: (rng.u8(..12) == 0).then(|| Duration::from_millis(rng.u64(1..700))),
            leaves: (rng.u8(..16) == 0).then(|| Duration::from_millis(rng.u64(..300))),
            body: if rng.u8(..10) == 0 { rng.usize(10_000..150_000) } else { rng.usize(2..500) },
        }
    }
}

/// A client that connects and says nothing; whoever is closed connects again.
pub(super) async fn idle(trial: Rc<Trial>) {
    while !trial.over.get() {
        if let Ok(stream) = TcpStream::connect(trial.front).await {
            let mut wire = Wire::new(stream);
            while wire.more().await.is_ok() {}
        }
        sleep(AGAIN).await;
    }
}

/// A client that asks.
pub(super) async fn run(trial: Rc<Trial>, number: u64) {
    let mut rng = trial.random(number);
    let mut asked = 0;
    // A request that was cut off by the end of its connection, unread for all that its client can tell.
    let mut unread: Option<(String, Class)> = None;
    while !trial.over.get() {
        let Ok(stream) = TcpStream::connect(trial.front).await else {
            sleep(AGAIN).await;
            continue;
        };
        let mut wire = Wire::new(stream);
        loop {
            let again = unread.take();
            let is_again = again.is_some();
            let (id, mut class) = again.unwrap_or_else(|| {
                asked += 1;
                let mut class = trial.plan.classes[rng.usize(..trial.plan.classes.len())].clone();
                if rng.u8(..SHORT_WAITS) == 0 {
                    class.wait = Duration::from_millis(rng.u64(1..40));
                }
                (format!("c{number}-{asked}"), class)
            });
            trial.lull().await;
            let manner = Manner::drawn(&mut rng);
            if manner.stops {
                // It is owed an error or the end of its connection within 3 s, whatever it said that it waits.
                class.wait = STOPPED.saturating_sub(LATE);
            }
            let place = ask(&trial, &mut wire, &id, &class, manner).await;
            let ending = trial.tries.borrow()[place].ending;
            match ending {
                Ending::Answered(_) => {}
                Ending::Closed if !is_again => {
                    unread = Some((id, class));
                    break;
                }
                _ => break,
            }
            sleep(Duration::from_millis(rng.u64(..THINK_MS))).await;
            if trial.over.get() {
                return;
            }
        }
    }
}

/// Sends one request and reads its answer; gives the place of its record.
async fn ask(trial: &Trial, wire: &mut Wire, id: &str, class: &Class, manner: Manner) -> usize {
    let place = trial.tries.borrow().len();
    trial.tries.borrow_mut().push(Try {
        id: id.into(),
        class: class.clone(),
        begun: trial.now(),
        sent: None,
        first: None,
        ended: None,
        ending: Ending::Open,
    });
    let ending = match send(wire, id, class, &manner).await {
        Err(_) => Ending::Closed,
        Ok(()) if manner.stops => {
            timeout(STOPPED, read(trial, wire, place)).await.unwrap_or(Ending::Unanswered)
        }
        Ok(()) => {
            trial.tries.borrow_mut()[place].sent = Some(trial.now());
            let answer = read(trial, wire, place);
            match manner.leaves {
                Some(after) => timeout(after, answer).await.unwrap_or(Ending::Left),
                None => {
                    let limit = class.wait + PATIENCE;
                    let begun = || trial.tries.borrow()[place].first.is_some();
                    read_within(answer, limit, begun).await
                }
            }
        }
    };
    let mut tries = trial.tries.borrow_mut();
    (tries[place].ending, tries[place].ended) = (ending, Some(trial.now()));
    place
}

/// Waits for an answer; once it has begun, for far longer.
async fn read_within(
    answer: impl std::future::Future<Output = Ending>,
    limit: Duration,
    begun: impl Fn() -> bool,
) -> Ending {
    let mut answer = std::pin::pin!(answer);
    if let Ok(ending) = timeout(limit, &mut answer).await {
        return ending;
    }
    match begun() {
        true => timeout(STREAM, answer).await.unwrap_or(Ending::BrokenOff(200)),
        false => Ending::Unanswered,
    }
}

async fn send(wire: &mut Wire, id: &str, class: &Class, manner: &Manner) -> io::Result<()> {
    let body = "x".repeat(manner.body);
    let message = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nReq-Id: {id}\r\nReq-Kind: {}\r\nReq-Owner: t\r\n\
         Req-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        class.name,
        class.wait.as_millis(),
        body.len()
    );
    let (head, rest) = message.as_bytes().split_at(message.len() / 2);
    wire.write(head).await?;
    if manner.stops {
        return Ok(());
    }
    if let Some(pause) = manner.pause {
        sleep(pause).await;
    }
    wire.write(rest).await
}

async fn read(trial: &Trial, wire: &mut Wire, place: usize) -> Ending {
    if wire.buf.is_empty() && wire.more().await.is_err() {
        return Ending::Closed;
    }
    trial.tries.borrow_mut()[place].first = Some(trial.now());
    let Ok(head) = wire.head().await else { return Ending::BrokenOff(0) };
    match wire.body(&head).await {
        Ok(()) => Ending::Answered(head.status()),
        Err(_) => Ending::BrokenOff(head.status()),
    }
}
