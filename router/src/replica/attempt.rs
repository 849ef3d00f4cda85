//! One attempt: connects to a replica, writes the request, and reads the head of the response. What follows a successful head
//! is relayed by [`super::relay`].

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
use crate::dispatcher::{AttemptStart, Dispatcher, ResponseEvent, UpstreamRequest};
use crate::http::{BodyFraming, BufferedConnection, MessageHead, StartLine};

/// Nanoseconds in a millisecond, the unit of the deadline that a replica is told.
const NANOS_PER_MILLI: Nanos = 1_000_000;
/// Bytes of a request head beside its target; it grows if they are too few.
const HEAD_CAPACITY: usize = 256;

/// One attempt. Dropping it gives it up: the connection closes.
pub struct Attempt {
    pub(super) context: Rc<ReplicaContext>,
    pub(super) dispatcher: Rc<Dispatcher>,
    /// The request.
    pub(super) request: RequestId,
    /// Which of its attempts.
    pub(super) attempt: u32,
    replica: ReplicaId,
    /// When the client gives up.
    deadline: Nanos,
    /// What to send; dropped once this attempt streams.
    pub(super) upstream: Option<Rc<UpstreamRequest>>,
    /// The front wants the text of events, not only their bytes.
    pub(super) text: bool,
    /// Where its events go once it streams.
    pub(super) events: mpsc::Sender<ResponseEvent>,
    /// Its stream has begun: the client gets it, and no other attempt.
    pub(super) streams: bool,
}

impl Attempt {
    /// An attempt that has not run yet.
    pub fn new(context: Rc<ReplicaContext>, dispatcher: Rc<Dispatcher>, start: AttemptStart) -> Attempt {
        let AttemptStart { request, attempt, replica, deadline, upstream, events } = start;
        let text = upstream.text;
        Attempt {
            context,
            dispatcher,
            request,
            attempt,
            replica,
            deadline,
            upstream: Some(upstream),
            text,
            events,
            streams: false,
        }
    }

    /// Runs it to its end, and reports that to the dispatcher and, if it streamed, to the front.
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
        self.dispatcher.with(|core, now| core.attempt_ended(now, self.request, self.attempt, result));
        if self.streams {
            let _ = self.events.send(ResponseEvent::End(answer)).await;
        }
    }

    async fn send_and_receive(&mut self) -> AttemptResult {
        let mut connection = match self.connect().await {
            Ok(connection) => connection,
            Err(error) => return Outcome::from(error).into(),
        };
        // The time left is worked out after the last wait.
        let Some(request) = self.encode_request() else { return Outcome::NotSent.into() };
        if !self.dispatcher.with(|core, now| core.may_write(now, self.request, self.attempt)) {
            self.context.pool.give_back(connection);
            return Outcome::NotSent.into();
        }
        if let Err(error) = connection.wire.write(request).await {
            tracing::debug!(target: "node", request = self.request.0, attempt = self.attempt, error = %error,
                "attempt not written whole");
            // Broken before its last byte was written, the request cannot have run.
            return Outcome::ConnectionRefused.into();
        }
        tracing::debug!(target: "node", request = self.request.0, attempt = self.attempt,
            reused = connection.reused, "attempt written");
        let _in_flight = self.context.pool.count_in_flight(self.replica);
        match self.receive_head(&mut connection.wire).await {
            Some(head) => self.receive_response(connection, head).await,
            None => Outcome::ConnectionReset.into(),
        }
    }

    /// A connection on which the request may be written now. Before that the event loop looks at the sockets once more: a
    /// front that hears of its client's end aborts this attempt first, the endpoint list may have sent that the replica is
    /// not ready, and an idle connection may have been closed by its replica.
    async fn connect(&self) -> Result<ReplicaConnection, ConnectError> {
        let pool = &self.context.pool;
        loop {
            let mut connection = pool.connect(self.replica).await?;
            tokio::task::yield_now().await;
            if !pool.is_ready_at(&connection.to) {
                return Err(ConnectError::NotReady);
            }
            if !connection.reused || !connection.wire.is_unusable() {
                return Ok(connection);
            }
        }
    }

    /// The request as it is written; `None` if there is nothing to send any longer.
    fn encode_request(&self) -> Option<impl Buf> {
        let request = self.upstream.as_ref()?;
        let left = self.deadline.saturating_sub(self.context.clock.now()) / NANOS_PER_MILLI;
        let body = request.body.bytes.clone();
        let mut head = Vec::with_capacity(HEAD_CAPACITY + request.target.len());
        let first =
            [&request.method[..], b" ", &request.target, b" HTTP/1.1\r\nHost: backend.local\r\nReq-Id: "];
        first.iter().chain(&[&request.id[..]]).for_each(|part| head.extend_from_slice(part));
        if let Some(key) = &request.idempotency_key {
            head.extend_from_slice(b"\r\nIdempotency-Key: ");
            head.extend_from_slice(key);
        }
        let rest = format!(
            "\r\nReq-Deadline-Ms: {left}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        head.extend_from_slice(rest.as_bytes());
        Some(Bytes::from(head).chain(body))
    }

    /// The head of the response; `None` if there is no valid one.
    async fn receive_head(&self, wire: &mut BufferedConnection) -> Option<MessageHead> {
        let silent = SilentReplica { pool: &self.context.pool, replica: self.replica };
        let more = wire.read_more().await;
        silent.has_answered();
        match more {
            Ok(true) => read_head(wire, &self.context.limits).await,
            _ => None,
        }
    }

    /// What becomes of the attempt behind the head of its response; the connection is kept if it can be reused.
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
                if relayed.at_message_end && head.keeps_alive() && connection.wire.unread.is_empty() {
                    self.context.pool.give_back(connection);
                }
                relayed.result
            }
            StartLine::Status(status) => {
                let outcome = outcome_of_status(status, &head);
                self.reuse_after_error(connection, &head, framing);
                AttemptResult { outcome, cached_tokens: None, load_report }
            }
            StartLine::Request(..) => Outcome::ConnectionReset.into(),
        }
    }

    fn reuse_after_error(&self, mut connection: ReplicaConnection, head: &MessageHead, framing: BodyFraming) {
        if head.keeps_alive()
            && discard_body(&mut connection.wire, framing, self.context.limits.max_event_size)
        {
            self.context.pool.give_back(connection);
        }
    }
}

/// What a status other than 200 means: only a replica that says so has not run the request.
fn outcome_of_status(status: u16, head: &MessageHead) -> Outcome {
    let declined = matches!(head.text_value("srv-declined"), Ok(Some("1")));
    match status {
        503 | 504 if declined => Outcome::Rejected,
        _ => Outcome::ReplicaError,
    }
}

/// Dropped while a replica owes the first byte of a response, it closes the idle connections to it: they may be as dead.
struct SilentReplica<'a> {
    pool: &'a ReplicaPool,
    replica: ReplicaId,
}

impl SilentReplica<'_> {
    /// The replica is not silent: nothing is closed.
    fn has_answered(self) {
        std::mem::forget(self);
    }
}

impl Drop for SilentReplica<'_> {
    fn drop(&mut self) {
        self.pool.close_idle(self.replica);
    }
}
