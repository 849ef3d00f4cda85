//! A mock replica of a run: handles each request with a random behaviour of its scenario, and records what it
//! received and when.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{sleep, timeout, Instant};

use super::scenario::ReplicaBehaviour;
use super::Run;
use crate::http_connection::HttpConnection;

/// Maximum delay of a second response, which the operators state as some milliseconds.
const MAX_SECOND_RESPONSE_DELAY: Duration = Duration::from_millis(10);

/// The outcome of an attempt at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaOutcome {
    /// The attempt is in flight.
    InFlight,
    /// The complete response was written.
    Completed,
    /// The replica declined the request before running it.
    Declined,
    /// The replica responded with status 500.
    Failed,
    /// The replica closed the connection.
    ClosedByReplica,
    /// The router closed the connection.
    ClosedByRouter,
}

/// An attempt as its replica observed it; times count from the start of the run.
#[derive(Debug, Clone)]
pub struct ReplicaAttempt {
    /// The request id.
    pub id: String,
    /// Index of the replica.
    pub replica: usize,
    /// Deadline that the router sent, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// When the head of the request had arrived.
    pub head_at: Duration,
    /// When the whole request had arrived.
    pub complete_at: Option<Duration>,
    /// When the first byte of the response was written.
    pub response_begun_at: Option<Duration>,
    /// When the attempt ended.
    pub ended_at: Option<Duration>,
    /// Outcome of the attempt.
    pub outcome: ReplicaOutcome,
    /// When the unsolicited second response was written.
    pub second_response_at: Option<Duration>,
}

impl ReplicaAttempt {
    /// Whether the replica may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.complete_at.is_some() && self.outcome != ReplicaOutcome::Declined
    }
}

/// Starts a replica and returns its address.
pub(super) async fn start(run: &Rc<Run>, ip: &str, number: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0)).await?;
    let at = listener.local_addr()?;
    let run = run.clone();
    tokio::task::spawn_local(async move {
        let mut rng = run.rng(1_000 + number as u64);
        while let Ok((stream, _)) = listener.accept().await {
            let rng = rng.fork();
            tokio::task::spawn_local(serve(run.clone(), number, HttpConnection::new(stream), rng));
        }
    });
    Ok(at)
}

async fn serve(run: Rc<Run>, number: usize, mut connection: HttpConnection, mut rng: fastrand::Rng) {
    let scenario = run.scenario.replicas[number].clone();
    loop {
        // An idle connection is closed after the replica's idle timeout, or by the router.
        let idle = timeout(scenario.idle_close, connection.read_head());
        let Some(Ok(Ok(head))) = run_unless_down(&run, number, idle).await else { return };
        let index = run.attempts.borrow().len();
        run.attempts.borrow_mut().push(ReplicaAttempt {
            id: head.field("req-id").unwrap_or_default().into(),
            replica: number,
            deadline_ms: head.field("req-deadline-ms").and_then(|ms| ms.parse().ok()),
            head_at: run.now(),
            complete_at: None,
            response_begun_at: None,
            ended_at: None,
            outcome: ReplicaOutcome::InFlight,
            second_response_at: None,
        });
        let complete = connection.skip_body(&head).await.is_ok();
        if complete {
            run.attempts.borrow_mut()[index].complete_at = Some(run.now());
        }
        let since_sigterm = run.sigterm_at.get().map(|sigterm_at| run.now().saturating_sub(sigterm_at));
        let hangs = scenario.hangs_after.is_some_and(|after| since_sigterm >= Some(after));
        let random_behaviour = scenario.behaviours[rng.usize(..scenario.behaviours.len())];
        let slowdown = if since_sigterm.is_some() { scenario.slowdown } else { 1 };
        let behaviour = if hangs { ReplicaBehaviour::Hang } else { random_behaviour.slowed_by(slowdown) };
        let on_begun = || run.attempts.borrow_mut()[index].response_begun_at = Some(run.now());
        let outcome = match complete {
            true => {
                let handled = handle(&mut connection, behaviour, &mut rng, on_begun);
                run_unless_down(&run, number, handled).await.unwrap_or(ReplicaOutcome::ClosedByReplica)
            }
            false => ReplicaOutcome::ClosedByRouter,
        };
        {
            let attempt = &mut run.attempts.borrow_mut()[index];
            (attempt.outcome, attempt.ended_at) = (outcome, Some(run.now()));
        }
        if matches!(outcome, ReplicaOutcome::ClosedByReplica | ReplicaOutcome::ClosedByRouter) {
            return;
        }
        if behaviour == ReplicaBehaviour::SecondResponse {
            let ended = Instant::now();
            sleep(Duration::from_millis(rng.u64(1..10))).await;
            if ended.elapsed() > MAX_SECOND_RESPONSE_DELAY {
                continue; // This process was late: the response would come later than any replica sends one.
            }
            // The connection stays open: the next request on it is served, but its reader takes this response for
            // its own.
            if connection.write(DECLINED_RESPONSE).await.is_err() {
                return;
            }
            run.attempts.borrow_mut()[index].second_response_at = Some(run.now());
        }
    }
}

/// Runs `operation`; returns `None` if the replica is down or goes down before the end.
async fn run_unless_down<T>(run: &Run, number: usize, operation: impl Future<Output = T>) -> Option<T> {
    let mut failures = run.failures.subscribe();
    if run.down.borrow()[number] {
        return None;
    }
    tokio::select! {
        result = operation => Some(result),
        _ = failures.wait_for(|failed| *failed == number) => None,
    }
}

const DECLINED_RESPONSE: &[u8] = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const ERROR_RESPONSE: &[u8] = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

fn content_event() -> String {
    let event =
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abcd\"},\"finish_reason\":null}]}\n\n";
    format!("{:x}\r\n{event}\r\n", event.len())
}

fn last_event() -> String {
    let event =
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
    format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len())
}

/// Handles a request as `behaviour` says and detects when the router closes the connection; `on_begun` is called
/// once a stream has begun.
async fn handle(
    connection: &mut HttpConnection,
    behaviour: ReplicaBehaviour,
    rng: &mut fastrand::Rng,
    on_begun: impl Fn(),
) -> ReplicaOutcome {
    let outcome_of_write = |result: io::Result<()>, outcome| {
        if result.is_ok() {
            outcome
        } else {
            ReplicaOutcome::ClosedByRouter
        }
    };
    match behaviour {
        ReplicaBehaviour::Hang => {
            wait_for_close(connection).await;
            ReplicaOutcome::ClosedByRouter
        }
        ReplicaBehaviour::Decline => {
            outcome_of_write(connection.write(DECLINED_RESPONSE).await, ReplicaOutcome::Declined)
        }
        ReplicaBehaviour::Error => {
            outcome_of_write(connection.write(ERROR_RESPONSE).await, ReplicaOutcome::Failed)
        }
        ReplicaBehaviour::Close => ReplicaOutcome::ClosedByReplica,
        ReplicaBehaviour::CloseMidStream => {
            let beginning = STREAM_HEAD.to_string() + &content_event();
            outcome_of_write(connection.write(beginning.as_bytes()).await, ReplicaOutcome::ClosedByReplica)
        }
        ReplicaBehaviour::Serve { first_event_after, events, gap } => {
            let first_event_after = first_event_after.mul_f64(0.5 + rng.f64());
            write_stream(connection, first_event_after, events, gap, on_begun).await
        }
        ReplicaBehaviour::SecondResponse => {
            write_stream(connection, Duration::from_millis(5), 1, Duration::from_millis(1), on_begun).await
        }
    }
}

async fn write_stream(
    connection: &mut HttpConnection,
    first_event_after: Duration,
    events: u32,
    gap: Duration,
    on_begun: impl Fn(),
) -> ReplicaOutcome {
    for n in 0..=events {
        let pause = if n == 0 { first_event_after } else { gap };
        if timeout(pause, wait_for_close(connection)).await.is_ok() {
            return ReplicaOutcome::ClosedByRouter;
        }
        let text = if n == 0 { STREAM_HEAD.to_string() + &content_event() } else { content_event() };
        if connection.write(text.as_bytes()).await.is_err() {
            return ReplicaOutcome::ClosedByRouter;
        }
        if n == 0 {
            on_begun();
        }
    }
    match connection.write(last_event().as_bytes()).await {
        Ok(()) => ReplicaOutcome::Completed,
        Err(_) => ReplicaOutcome::ClosedByRouter,
    }
}

/// Waits until the router has closed its side.
async fn wait_for_close(connection: &mut HttpConnection) {
    while connection.read_more().await.is_ok() {}
}
