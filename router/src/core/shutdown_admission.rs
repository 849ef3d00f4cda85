//! Admission of requests while the router shuts down: a request whose answer the end of the process could cut off is not
//! forwarded.
//!
//! The length of an answer is not known in advance; only the client's token limit bounds it. The time for that many tokens
//! is estimated from the slowest pace of recent streams, or from the class's objective if that is slower. A replica may become
//! slower than the estimate, so an answer that is forwarded all the same is held back until it is complete: a stream that has
//! begun at the client could not be taken back.

use std::collections::VecDeque;

use tallypin::api::Nanos;

use super::request::NewRequest;

/// Number of recent streams whose pace is considered.
const CONSIDERED_STREAMS: usize = 32;
/// Minimum number of tokens of a stream whose pace is considered. The first event may carry several tokens, so a shorter
/// stream looks faster than it is.
const MIN_TOKENS: u32 = 16;

/// How long a request may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Admission {
    /// Time that the request may wait for its first token, in nanoseconds: until the client's deadline, and no longer than
    /// leaves time for an answer that has to end. 0 if the answer might not end in time.
    pub(super) time_left: Nanos,
    /// Time by which the answer must be complete. It is held back until then. `None` if it is streamed and may take any time.
    pub(super) complete_by: Option<Nanos>,
}

/// Decides how long a request may take if its answer has to end before the process does.
#[derive(Debug, Default)]
pub(super) struct ShutdownAdmission {
    /// Time by which answers must have ended; `None` unless the router shuts down.
    answers_end_by: Option<Nanos>,
    /// Time per token of the recent streams, in nanoseconds.
    token_intervals: VecDeque<Nanos>,
}

impl ShutdownAdmission {
    /// Sets the time by which the answers to all further requests must have ended.
    pub(super) fn require_end_by(&mut self, time: Nanos) {
        self.answers_end_by = Some(time);
    }

    /// Records a complete stream of `tokens` tokens that took `duration` nanoseconds after its first event.
    pub(super) fn record_stream(&mut self, tokens: u32, duration: Nanos) {
        if tokens < MIN_TOKENS {
            return;
        }
        if self.token_intervals.len() == CONSIDERED_STREAMS {
            self.token_intervals.pop_front();
        }
        self.token_intervals.push_back(duration / Nanos::from(tokens));
    }

    /// Decides on a request accepted at `now`. `interval_objective` is the class's objective for the time between two tokens, 0
    /// if it has none.
    pub(super) fn admit(&self, now: Nanos, request: &NewRequest, interval_objective: Nanos) -> Admission {
        let Some(end) = self.answers_end_by.filter(|_| !request.is_resumable) else {
            return Admission { time_left: request.time_left, complete_by: None };
        };
        // Nothing is sent to the client before its answer is complete, so the answer has to be by the client's deadline.
        let complete_by = end.min(now.saturating_add(request.time_left));
        let stream_duration = self.max_stream_duration(request.max_answer_tokens, interval_objective);
        let latest_first_token = complete_by.saturating_sub(stream_duration.unwrap_or(Nanos::MAX));
        Admission { time_left: latest_first_token.saturating_sub(now), complete_by: Some(complete_by) }
    }

    /// Upper estimate of the duration of a stream; `None` if its length or the pace is unknown.
    fn max_stream_duration(&self, max_tokens: Option<u32>, interval_objective: Nanos) -> Option<Nanos> {
        let objective = (interval_objective > 0).then_some(interval_objective);
        let interval = self.token_intervals.iter().copied().chain(objective).max()?;
        Some(interval.saturating_mul(Nanos::from(max_tokens?)))
    }
}

#[cfg(test)]
mod tests;
