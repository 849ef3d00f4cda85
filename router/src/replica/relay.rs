//! Relays the events of a response to the front, from the first one that is worth anything to the client.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use tallypin::api::Outcome;

use super::attempt::Attempt;
use crate::core::AttemptResult;
use crate::dialect::{self, Dialect, EventSplitter, StreamEvent};
use crate::dispatcher::ResponseEvent;
use crate::http::{BodyFraming, BodyPart, BodyReader, BufferedConnection};

/// How the response of an attempt ended.
pub(super) struct Relayed {
    /// How the attempt ended.
    pub result: AttemptResult,
    /// The connection is at the end of the response.
    pub at_message_end: bool,
}

/// The response can't be relayed further; the result of the relay says how the attempt has ended.
struct Stopped;

/// The response of one attempt on its way to the front.
pub(super) struct Relay<'a> {
    attempt: &'a mut Attempt,
    framing: BodyFraming,
    body: BodyReader,
    /// Cuts whole events out of the body.
    events: EventSplitter,
    /// Whole events from before the stream has begun.
    held: BytesMut,
    held_events: Vec<StreamEvent>,
    result: AttemptResult,
    /// The response is complete at its last chunk.
    complete: bool,
    last_event_at: Instant,
}

impl<'a> Relay<'a> {
    /// A response of which nothing has been read behind its head; `load_report` is the one in the head.
    pub fn new(attempt: &'a mut Attempt, framing: BodyFraming, load_report: Vec<f64>) -> Relay<'a> {
        let body = BodyReader::for_response(framing, attempt.context.limits.max_event_size);
        // A messages stream says itself that it is complete; the others are so at the last chunk.
        let complete = attempt.context.pool.dialect == Dialect::Chat;
        Relay {
            attempt,
            framing,
            body,
            events: EventSplitter::default(),
            held: BytesMut::new(),
            held_events: Vec::new(),
            result: AttemptResult { outcome: Outcome::ConnectionReset, cached_tokens: None, load_report },
            complete,
            last_event_at: Instant::now(),
        }
    }

    /// Relays the response until it ends or can't be relayed further.
    pub async fn run(mut self, wire: &mut BufferedConnection) -> Relayed {
        let at_message_end = self.relay(wire).await.is_ok();
        Relayed { result: self.result, at_message_end }
    }

    async fn relay(&mut self, wire: &mut BufferedConnection) -> Result<(), Stopped> {
        loop {
            match self.body.next_part(&mut wire.unread).map_err(|_| Stopped)? {
                Some(BodyPart::Data(data)) => {
                    let whole = self.events.push(&data);
                    if self.events.held_size() > self.attempt.context.limits.max_event_size {
                        return Err(Stopped);
                    }
                    if let Some(bytes) = whole {
                        self.relay_events(bytes).await?;
                    }
                }
                Some(BodyPart::End) => {
                    let rest = self.events.take_rest();
                    if !rest.is_empty() {
                        self.relay_events(rest).await?;
                    }
                    // An empty response is none.
                    if self.complete && self.attempt.streams && self.framing != BodyFraming::Undeclared {
                        self.result.outcome = Outcome::Completed;
                    }
                    return Ok(());
                }
                None => self.read_more(wire).await?,
            }
        }
    }

    /// Waits for more of the response. Once the stream has begun a silence is bounded here; before, the core keeps the time.
    async fn read_more(&self, wire: &mut BufferedConnection) -> Result<(), Stopped> {
        let more = match self.attempt.streams {
            true => {
                let silent_at = self.last_event_at + self.attempt.context.limits.stream_silence_timeout;
                tokio::time::timeout_at(silent_at.into(), wire.read_more()).await.map_err(|_| Stopped)?
            }
            false => wire.read_more().await,
        };
        match more {
            Ok(true) => Ok(()),
            _ => Err(Stopped),
        }
    }

    /// Relays whole events, or holds them until one of them begins the stream: a sign of life, or an event that no dialect
    /// names, does not.
    async fn relay_events(&mut self, mut bytes: Bytes) -> Result<(), Stopped> {
        let mut events = self.read_events(&bytes);
        self.complete |= events.contains(&StreamEvent::Complete);
        let failed = events.contains(&StreamEvent::Failed);
        if !self.attempt.streams {
            self.held.extend_from_slice(&bytes);
            self.held_events.append(&mut events);
            let begins = self.held_events.iter().any(StreamEvent::begins_answer);
            if !failed && !begins && self.held.len() <= self.attempt.context.limits.max_event_size {
                return Ok(());
            }
            (bytes, events) = (self.held.split().freeze(), std::mem::take(&mut self.held_events));
            self.begin_stream(failed)?;
        }
        if self.attempt.events.send(ResponseEvent::Data(bytes, events)).await.is_err() || failed {
            return Err(Stopped);
        }
        self.last_event_at = Instant::now();
        Ok(())
    }

    /// Binds the request to this attempt, unless it has failed, another attempt was first, or the client has left.
    fn begin_stream(&mut self, failed: bool) -> Result<(), Stopped> {
        let attempt = &mut *self.attempt;
        let (request, number) = (attempt.request, attempt.attempt);
        if failed || !attempt.dispatcher.with(|core, now| core.first_event(now, request, number)) {
            self.result.outcome = Outcome::ReplicaError;
            return Err(Stopped);
        }
        tracing::debug!(target: "node", request = request.0, attempt = number, "stream begun");
        attempt.streams = true;
        // No further attempt will need the upstream request: its part of the memory for bodies is free again.
        attempt.upstream = None;
        attempt.dispatcher.release_upstream_request(request);
        Ok(())
    }

    /// What events say; takes note of what concerns the attempt's end.
    fn read_events(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        let context = &self.attempt.context;
        let mut events = Vec::new();
        context.pool.dialect.read_events(bytes, self.attempt.text, &mut events);
        for event in &events {
            match event {
                StreamEvent::Usage { cached_tokens: Some(cached), .. } => {
                    self.result.cached_tokens = Some((*cached).min(u32::MAX.into()) as u32);
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
