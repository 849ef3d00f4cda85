//! Relays the events of a response to the front, once an event has begun the answer.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use tallypin::api::Outcome;

use super::attempt::Attempt;
use crate::core::AttemptResult;
use crate::dialect::{self, Dialect, EventSplitter, StreamEvent};
use crate::dispatcher::ResponseEvent;
use crate::http::{BodyFraming, BodyPart, BodyReader, BufferedConnection};

/// The result of relaying a response.
pub(super) struct Relayed {
    /// The result of the attempt.
    pub result: AttemptResult,
    /// Whether the response was read to its end, so that the connection can carry another request.
    pub at_message_end: bool,
}

/// The response can't be relayed further. [`Relay::result`] holds the result of the attempt.
struct RelayStopped;

/// The response of one attempt on its way to the front.
pub(super) struct Relay<'a> {
    attempt: &'a mut Attempt,
    framing: BodyFraming,
    body: BodyReader,
    /// Splits the body into events.
    events: EventSplitter,
    /// Bytes of complete events received before the stream has begun.
    buffered: BytesMut,
    /// The parsed form of the events in `buffered`.
    buffered_events: Vec<StreamEvent>,
    result: AttemptResult,
    /// Whether the response counts as complete once its body ends: from the start for a chat stream, and for a messages stream
    /// once the event that marks its completion has arrived.
    complete: bool,
    last_event_at: Instant,
}

impl<'a> Relay<'a> {
    /// Creates a relay for a response whose body is unread. `load_report` is the report in its head.
    pub fn new(attempt: &'a mut Attempt, framing: BodyFraming, load_report: Vec<f64>) -> Relay<'a> {
        let body = BodyReader::for_response(framing, attempt.context.limits.max_event_size);
        // A messages stream marks its completion with an event; a chat stream is complete at its last chunk.
        let complete = attempt.context.pool.dialect == Dialect::Chat;
        Relay {
            attempt,
            framing,
            body,
            events: EventSplitter::default(),
            buffered: BytesMut::new(),
            buffered_events: Vec::new(),
            result: AttemptResult { load_report, ..Outcome::ConnectionReset.into() },
            complete,
            last_event_at: Instant::now(),
        }
    }

    /// Relays the response until it ends or can't be relayed further.
    pub async fn run(mut self, wire: &mut BufferedConnection) -> Relayed {
        let at_message_end = self.relay(wire).await.is_ok();
        Relayed { result: self.result, at_message_end }
    }

    async fn relay(&mut self, wire: &mut BufferedConnection) -> Result<(), RelayStopped> {
        loop {
            match self.body.next_part(&mut wire.read_buffer).map_err(|_| RelayStopped)? {
                Some(BodyPart::Data(data)) => {
                    let complete_events = self.events.push(&data);
                    if self.events.incomplete_size() > self.attempt.context.limits.max_event_size {
                        return Err(RelayStopped);
                    }
                    if let Some(bytes) = complete_events {
                        self.relay_events(bytes).await?;
                    }
                }
                Some(BodyPart::End) => {
                    let remainder = self.events.take_incomplete();
                    if !remainder.is_empty() {
                        self.relay_events(remainder).await?;
                    }
                    // A response without any event does not count as completed.
                    if self.complete && self.attempt.streams && self.framing != BodyFraming::Undeclared {
                        self.result.outcome = Outcome::Completed;
                    }
                    return Ok(());
                }
                None => self.read_more(wire).await?,
            }
        }
    }

    /// Reads more of the response. Once the stream has begun, the silence timeout applies; before that, the core's first-token
    /// timeout does.
    async fn read_more(&self, wire: &mut BufferedConnection) -> Result<(), RelayStopped> {
        let more = match self.attempt.streams {
            true => {
                let timeout_at = self.last_event_at + self.attempt.context.limits.stream_silence_timeout;
                tokio::time::timeout_at(timeout_at.into(), wire.read_more())
                    .await
                    .map_err(|_| RelayStopped)?
            }
            false => wire.read_more().await,
        };
        match more {
            Ok(true) => Ok(()),
            _ => Err(RelayStopped),
        }
    }

    /// Relays complete events. Buffers them until one of them begins the stream; keep-alive events and events unknown to the
    /// dialect do not begin it.
    async fn relay_events(&mut self, mut bytes: Bytes) -> Result<(), RelayStopped> {
        let mut events = self.read_events(&bytes);
        self.complete |= events.contains(&StreamEvent::Complete);
        let failed = events.contains(&StreamEvent::Failed);
        if !self.attempt.streams {
            self.buffered.extend_from_slice(&bytes);
            self.buffered_events.append(&mut events);
            let begins = self.buffered_events.iter().any(StreamEvent::begins_answer);
            if !failed && !begins && self.buffered.len() <= self.attempt.context.limits.max_event_size {
                return Ok(());
            }
            (bytes, events) = (self.buffered.split().freeze(), std::mem::take(&mut self.buffered_events));
            self.begin_stream(failed)?;
        }
        if self.attempt.events.send(ResponseEvent::Data(bytes, events)).await.is_err() || failed {
            return Err(RelayStopped);
        }
        self.last_event_at = Instant::now();
        Ok(())
    }

    /// Begins the stream of this attempt, unless the attempt failed, another attempt streams, or the client has disconnected.
    fn begin_stream(&mut self, failed: bool) -> Result<(), RelayStopped> {
        let attempt = &mut *self.attempt;
        let (request, number) = (attempt.request, attempt.attempt);
        if failed || !attempt.dispatcher.with_core(|core, now| core.first_event(now, request, number)) {
            self.result.outcome = Outcome::ReplicaError;
            return Err(RelayStopped);
        }
        tracing::debug!(target: "node", request = request.0, attempt = number, "stream begun");
        attempt.streams = true;
        // No further attempt needs the upstream request. Dropping it frees its body reservation.
        attempt.upstream = None;
        attempt.dispatcher.release_upstream_request(request);
        Ok(())
    }

    /// Parses events, and records the usage and load report in the result of the attempt.
    fn read_events(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        let context = &self.attempt.context;
        let mut events = Vec::new();
        context.pool.dialect.read_events(bytes, self.attempt.needs_event_text, &mut events);
        for event in &events {
            match event {
                StreamEvent::Usage { cached_tokens, answer_tokens, .. } => {
                    self.result.cached_tokens = cached_tokens.map(saturate).or(self.result.cached_tokens);
                    self.result.answer_tokens = answer_tokens.map(saturate).or(self.result.answer_tokens);
                }
                StreamEvent::LoadReport(report) => {
                    self.result.load_report = dialect::parse_load_report(report, &context.report_fields);
                }
                StreamEvent::Unknown => context.unknown_events.set(context.unknown_events.get() + 1),
                _ => {}
            }
        }
        events
    }
}

/// Converts a token count of a replica, which may state any number.
fn saturate(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
