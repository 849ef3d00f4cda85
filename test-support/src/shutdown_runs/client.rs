//! The clients of a run: each reuses its connection while it stays open and sends one request after another, also
//! after the router got SIGTERM. The outcome of each request is recorded.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::rules::MAX_RESPONSE_DELAY;
use super::scenario::{Class, Scenario};
use super::Run;
use crate::http_connection::HttpConnection;

/// A client gives up on a response this long after the request's deadline, far past what any rule allows.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// Time allowed for a response after the first deadline, once its first byte has arrived.
const STREAM_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which the router has to answer a request that stays incomplete, or close its connection.
const STALLED_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound of the pause between two requests of a client.
const MAX_THINK_TIME_MS: u64 = 120;
/// One request in this many has a deadline of less than 40 ms.
const SHORT_DEADLINE_ONE_IN: u8 = 12;
/// Body size of the requests that a client sends ahead.
const AHEAD_BODY_BYTES: usize = 1500;
/// Time for which a client waits for the system to accept what it sends ahead.
const SEND_AHEAD_TIMEOUT: Duration = Duration::from_millis(20);
/// Delay before a client connects again after a failed or closed connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// The outcome of an exchange for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The exchange has not ended.
    Open,
    /// The complete response arrived; its status code.
    Answered(u16),
    /// The response broke off; its status code, or 0 if its head is incomplete.
    Truncated(u16),
    /// The connection ended before any byte of a response.
    Closed,
    /// The client closed the connection.
    Disconnected,
    /// No response arrived, although the client waited far past its deadline.
    TimedOut,
}

impl Outcome {
    /// Returns the status code of the response, if one began.
    pub fn status(self) -> Option<u16> {
        match self {
            Outcome::Answered(status) | Outcome::Truncated(status) => Some(status),
            _ => None,
        }
    }
}

/// One request and its response on a client connection; times count from the start of the run.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// The request id. A request sent again on a new connection has the same id.
    pub id: String,
    /// Class of the request.
    pub class: Class,
    /// When the first byte of the request was written.
    pub start: Duration,
    /// When the last byte of the request was written, unless the connection broke before.
    pub sent_at: Option<Duration>,
    /// When the first byte of the response arrived.
    pub first_byte_at: Option<Duration>,
    /// When the exchange ended.
    pub ended_at: Option<Duration>,
    /// Outcome of the exchange.
    pub outcome: Outcome,
}

/// How a client sends one of its requests.
struct SendOptions {
    /// Pause between the two parts in which the request is written.
    pause: Option<Duration>,
    /// Time after the end of the request at which the client closes the connection.
    disconnect_after: Option<Duration>,
    /// Number of bytes of further requests that the client sends at once before it closes the connection.
    sent_ahead: usize,
    /// Size of the request body in bytes.
    body_bytes: usize,
    /// The client sends half of the request and keeps the connection open.
    stalls: bool,
}

impl SendOptions {
    fn random(rng: &mut fastrand::Rng, scenario: &Scenario) -> SendOptions {
        let max_pause_ms = scenario.max_write_pause.as_millis() as u64;
        let disconnect_after = (rng.u8(..16) == 0).then(|| Duration::from_millis(rng.u64(..300)));
        let sends_ahead = disconnect_after.is_some() && rng.bool();
        SendOptions {
            sent_ahead: if sends_ahead { scenario.max_sent_ahead } else { 0 },
            disconnect_after,
            stalls: rng.u8(..40) == 0,
            pause: (rng.u8(..scenario.slow_writes_one_in) == 0)
                .then(|| Duration::from_millis(rng.u64(1..max_pause_ms))),
            body_bytes: if rng.u8(..10) == 0 { rng.usize(10_000..150_000) } else { rng.usize(2..500) },
        }
    }
}

/// Runs a client that connects and sends nothing, and connects again whenever its connection is closed.
pub(super) async fn run_idle(run: Rc<Run>) {
    while !run.clients_stopped.get() {
        if let Ok(stream) = TcpStream::connect(run.front).await {
            let mut connection = HttpConnection::new(stream);
            while connection.read_more().await.is_ok() {}
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Runs a client that sends requests.
pub(super) async fn run_active(run: Rc<Run>, number: u64) {
    let mut rng = run.rng(number);
    let mut requests_sent = 0;
    // A request whose connection ended without a response: the client may assume that it was not read, and sends
    // it once more.
    let mut unanswered: Option<(String, Class)> = None;
    while !run.clients_stopped.get() {
        let Ok(stream) = TcpStream::connect(run.front).await else {
            sleep(RECONNECT_DELAY).await;
            continue;
        };
        let mut connection = HttpConnection::new(stream);
        loop {
            let retry = unanswered.take();
            let is_retry = retry.is_some();
            let (id, mut class) = retry.unwrap_or_else(|| {
                requests_sent += 1;
                let mut class = run.scenario.classes[rng.usize(..run.scenario.classes.len())].clone();
                if rng.u8(..SHORT_DEADLINE_ONE_IN) == 0 {
                    class.deadline = Duration::from_millis(rng.u64(1..40));
                }
                (format!("c{number}-{requests_sent}"), class)
            });
            run.wait_out_idle_period().await;
            let options = SendOptions::random(&mut rng, &run.scenario);
            if options.stalls {
                // Whatever its deadline, an incomplete request has to be answered or its connection closed within
                // `STALLED_REQUEST_TIMEOUT`.
                class.deadline = STALLED_REQUEST_TIMEOUT.saturating_sub(MAX_RESPONSE_DELAY);
            }
            // The next answers on this connection are for the requests sent ahead.
            let sends_ahead = options.sent_ahead > 0;
            let index = exchange(&run, &mut connection, &id, &class, options).await;
            let outcome = run.exchanges.borrow()[index].outcome;
            match outcome {
                Outcome::Answered(_) if !sends_ahead => {}
                Outcome::Closed if !is_retry => {
                    unanswered = Some((id, class));
                    break;
                }
                _ => break,
            }
            sleep(Duration::from_millis(rng.u64(..MAX_THINK_TIME_MS))).await;
            if run.clients_stopped.get() {
                return;
            }
        }
    }
}

/// Sends one request and reads its response; returns the index of its record.
async fn exchange(
    run: &Run,
    connection: &mut HttpConnection,
    id: &str,
    class: &Class,
    options: SendOptions,
) -> usize {
    let index = run.exchanges.borrow().len();
    run.exchanges.borrow_mut().push(Exchange {
        id: id.into(),
        class: class.clone(),
        start: run.now(),
        sent_at: None,
        first_byte_at: None,
        ended_at: None,
        outcome: Outcome::Open,
    });
    let outcome = match send(connection, id, class, run.scenario.longest_answer().tokens, &options).await {
        Err(_) => Outcome::Closed,
        Ok(()) if options.stalls => {
            timeout(STALLED_REQUEST_TIMEOUT, read(run, connection, index)).await.unwrap_or(Outcome::TimedOut)
        }
        Ok(()) => {
            run.exchanges.borrow_mut()[index].sent_at = Some(run.now());
            let response = read(run, connection, index);
            match options.disconnect_after {
                Some(after) => timeout(after, response).await.unwrap_or(Outcome::Disconnected),
                None => {
                    let limit = class.deadline + RESPONSE_GRACE;
                    let has_begun = || run.exchanges.borrow()[index].first_byte_at.is_some();
                    read_within(response, limit, has_begun).await
                }
            }
        }
    };
    let mut exchanges = run.exchanges.borrow_mut();
    (exchanges[index].outcome, exchanges[index].ended_at) = (outcome, Some(run.now()));
    index
}

/// Waits up to `limit` for the response, and up to `STREAM_TIMEOUT` more if it has begun.
async fn read_within(
    response: impl std::future::Future<Output = Outcome>,
    limit: Duration,
    has_begun: impl Fn() -> bool,
) -> Outcome {
    let mut response = std::pin::pin!(response);
    if let Ok(outcome) = timeout(limit, &mut response).await {
        return outcome;
    }
    match has_begun() {
        true => timeout(STREAM_TIMEOUT, response).await.unwrap_or(Outcome::Truncated(200)),
        false => Outcome::TimedOut,
    }
}

async fn send(
    connection: &mut HttpConnection,
    id: &str,
    class: &Class,
    max_tokens: u32,
    options: &SendOptions,
) -> io::Result<()> {
    let body = "x".repeat(options.body_bytes);
    let message = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nReq-Id: {id}\r\nReq-Kind: {}\r\nReq-Owner: t\r\n\
         Req-Deadline-Ms: {}\r\nReq-Extra: max_out={max_tokens}\r\nContent-Length: {}\r\n\r\n{body}",
        class.name,
        class.deadline.as_millis(),
        body.len()
    );
    let (head, rest) = message.as_bytes().split_at(message.len() / 2);
    connection.write(head).await?;
    if options.stalls {
        return Ok(());
    }
    if let Some(pause) = options.pause {
        sleep(pause).await;
    }
    connection.write(rest).await?;
    // What the system does not accept at once is left out, as the client does not wait for the router.
    let _ = timeout(SEND_AHEAD_TIMEOUT, connection.write(&requests_ahead(id, options.sent_ahead))).await;
    Ok(())
}

/// Further requests of at least `size` bytes in total.
fn requests_ahead(id: &str, size: usize) -> Vec<u8> {
    let body = "x".repeat(AHEAD_BODY_BYTES);
    let request = |number: usize| {
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nReq-Id: {id}-{number}\r\nReq-Kind: c0\r\nReq-Owner: t\r\n\
             Content-Length: {AHEAD_BODY_BYTES}\r\n\r\n{body}"
        )
    };
    (0..size.div_ceil(AHEAD_BODY_BYTES)).flat_map(|number| request(number).into_bytes()).collect()
}

async fn read(run: &Run, connection: &mut HttpConnection, index: usize) -> Outcome {
    if connection.buf.is_empty() && connection.read_more().await.is_err() {
        return Outcome::Closed;
    }
    run.exchanges.borrow_mut()[index].first_byte_at = Some(run.now());
    let Ok(head) = connection.read_head().await else { return Outcome::Truncated(0) };
    match connection.skip_body(&head).await {
        Ok(()) => Outcome::Answered(head.status()),
        Err(_) => Outcome::Truncated(head.status()),
    }
}
