//! One attempt: writes the request to a model node, and passes the events of its answer on.

use std::rc::Rc;
use std::time::Instant;

use bytes::{Buf, Bytes, BytesMut};
use tallypin::api::{Nanos, Outcome, ReplicaId, RequestId};
use tokio::sync::mpsc;

use super::answer::{drained, read_head};
use super::context::ReplicaContext;
use super::pool::{ReplicaConnection, ReplicaPool};
use crate::core::{AttemptResult, FinalAnswer};
use crate::dialect::{self, Dialect, EventSplitter, StreamEvent};
use crate::dispatcher::{AttemptStart, Dispatcher, ResponseEvent, UpstreamRequest};
use crate::http::{BodyFraming, BodyPart, BodyReader, BufferedConnection, StartLine};

/// One attempt.
pub struct Attempt {
    context: Rc<ReplicaContext>,
    dispatcher: Rc<Dispatcher>,
    /// The request.
    id: RequestId,
    /// Which of its attempts.
    attempt: u32,
    /// Where to.
    node: ReplicaId,
    /// When the client gives up.
    deadline: Nanos,
    /// What to send; not kept once this attempt streams.
    prompt: Option<Rc<UpstreamRequest>>,
    /// The front wants the text of events, not only their bytes.
    text: bool,
    /// Where its events go once it streams.
    pieces: mpsc::Sender<ResponseEvent>,
}

impl Attempt {
    /// An attempt that has not run yet.
    pub fn new(context: Rc<ReplicaContext>, dispatcher: Rc<Dispatcher>, start: AttemptStart) -> Attempt {
        let AttemptStart { request, attempt, replica, deadline, upstream, events } = start;
        let text = upstream.text;
        Attempt {
            context,
            dispatcher,
            id: request,
            attempt,
            node: replica,
            deadline,
            prompt: Some(upstream),
            text,
            pieces: events,
        }
    }

    /// Runs it to its end. Giving it up is dropping it: the connection closes.
    pub async fn run(mut self) {
        let end = self.stream().await;
        tracing::debug!(target: "node", request = self.id.0, attempt = self.attempt,
            node = %self.context.pool.name(self.node), outcome = ?end.outcome,
            kept = end.cached_tokens, "attempt ended");
        let answer = match end.outcome {
            Outcome::Completed => FinalAnswer::Completed,
            _ => FinalAnswer::Interrupted,
        };
        let (id, attempt, bound) = (self.id, self.attempt, self.bound());
        self.dispatcher.attempt_finished(id, attempt);
        self.dispatcher.with(|core, now| core.attempt_ended(now, id, attempt, end));
        if bound {
            let _ = self.pieces.send(ResponseEvent::End(answer)).await;
        }
    }

    fn bound(&self) -> bool {
        self.deadline == NO_DEADLINE
    }

    async fn stream(&mut self) -> AttemptResult {
        let mut link = match self.reach().await {
            Ok(reached) => reached,
            Err(outcome) => return outcome.into(),
        };
        // Broken before its last byte was written, the request cannot have run.
        let Some((head, body)) = self.message() else { return Outcome::NotSent.into() };
        if !self.dispatcher.with(|core, now| core.may_write(now, self.id, self.attempt)) {
            self.context.pool.give_back(link);
            return Outcome::NotSent.into();
        }
        if let Err(e) = link.wire.write(head.chain(body)).await {
            tracing::debug!(target: "node", request = self.id.0, attempt = self.attempt, why = %e,
                "attempt not written whole");
            return Outcome::ConnectionRefused.into();
        }
        tracing::debug!(target: "node", request = self.id.0, attempt = self.attempt, reused = link.reused,
            "attempt written");
        let _out = InFlight::on(&self.context.pool, self.node);
        let silent = SilentReplica { nodes: &self.context.pool, node: self.node };
        let more = link.wire.read_more().await;
        std::mem::forget(silent);
        let head = match more {
            Ok(true) => read_head(&mut link.wire, &self.context.limits).await,
            _ => None,
        };
        let Some(head) = head else { return Outcome::ConnectionReset.into() };
        let names = &self.context.report_fields;
        let load = head.text_value("srv-load").ok().flatten().map(|l| dialect::parse_load_report(l, names));
        let load = load.unwrap_or_default();
        let framing = match head.framing() {
            Ok(framing) => framing,
            Err(_) => return Outcome::ConnectionReset.into(),
        };
        match head.start_line {
            StartLine::Status(200) => {}
            StartLine::Status(status) => {
                let declined = matches!(head.text_value("srv-declined"), Ok(Some("1")));
                let outcome = match status {
                    503 | 504 if declined => Outcome::Rejected,
                    _ => Outcome::ReplicaError,
                };
                if head.keeps_alive() && drained(&mut link.wire, framing, self.context.limits.max_event_size)
                {
                    self.context.pool.give_back(link);
                }
                return AttemptResult { outcome, cached_tokens: None, load_report: load };
            }
            StartLine::Request(..) => return Outcome::ConnectionReset.into(),
        }
        let (end, reusable) = self.pass_on(&mut link.wire, framing, load).await;
        if reusable && head.keeps_alive() && link.wire.unread.is_empty() {
            self.context.pool.give_back(link);
        }
        end
    }

    /// A connection on which the request may be written now. Before that the event loop looks at the sockets once more:
    /// a front that hears of its client's end calls this off first, the node list may have told that the node takes no
    /// work, and an idle connection may have been closed by its node.
    async fn reach(&self) -> Result<ReplicaConnection, Outcome> {
        let nodes = &self.context.pool;
        loop {
            let mut link = nodes.connect(self.node).await?;
            tokio::task::yield_now().await;
            if !nodes.takes_work(&link.to) {
                return Err(Outcome::NotSent);
            }
            if !link.reused || !link.wire.is_unusable() {
                return Ok(link);
            }
        }
    }

    fn message(&self) -> Option<(Bytes, Bytes)> {
        let p = self.prompt.as_ref()?;
        let left = self.deadline.saturating_sub(self.context.clock.now()) / 1_000_000;
        let body = p.body.bytes.clone();
        let mut head = Vec::with_capacity(256 + p.target.len());
        for part in [&p.method[..], b" ", &p.target, b" HTTP/1.1\r\nHost: backend.local\r\nReq-Id: ", &p.id] {
            head.extend_from_slice(part);
        }
        if let Some(key) = &p.idempotency_key {
            head.extend_from_slice(b"\r\nIdempotency-Key: ");
            head.extend_from_slice(key);
        }
        let rest = format!(
            "\r\nReq-Deadline-Ms: {left}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        head.extend_from_slice(rest.as_bytes());
        Some((head.into(), body))
    }

    /// Passes the events of a stream on as they come; also says whether the connection is at the end of
    /// the answer.
    async fn pass_on(
        &mut self,
        wire: &mut BufferedConnection,
        framing: BodyFraming,
        load: Vec<f64>,
    ) -> (AttemptResult, bool) {
        let (context, dispatcher) = (self.context.clone(), self.dispatcher.clone());
        let (mut body, mut events) =
            (BodyReader::for_response(framing, context.limits.max_event_size), EventSplitter::default());
        let (mut held, mut held_told) = (BytesMut::new(), Vec::new());
        let mut end =
            AttemptResult { outcome: Outcome::ConnectionReset, cached_tokens: None, load_report: load };
        // A messages stream says itself that it is complete; the others are so at the last chunk.
        let mut complete = context.pool.dialect == Dialect::Chat;
        let silence = |quiet_since: Instant| (quiet_since + context.limits.stream_silence_timeout).into();
        let mut quiet_since = Instant::now();
        loop {
            let part = match body.next_part(&mut wire.unread) {
                Ok(part) => part,
                Err(_) => return (end, false),
            };
            let over = part == Some(BodyPart::End);
            let whole = match part {
                Some(BodyPart::Data(data)) => {
                    let whole = events.push(&data);
                    if events.held_size() > context.limits.max_event_size {
                        return (end, false);
                    }
                    whole
                }
                Some(BodyPart::End) => match events.take_rest() {
                    rest if rest.is_empty() => None,
                    rest => Some(rest),
                },
                None => {
                    // Before the stream is bound, the core keeps the time.
                    let more = if self.bound() {
                        tokio::time::timeout_at(silence(quiet_since), wire.read_more()).await
                    } else {
                        Ok(wire.read_more().await)
                    };
                    match more {
                        Ok(Ok(true)) => continue,
                        _ => return (end, false),
                    }
                }
            };
            if let Some(mut bytes) = whole {
                let mut told = self.tell(&bytes, &mut end);
                complete |= told.contains(&StreamEvent::Complete);
                let failed = told.contains(&StreamEvent::Failed);
                if !self.bound() {
                    held.extend_from_slice(&bytes);
                    held_told.append(&mut told);
                    if !failed
                        && !held_told.iter().any(StreamEvent::begins_answer)
                        && held.len() <= context.limits.max_event_size
                    {
                        continue; // A sign of life, or what nobody knows, binds nothing.
                    }
                    (bytes, told) = (held.split().freeze(), std::mem::take(&mut held_told));
                    let (id, attempt) = (self.id, self.attempt);
                    // Another attempt was first, or the client has gone: nothing of this one is wanted.
                    if failed || !dispatcher.with(|core, now| core.first_event(now, id, attempt)) {
                        return (AttemptResult { outcome: Outcome::ReplicaError, ..end }, false);
                    }
                    tracing::debug!(target: "node", request = id.0, attempt, "stream begun");
                    self.deadline = NO_DEADLINE;
                    // No further attempt will need the prompt: its part of the budget is free again.
                    self.prompt = None;
                    dispatcher.release_upstream_request(id);
                }
                if self.pieces.send(ResponseEvent::Data(bytes, told)).await.is_err() || failed {
                    return (end, false);
                }
                quiet_since = Instant::now();
            }
            if over {
                // An empty answer is none.
                if complete && self.bound() && framing != BodyFraming::Undeclared {
                    end.outcome = Outcome::Completed;
                }
                return (end, true);
            }
        }
    }

    /// What events say; keeps what concerns the attempt's end.
    fn tell(&self, bytes: &[u8], end: &mut AttemptResult) -> Vec<StreamEvent> {
        let mut told = Vec::new();
        self.context.pool.dialect.read_events(bytes, self.text, &mut told);
        for event in &told {
            match event {
                StreamEvent::Usage { cached_tokens: Some(kept), .. } => {
                    end.cached_tokens = Some((*kept).min(u32::MAX.into()) as u32)
                }
                StreamEvent::LoadReport(report) => {
                    end.load_report = dialect::parse_load_report(report, &self.context.report_fields)
                }
                StreamEvent::Unknown => {
                    self.context.unknown_events.set(self.context.unknown_events.get() + 1)
                }
                _ => {}
            }
        }
        told
    }
}

/// The deadline of an attempt whose stream has begun: none.
const NO_DEADLINE: Nanos = Nanos::MAX;

/// An attempt out on a connection.
struct InFlight(Rc<ReplicaPool>, ReplicaId);

impl InFlight {
    fn on(pool: &Rc<ReplicaPool>, id: ReplicaId) -> InFlight {
        *pool.in_flight.borrow_mut().entry(id).or_default() += 1;
        InFlight(pool.clone(), id)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut out = self.0.in_flight.borrow_mut();
        if let Some(n) = out.get_mut(&self.1) {
            *n -= 1;
            if *n == 0 {
                out.remove(&self.1);
            }
        }
    }
}

/// Dropped while a node owes the first byte of an answer, it tells that the node was silent.
struct SilentReplica<'a> {
    nodes: &'a ReplicaPool,
    node: ReplicaId,
}

impl Drop for SilentReplica<'_> {
    fn drop(&mut self) {
        self.nodes.close_idle(self.node);
    }
}
