//! Admission of requests while the router shuts down: a request whose answer the end of the process could cut off is not
//! forwarded.
//!
//! The length of an answer is not known in advance; only the client's token limit bounds it. The time for that many tokens
//! is estimated from the slowest pace of recent streams, or from the class's objective if that is slower.

use std::collections::VecDeque;

use tallypin::api::Nanos;

use super::request::NewRequest;

/// Number of recent streams whose pace is considered.
const CONSIDERED_STREAMS: usize = 32;
/// Minimum number of tokens of a stream whose pace is considered. The first event may carry several tokens, so a shorter
/// stream looks faster than it is.
const MIN_TOKENS: u32 = 16;

/// Decides how long a request may wait for its first token if its answer has to end before the process does.
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

    /// Time that a request accepted at `now` may wait for its first token, in nanoseconds: until the client's deadline, and no
    /// longer than leaves time for the answer. 0 if the answer might not end in time. `interval_objective` is the class's
    /// objective for the time between two tokens, 0 if it has none.
    pub(super) fn time_left(&self, now: Nanos, request: &NewRequest, interval_objective: Nanos) -> Nanos {
        let Some(end) = self.answers_end_by.filter(|_| !request.is_resumable) else {
            return request.time_left;
        };
        let stream_duration = self.max_stream_duration(request.max_answer_tokens, interval_objective);
        let latest_first_token = end.saturating_sub(stream_duration.unwrap_or(Nanos::MAX));
        request.time_left.min(latest_first_token.saturating_sub(now))
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
