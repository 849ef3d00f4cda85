//! One attempt: connects to a replica, writes the request, and reads the head of the response. [`super::relay`] relays the
//! body of a successful response.

use std::rc::Rc;

use bytes::{Buf, Bytes};
use tallypin::api::{Nanos, Outcome, ReplicaId, RequestId};
use tokio::sync::mpsc;

use super::connection::{ConnectError, ReplicaConnection};
use super::context::ReplicaContext;
use super::pool::ReplicaPool;
use super::relay::Relay;
use super::response::{discard_body, read_head};
use crate::core::{AttemptResult, FinalAnswer};
use crate::dialect;
use crate::dispatcher::{AttemptStart, Dispatcher, QueuedEvent, ResponseEvent, UpstreamRequest};
use crate::http::{BodyFraming, BufferedConnection, MessageHead, StartLine};

/// Nanoseconds per millisecond, the unit of the deadline that is sent to replicas.
const NANOS_PER_MILLI: Nanos = 1_000_000;
/// Initial buffer size for a request head without its target, in bytes. The buffer grows as needed.
const INITIAL_HEAD_CAPACITY_BYTES: usize = 256;

/// One attempt. Dropping it closes its connection.
pub struct Attempt {
    pub(super) context: Rc<ReplicaContext>,
    pub(super) dispatcher: Rc<Dispatcher>,
    /// The request.
    pub(super) request: RequestId,
    /// Number of the attempt, counted from 0 within the request.
    pub(super) attempt: u32,
    replica: ReplicaId,
    /// The client's deadline, in nanoseconds of the router's clock.
    deadline: Nanos,
    /// Whether the answer is held back until it is complete.
    pub(super) holds_answer: bool,
    /// The request to send; dropped once this attempt streams.
    pub(super) upstream: Option<Rc<UpstreamRequest>>,
    /// Whether the front needs the text of events in addition to their bytes.
    pub(super) needs_event_text: bool,
    /// Receives the attempt's events once it streams.
    pub(super) events: mpsc::Sender<QueuedEvent>,
    /// Whether this attempt's stream goes to the client.
    pub(super) streams: bool,
}

impl Attempt {
    /// Creates an attempt; [`Attempt::run`] runs it.
    pub fn new(context: Rc<ReplicaContext>, dispatcher: Rc<Dispatcher>, start: AttemptStart) -> Attempt {
        let AttemptStart { request, attempt, replica, deadline, holds_answer, upstream, events } = start;
        let needs_event_text = upstream.needs_event_text;
        Attempt {
            context,
            dispatcher,
            request,
            attempt,
            replica,
            deadline,
            holds_answer,
            upstream: Some(upstream),
            needs_event_text,
            events,
            streams: false,
        }
    }

    /// Runs the attempt and reports its result to the dispatcher and, if it streamed, to the front.
    pub async fn run(mut self) {
        let result = self.send_and_receive().await;
        tracing::debug!(target: "node", request = self.request.0, attempt = self.attempt,
            replica = %self.context.pool.name(self.replica), outcome = ?result.outcome,
            cached_tokens = result.cached_tokens, "attempt ended");
        let answer = match result.outcome {
            Outcome::Completed => FinalAnswer::Completed,
            _ => FinalAnswer::Interrupted,
        };
        self.dispatcher.attempt_finished(self.request, self.attempt);
        self.dispatcher.with_core(|core, now| core.attempt_ended(now, self.request, self.attempt, result));
        if self.streams {
            let _ = self.events.send(ResponseEvent::End(answer).into()).await;
        }
    }

    async fn send_and_receive(&mut self) -> AttemptResult {
        let mut connection = match self.connect().await {
            Ok(connection) => connection,
            Err(error) => return Outcome::from(error).into(),
        };
        // Encoded after the last await, so that the deadline sent is current.
        let Some(request) = self.encode_request() else { return Outcome::NotSent.into() };
        if !self.dispatcher.with_core(|core, now| core.may_write(now, self.request, self.attempt)) {
            self.context.pool.return_connection(connection);
            return Outcome::NotSent.into();
        }
        if let Err(error) = connection.wire.write(request).await {
            tracing::debug!(target: "node", request = self.request.0, attempt = self.attempt, error = %error,
                "attempt failed while its request was being written");
            // A replica cannot have run a request that it did not receive completely.
            return Outcome::ConnectionRefused.into();
        }
        tracing::debug!(target: "node", request = self.request.0, attempt = self.attempt,
            reused = connection.reused, "attempt written");
        let _in_flight = self.context.pool.begin_in_flight(self.replica);
        match self.receive_head(&mut connection.wire).await {
            Some(head) => self.receive_response(connection, head).await,
            None => Outcome::ConnectionReset.into(),
        }
    }

    /// Returns a connection on which the request can be written now. It yields to the event loop once before the checks, so that
    /// pending socket events are handled first: a client disconnect that aborts this attempt, an endpoint list update that
    /// makes the replica not ready, or the close of an idle connection by its replica.
    async fn connect(&self) -> Result<ReplicaConnection, ConnectError> {
        let pool = &self.context.pool;
        loop {
            let mut connection = pool.connect(self.replica).await?;
            tokio::task::yield_now().await;
            if !pool.is_ready_at(&connection.address) {
                return Err(ConnectError::NotReady);
            }
            if !connection.reused || !connection.wire.is_unusable() {
                return Ok(connection);
            }
        }
    }

    /// Encodes the request as HTTP; `None` if the upstream request was dropped.
    fn encode_request(&self) -> Option<impl Buf> {
        let request = self.upstream.as_ref()?;
        let time_left_ms = self.deadline.saturating_sub(self.context.clock.now()) / NANOS_PER_MILLI;
        let body = request.body.bytes.clone();
        let mut head = Vec::with_capacity(INITIAL_HEAD_CAPACITY_BYTES + request.target.len());
        let request_line =
            [&request.method[..], b" ", &request.target, b" HTTP/1.1\r\nHost: backend.local\r\nReq-Id: "];
        request_line.iter().chain(&[&request.id[..]]).for_each(|part| head.extend_from_slice(part));
        if let Some(key) = &request.idempotency_key {
            head.extend_from_slice(b"\r\nIdempotency-Key: ");
            head.extend_from_slice(key);
        }
        let remaining_fields = format!(
            "\r\nReq-Deadline-Ms: {time_left_ms}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        head.extend_from_slice(remaining_fields.as_bytes());
        Some(Bytes::from(head).chain(body))
    }

    /// Reads the head of the response; `None` if there is no valid one.
    async fn receive_head(&self, wire: &mut BufferedConnection) -> Option<MessageHead> {
        let guard = FirstByteGuard { pool: &self.context.pool, replica: self.replica };
        let more = wire.read_more().await;
        guard.disarm();
        match more {
            Ok(true) => read_head(wire, &self.context.limits).await,
            _ => None,
        }
    }

    /// Handles the response after its head and returns the result of the attempt. Keeps the connection if it can be reused.
    async fn receive_response(
        &mut self,
        mut connection: ReplicaConnection,
        head: MessageHead,
    ) -> AttemptResult {
        let names = &self.context.report_fields;
        let report = head
            .text_value("srv-load")
            .ok()
            .flatten()
            .map(|report| dialect::parse_load_report(report, names));
        let load_report = report.unwrap_or_default();
        let Ok(framing) = head.framing() else { return Outcome::ConnectionReset.into() };
        match head.start_line {
            StartLine::Status(200) => {
                let relayed = Relay::new(self, framing, load_report).run(&mut connection.wire).await;
                if relayed.at_message_end && head.keeps_alive() && connection.wire.read_buffer.is_empty() {
                    self.context.pool.return_connection(connection);
                }
                relayed.result
            }
            StartLine::Status(status) => {
                let outcome = outcome_of_status(status, &head);
                self.reuse_after_error(connection, &head, framing);
                AttemptResult { load_report, ..outcome.into() }
            }
            StartLine::Request(..) => Outcome::ConnectionReset.into(),
        }
    }

    fn reuse_after_error(&self, mut connection: ReplicaConnection, head: &MessageHead, framing: BodyFraming) {
        if head.keeps_alive()
            && discard_body(&mut connection.wire, framing, self.context.limits.max_event_size)
        {
            self.context.pool.return_connection(connection);
        }
    }
}

/// Returns the outcome for a status other than 200. Only the header field `Srv-Declined: 1` of a 503 or 504 response means
/// that the replica has not run the request.
fn outcome_of_status(status: u16, head: &MessageHead) -> Outcome {
    let declined = matches!(head.text_value("srv-declined"), Ok(Some("1")));
    match status {
        503 | 504 if declined => Outcome::Rejected,
        _ => Outcome::ReplicaError,
    }
}

/// Closes the idle connections to a replica if dropped before the first byte of a response: those connections may be dead
/// as well.
struct FirstByteGuard<'a> {
    pool: &'a ReplicaPool,
    replica: ReplicaId,
}

impl FirstByteGuard<'_> {
    /// Keeps the idle connections, because the replica has responded.
    fn disarm(self) {
        std::mem::forget(self);
    }
}

impl Drop for FirstByteGuard<'_> {
    fn drop(&mut self) {
        self.pool.close_idle(self.replica);
    }
}
