//! Relays the events of a response to the front, once an event has begun the answer.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tallypin::api::Outcome;

use super::attempt::Attempt;
use crate::core::AttemptResult;
use crate::dialect::{self, Dialect, EventSplitter, StreamEvent};
use crate::dispatcher::{QueuedEvent, ResponseEvent};
use crate::http::{BodyFraming, BodyPart, BodyReader, BufferedConnection};
use crate::memory_budget::MemoryReservation;

/// Size up to which the memory of an event is not reserved, bytes. Most events are smaller.
const UNRESERVED_EVENT_SIZE: usize = 2 << 10;
/// Memory for a chunk that is being received, as a multiple of its size: the read buffer doubles as it grows, and the events
/// are copied from it.
const CHUNK_MEMORY_FACTOR: usize = 3;

/// Time for which the events of an incomplete chunk are held back. Most chunks are complete with the read that begins them; the
/// events of one that a replica writes slowly must not wait for its end.
const MAX_CHUNK_HOLD: Duration = Duration::from_millis(200);

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
    /// Bytes of complete events that are not passed on yet: the stream has not begun, or the answer is held back.
    buffered: BytesMut,
    /// The parsed form of the events in `buffered`.
    buffered_events: Vec<StreamEvent>,
    /// Since when events of the chunk that is being received are held back; `None` if no chunk is incomplete.
    chunk_held_since: Option<Instant>,
    /// The memory of a large event that is being received.
    memory: MemoryReservation,
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
        let memory = attempt.context.answer_budget.empty_reservation();
        Relay {
            attempt,
            framing,
            body,
            events: EventSplitter::default(),
            buffered: BytesMut::new(),
            buffered_events: Vec::new(),
            chunk_held_since: None,
            memory,
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
                    self.chunk_held_since = None;
                    self.relay_data(data, wire).await?;
                }
                Some(BodyPart::End) => {
                    let remainder = self.events.take_incomplete();
                    if !remainder.is_empty() {
                        self.relay_events(remainder).await?;
                    }
                    // A response without any event does not count as completed.
                    if self.complete && self.attempt.streams && self.framing != BodyFraming::Undeclared {
                        if self.attempt.holds_answer {
                            self.send_buffered_events().await?;
                        }
                        self.result.outcome = Outcome::Completed;
                    }
                    return Ok(());
                }
                None => {
                    if let Some(data) = self.take_held_events(wire) {
                        self.relay_data(data, wire).await?;
                        continue;
                    }
                    let chunk_size = self.body.incomplete_chunk_size().unwrap_or(0);
                    let buffered = self.events.incomplete_size() + self.buffered.len();
                    self.reserve_memory(buffered + chunk_size * CHUNK_MEMORY_FACTOR).await?;
                    self.read_more(wire).await?;
                }
            }
        }
    }

    /// Relays the complete events in `data`, which was taken from the buffer of `wire`.
    async fn relay_data(&mut self, data: Bytes, wire: &mut BufferedConnection) -> Result<(), RelayStopped> {
        let complete_events = self.events.push(&data);
        if data.len() > UNRESERVED_EVENT_SIZE {
            drop(data);
            wire.shrink_buffer();
        }
        if self.events.incomplete_size() > self.attempt.context.limits.max_event_size {
            return Err(RelayStopped);
        }
        match complete_events {
            Some(bytes) => self.relay_events(bytes).await,
            None => Ok(()),
        }
    }

    /// Takes the complete events of an incomplete chunk once they have been held back for long enough.
    fn take_held_events(&mut self, wire: &mut BufferedConnection) -> Option<Bytes> {
        self.body.incomplete_chunk_size()?;
        let held_since = *self.chunk_held_since.get_or_insert_with(Instant::now);
        if held_since.elapsed() < MAX_CHUNK_HOLD {
            return None;
        }
        let size = self.size_of_held_events(wire);
        if size == 0 {
            return None;
        }
        self.chunk_held_since = Some(Instant::now());
        Some(self.body.take_part_of_chunk(size, &mut wire.read_buffer))
    }

    /// Size of the complete events of an incomplete chunk in the buffer of `wire`, bytes.
    fn size_of_held_events(&self, wire: &BufferedConnection) -> usize {
        match (self.body.incomplete_chunk_size(), self.events.incomplete_size()) {
            (Some(chunk_size), 0) => {
                let received = &wire.read_buffer[..wire.read_buffer.len().min(chunk_size)];
                dialect::size_of_well_formed_events(received).min(chunk_size.saturating_sub(1))
            }
            _ => 0,
        }
    }

    /// Reserves memory for an event of `size` bytes, unless it is small. Waits while slow clients hold the memory; the response
    /// stays unread meanwhile.
    async fn reserve_memory(&mut self, size: usize) -> Result<(), RelayStopped> {
        if size <= UNRESERVED_EVENT_SIZE || self.memory.grow(size) {
            return Ok(());
        }
        let limit = self.attempt.context.limits.stream_silence_timeout;
        tokio::time::timeout(limit, self.memory.grow_when_available(size)).await.map_err(|_| {
            tracing::warn!(target: "node", request = self.attempt.request.0, size,
                "response abandoned: memory for answers is short");
            RelayStopped
        })?;
        // The replica was not silent: its response was not read.
        self.last_event_at = Instant::now();
        Ok(())
    }

    /// Takes the memory of an event of `size` bytes that goes to the front.
    async fn take_memory(&mut self, size: usize) -> Result<Option<MemoryReservation>, RelayStopped> {
        self.reserve_memory(size).await?;
        self.memory.shrink(size);
        if size <= UNRESERVED_EVENT_SIZE {
            self.memory.shrink(0);
            return Ok(None);
        }
        let empty = self.attempt.context.answer_budget.empty_reservation();
        Ok(Some(std::mem::replace(&mut self.memory, empty)))
    }

    /// Reads more of the response, or waits until events of an incomplete chunk have been held back for long enough. Once the
    /// stream has begun, the silence timeout applies; before that, the core's first-token timeout does.
    async fn read_more(&self, wire: &mut BufferedConnection) -> Result<(), RelayStopped> {
        let silence_timeout = self.attempt.context.limits.stream_silence_timeout;
        let silent_at = self.attempt.streams.then(|| self.last_event_at + silence_timeout);
        let held_until = match self.size_of_held_events(wire) {
            0 => None,
            _ => self.chunk_held_since.map(|since| since + MAX_CHUNK_HOLD),
        };
        let more = match silent_at.into_iter().chain(held_until).min() {
            Some(wake_at) => tokio::time::timeout_at(wake_at.into(), wire.read_more()).await,
            None => Ok(wire.read_more().await),
        };
        match more {
            Ok(Ok(true)) => Ok(()),
            Err(_) if held_until.is_some_and(|until| silent_at.is_none_or(|silent_at| until < silent_at)) => {
                Ok(())
            }
            _ => Err(RelayStopped),
        }
    }

    /// Relays complete events. Buffers them until one of them begins the stream; keep-alive events and events unknown to the
    /// dialect do not begin it. An answer that is held back stays buffered until it is complete.
    async fn relay_events(&mut self, bytes: Bytes) -> Result<(), RelayStopped> {
        let mut events = self.read_events(&bytes);
        self.complete |= events.contains(&StreamEvent::Complete);
        let failed = events.contains(&StreamEvent::Failed);
        let is_buffered = !self.attempt.streams || self.attempt.holds_answer;
        if !is_buffered {
            return self.send_events(bytes, events, failed).await;
        }
        self.buffered.extend_from_slice(&bytes);
        self.buffered_events.append(&mut events);
        self.last_event_at = Instant::now();
        let is_too_large = self.buffered.len() > self.attempt.context.limits.max_event_size;
        if !self.attempt.streams {
            let begins = self.buffered_events.iter().any(StreamEvent::begins_answer);
            if !failed && !begins && !is_too_large {
                return Ok(());
            }
            self.begin_stream(failed)?;
        }
        match self.attempt.holds_answer {
            true if failed || is_too_large => Err(RelayStopped),
            true => Ok(()),
            false => self.send_buffered_events().await,
        }
    }

    /// Sends the buffered events to the front.
    async fn send_buffered_events(&mut self) -> Result<(), RelayStopped> {
        let events = std::mem::take(&mut self.buffered_events);
        let bytes = std::mem::take(&mut self.buffered).freeze();
        self.send_events(bytes, events, false).await
    }

    /// Sends complete events to the front. Stops if they report a failure.
    async fn send_events(
        &mut self,
        bytes: Bytes,
        events: Vec<StreamEvent>,
        failed: bool,
    ) -> Result<(), RelayStopped> {
        let memory = self.take_memory(bytes.len()).await?;
        let event = QueuedEvent { event: ResponseEvent::Data(bytes, events), memory };
        if self.attempt.events.send(event).await.is_err() || failed {
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
