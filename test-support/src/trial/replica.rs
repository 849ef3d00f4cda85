//! A replica of a trial: does with each request what its plan draws, and notes what it received and when.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use super::plan::Behaviour;
use super::Trial;
use crate::wire::Wire;

/// How an attempt ended at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaEnd {
    /// It is out.
    Out,
    /// It was answered whole.
    Served,
    /// It was turned away unseen.
    Declined,
    /// It was answered 500.
    Failed,
    /// The replica ended the connection.
    Broken,
    /// The router ended the connection.
    GivenUp,
}

/// An attempt as its replica saw it; times count from the start of the trial.
#[derive(Debug, Clone)]
pub struct Received {
    /// The client's name for the request.
    pub id: String,
    /// The replica.
    pub replica: usize,
    /// How long the router said that it waits.
    pub told_ms: Option<u64>,
    /// When its head had arrived.
    pub at: Duration,
    /// When its last byte had arrived.
    pub whole_at: Option<Duration>,
    /// When the first byte of its answer was written.
    pub begun_at: Option<Duration>,
    /// When it ended.
    pub ended_at: Option<Duration>,
    /// How it ended.
    pub end: ReplicaEnd,
}

impl Received {
    /// Whether it may have run.
    pub fn may_have_run(&self) -> bool {
        self.whole_at.is_some() && self.end != ReplicaEnd::Declined
    }
}

/// Starts a replica; gives its address.
pub(super) async fn start(trial: &Rc<Trial>, ip: &str, number: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0)).await?;
    let at = listener.local_addr()?;
    let trial = trial.clone();
    tokio::task::spawn_local(async move {
        let mut rng = trial.random(1_000 + number as u64);
        while let Ok((stream, _)) = listener.accept().await {
            let rng = rng.fork();
            tokio::task::spawn_local(serve(trial.clone(), number, Wire::new(stream), rng));
        }
    });
    Ok(at)
}

async fn serve(trial: Rc<Trial>, number: usize, mut wire: Wire, mut rng: fastrand::Rng) {
    let plan = trial.plan.replicas[number].clone();
    loop {
        // An idle connection ends after the replica's time, or by the router.
        let idle = timeout(plan.idle_close, wire.head());
        let Some(Ok(Ok(head))) = unless_down(&trial, number, idle).await else { return };
        let place = trial.received.borrow().len();
        trial.received.borrow_mut().push(Received {
            id: head.field("req-id").unwrap_or_default().into(),
            replica: number,
            told_ms: head.field("req-deadline-ms").and_then(|ms| ms.parse().ok()),
            at: trial.now(),
            whole_at: None,
            begun_at: None,
            ended_at: None,
            end: ReplicaEnd::Out,
        });
        let whole = wire.body(&head).await.is_ok();
        if whole {
            trial.received.borrow_mut()[place].whole_at = Some(trial.now());
        }
        let since_told = trial.told.get().map(|told| trial.now().saturating_sub(told));
        let hangs = plan.hangs_after.is_some_and(|after| since_told >= Some(after));
        let drawn = plan.behaviours[rng.usize(..plan.behaviours.len())];
        let behaviour = if hangs { Behaviour::Hang } else { drawn };
        let begun = || trial.received.borrow_mut()[place].begun_at = Some(trial.now());
        let end = match whole {
            true => {
                let acts = act(&mut wire, behaviour, &mut rng, begun);
                unless_down(&trial, number, acts).await.unwrap_or(ReplicaEnd::Broken)
            }
            false => ReplicaEnd::GivenUp,
        };
        {
            let received = &mut trial.received.borrow_mut()[place];
            (received.end, received.ended_at) = (end, Some(trial.now()));
        }
        if matches!(end, ReplicaEnd::Broken | ReplicaEnd::GivenUp) {
            return;
        }
        if behaviour == Behaviour::SecondAnswer {
            sleep(Duration::from_millis(rng.u64(1..10))).await;
            // The connection goes on: whoever asks on it meanwhile takes this for the answer, and is served all the same.
            if wire.write(DECLINED).await.is_err() {
                return;
            }
        }
    }
}

/// Waits for something; `None` if the replica is down, or goes down first.
async fn unless_down<T>(trial: &Trial, number: usize, what: impl Future<Output = T>) -> Option<T> {
    let mut word = trial.goes_down.subscribe();
    if trial.down.borrow()[number] {
        return None;
    }
    tokio::select! {
        done = what => Some(done),
        _ = word.wait_for(|down| *down == number) => None,
    }
}

const DECLINED: &[u8] = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const FAILED: &[u8] = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
const BEGUN: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

fn event() -> String {
    let event =
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abcd\"},\"finish_reason\":null}]}\n\n";
    format!("{:x}\r\n{event}\r\n", event.len())
}

fn last() -> String {
    let event =
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
    format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len())
}

/// Does it, and notices when the router ends the connection; `begun` is called when a stream has begun.
async fn act(wire: &mut Wire, behaviour: Behaviour, rng: &mut fastrand::Rng, begun: impl Fn()) -> ReplicaEnd {
    let written = |result: io::Result<()>, end| if result.is_ok() { end } else { ReplicaEnd::GivenUp };
    match behaviour {
        Behaviour::Hang => {
            gone(wire).await;
            ReplicaEnd::GivenUp
        }
        Behaviour::Decline => written(wire.write(DECLINED).await, ReplicaEnd::Declined),
        Behaviour::Error => written(wire.write(FAILED).await, ReplicaEnd::Failed),
        Behaviour::Reset => ReplicaEnd::Broken,
        Behaviour::BreakOff => {
            let begun = BEGUN.to_string() + &event();
            written(wire.write(begun.as_bytes()).await, ReplicaEnd::Broken)
        }
        Behaviour::Serve { first, events, gap } => {
            let first = first.mul_f64(0.5 + rng.f64());
            stream(wire, first, events, gap, begun).await
        }
        Behaviour::SecondAnswer => {
            stream(wire, Duration::from_millis(5), 1, Duration::from_millis(1), begun).await
        }
    }
}

async fn stream(
    wire: &mut Wire,
    first: Duration,
    events: u32,
    gap: Duration,
    begun: impl Fn(),
) -> ReplicaEnd {
    for n in 0..=events {
        let pause = if n == 0 { first } else { gap };
        if timeout(pause, gone(wire)).await.is_ok() {
            return ReplicaEnd::GivenUp;
        }
        let text = if n == 0 { BEGUN.to_string() + &event() } else { event() };
        if wire.write(text.as_bytes()).await.is_err() {
            return ReplicaEnd::GivenUp;
        }
        if n == 0 {
            begun();
        }
    }
    match wire.write(last().as_bytes()).await {
        Ok(()) => ReplicaEnd::Served,
        Err(_) => ReplicaEnd::GivenUp,
    }
}

/// Waits until the router has ended its side.
async fn gone(wire: &mut Wire) {
    while wire.more().await.is_ok() {}
}
