//! Takes a request from its arrival to the end of its last attempt: calls the deciding modules in turn and
//! records what the attempts show about replicas.

use super::candidate::Selection;
use super::Balancer;
use crate::api::{Action, AttemptEnded, Nanos, Outcome, Request, RequestId, SECOND};
use crate::state::request::{Attempt, RequestState};

/// An attempt that has ended, with the data of its request.
struct EndedAttempt<'a> {
    report: &'a AttemptEnded,
    slot: usize,
    kind: u32,
    sent_at: Nanos,
    /// Time from the send to the first token, ns; 0 without a first token.
    time_to_first_token: Nanos,
    /// Prompt tokens that the replica was expected to prefill.
    expected_prefill_tokens: f64,
    /// Whether any attempt of the request had a first token.
    stream_started: bool,
    prompt_tokens: u32,
    prefix_tokens: u32,
    /// Whether the replica has not restarted since the send. Failures of an earlier incarnation must not
    /// count against the current one.
    same_incarnation: bool,
}

impl Balancer {
    /// Handles a new request: sends an attempt or rejects the request.
    pub(super) fn handle_request(&mut self, now: Nanos, mut request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        request.class.0 = request.class.0.min(self.settings.classes.len() as u32 - 1);
        request.tenant.0 = request.tenant.0.min(self.buckets.len() as u32 - 1);
        request.prefix_tokens = request.prefix_tokens.min(request.prompt_tokens);
        let (tenant, resumes_stream) = (request.tenant.0 as usize, request.resumes_stream);
        self.affinity.prefix_traffic.record(now, request.prefix);
        self.statistics.record_arrival();
        let admitted = self.admit(now, &request);
        let mut state = RequestState::new(now, now.saturating_add(request.time_left), request);
        state.quota_charged = admitted && !resumes_stream;
        let selection = if admitted { self.select_replica(now, &state) } else { None };
        let selection = selection.filter(|selection| self.first_token_likely_in_time(now, &state, selection));
        self.requests.insert(id, state);
        self.retry_budget.earn();
        match selection {
            Some(selection) => self.send_attempt(now, id, selection, out),
            None if admitted => self.reject_no_capacity(id, out),
            None => self.reject_quota_exceeded(id, tenant, out),
        }
    }

    /// Sends the next attempt of a request.
    pub(super) fn send_attempt(
        &mut self,
        now: Nanos,
        id: RequestId,
        selection: Selection,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get(&id) else { return };
        let timeouts = self.timeouts(now, state, &selection);
        self.schedule_checks(id, state.attempts.len() as u32, &timeouts, out);
        let slot = selection.slot;
        self.spend_slow_start_credit(now, slot);
        let replica = &mut self.replicas[slot];
        replica.in_flight += 1;
        replica.awaiting_first_token.push(now);
        if replica.unanswered_since == 0 {
            replica.unanswered_since = now;
        }
        if replica.consecutive_failures > 0 && replica.ejected_until > 0 {
            replica.half_open_check = true;
        }
        let attempt = Attempt {
            slot,
            entry: replica.entry.clone(),
            sent_at: now,
            prefill_tokens: selection.prefill_tokens,
            concurrency: f64::from(replica.in_flight),
            time_to_first_token: 0,
            first_token_timeout_at: timeouts.first_token_timeout_at,
            outcome: None,
        };
        out.push(Action::Send { request: id, replica: attempt.entry.replica, timeout: timeouts.attempt });
        if let Some(state) = self.requests.get_mut(&id) {
            state.attempts.push(attempt);
        }
    }

    /// Handles the first token of an attempt, `elapsed` ns after its send.
    pub(super) fn handle_first_token(&mut self, now: Nanos, id: RequestId, index: u32, elapsed: Nanos) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        let (request_elapsed, class) = (state.elapsed(now), state.request.class.0 as usize);
        let Some(attempt) = state.attempt_in_flight(index) else { return };
        attempt.time_to_first_token = elapsed;
        let (slot, sent_at, started_at) = (attempt.slot, attempt.sent_at, attempt.entry.started_at);
        let (prefill_tokens, concurrency) = (attempt.prefill_tokens, attempt.concurrency);
        if let Some(session) = state.request.session {
            let entry = &state.attempts[index as usize].entry;
            self.affinity.sessions.record(now, session.0, entry, state.request.prompt_tokens);
        }
        state.stream_started = true;
        if state.quota_charged && !state.counted_as_served {
            state.counted_as_served = true;
            self.buckets[state.request.tenant.0 as usize].record_served();
        }
        let objective = self.settings.classes[class].latency_objective_for(state.request.prompt_tokens);
        self.replicas[slot].stop_awaiting_first_token(sent_at);
        // Rates count first tokens, not sends: under overload more is sent than replicas can handle.
        self.statistics.record_first_token(now);
        self.statistics.record_load_level(now, request_elapsed / objective);
        if started_at != self.replicas[slot].entry.started_at {
            return; // The answer of an earlier incarnation says nothing about the current one.
        }
        self.replicas[slot].decode_rate.stream_began(now);
        let wait = (elapsed as f64 - prefill_tokens * self.statistics.prefill_ns_per_token()).max(0.0);
        self.statistics.record_wait_sample(now, &mut self.replicas[slot], wait, concurrency);
        self.record_success(now, slot);
    }

    /// Handles the end of an attempt: records its result, then closes the request, leaves it to its other
    /// attempts, or retries it.
    pub(super) fn handle_attempt_ended(&mut self, now: Nanos, report: &AttemptEnded, out: &mut Vec<Action>) {
        let id = report.request;
        let Some(ended) = self.end_attempt(report) else { return };
        let replica = &mut self.replicas[ended.slot];
        replica.in_flight = replica.in_flight.saturating_sub(1);
        replica.stop_awaiting_first_token(ended.sent_at);
        if ended.same_incarnation {
            if ended.time_to_first_token > 0 {
                replica.decode_rate.stream_ended(now, report.outcome == Outcome::Completed);
            }
            self.record_load_report(now, ended.slot, &report.load);
        }
        if report.outcome == Outcome::Completed {
            self.record_completion(now, &ended);
        } else if ended.same_incarnation {
            self.record_incomplete_attempt(now, &ended);
        }
        self.replicas[ended.slot].half_open_check &= !ended.same_incarnation;
        let state = self.requests.get(&id).filter(|state| !report.request_over && !state.answered);
        let Some(state) = state else {
            if report.outcome != Outcome::Completed {
                self.refund_quota(id);
            }
            return self.close_request(id);
        };
        // If another attempt is in flight, it answers the request.
        if state.attempts_in_flight() == 0 {
            self.retry_or_answer(now, id, out);
        }
    }

    /// Sets the outcome of an attempt. Returns `None` if the attempt is not in flight.
    fn end_attempt<'a>(&mut self, report: &'a AttemptEnded) -> Option<EndedAttempt<'a>> {
        let state = self.requests.get_mut(&report.request)?;
        let (stream_started, prompt_tokens) = (state.stream_started, state.request.prompt_tokens);
        let prefix_tokens = state.request.prefix_tokens;
        let attempt = state.attempt_in_flight(report.attempt)?;
        attempt.outcome = Some(report.outcome);
        let current = &self.replicas[attempt.slot].entry;
        Some(EndedAttempt {
            report,
            slot: attempt.slot,
            kind: attempt.entry.kind,
            sent_at: attempt.sent_at,
            time_to_first_token: attempt.time_to_first_token,
            expected_prefill_tokens: attempt.prefill_tokens,
            stream_started,
            prompt_tokens,
            prefix_tokens,
            same_incarnation: attempt.entry.started_at == current.started_at,
        })
    }

    /// Records a completed attempt.
    fn record_completion(&mut self, now: Nanos, ended: &EndedAttempt) {
        if ended.same_incarnation {
            let replica = &mut self.replicas[ended.slot];
            (replica.last_response_at, replica.unanswered_since) = (now, 0);
            replica.last_completed_at = now;
        }
        let Some(cached_tokens) = ended.report.cached_tokens else { return };
        let prefix_tokens = f64::from(ended.prefix_tokens);
        // The expected prefill shows that the replica was not one of the prefix's preferred ones.
        if ended.expected_prefill_tokens > 0.5 * prefix_tokens && ended.prefix_tokens > 0 {
            let share = f64::from(cached_tokens.min(ended.prefix_tokens)) / prefix_tokens;
            self.statistics.record_cached_elsewhere(share);
        }
        let stream = ended.report.elapsed.saturating_sub(ended.time_to_first_token);
        self.statistics.record_stream(ended.kind, stream as f64 / SECOND as f64);
        if ended.time_to_first_token > 0 {
            let prefill_tokens = f64::from(ended.prompt_tokens.saturating_sub(cached_tokens));
            self.statistics.prefill_fit.add(prefill_tokens, ended.time_to_first_token as f64);
        }
    }

    /// Records an attempt that ended without completing, in the replica's current incarnation.
    fn record_incomplete_attempt(&mut self, now: Nanos, ended: &EndedAttempt) {
        let (slot, elapsed) = (ended.slot, ended.report.elapsed);
        let request_over = ended.report.request_over;
        match ended.report.outcome {
            // Cancelled by a check: counts as timed out.
            Outcome::Cancelled if !request_over && !ended.stream_started => {
                self.record_failure(now, slot, Outcome::TimedOut, ended.stream_started, elapsed);
            }
            // Another attempt was faster: the elapsed time is a lower bound for the wait of this one.
            Outcome::Cancelled
                if !request_over
                    && ended.time_to_first_token == 0
                    && self.replicas[slot].is_silent_since(ended.sent_at) =>
            {
                self.statistics.record_wait_sample(now, &mut self.replicas[slot], elapsed as f64, 1.0);
            }
            Outcome::TimedOut
            | Outcome::ConnectionReset
            | Outcome::ConnectionRefused
            | Outcome::ReplicaError => {
                self.record_failure(now, slot, ended.report.outcome, ended.stream_started, elapsed);
            }
            Outcome::Rejected => {
                let wait = self.statistics.highest_wait.max(elapsed as f64);
                self.statistics.record_wait_sample(now, &mut self.replicas[slot], wait, 1.0);
            }
            Outcome::Completed | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Marks a request as answered, and removes it once its last attempt has ended.
    pub(super) fn close_request(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.answered = true;
            if state.attempts_in_flight() == 0 {
                self.requests.remove(&id);
            }
        }
    }
}
