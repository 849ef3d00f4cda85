//! The core owns the decision module, the open requests, their attempts and all timers. Its callers report what happened and
//! pass the current time; it returns [`Instruction`]s. It does no input or output and knows no HTTP. Only the core gives
//! final answers, so each request gets exactly one.

mod answer;
mod instruction;
mod request;
mod shutdown;
mod shutdown_admission;
mod state;
mod timers;

use std::collections::VecDeque;

pub use answer::{AnswerCause, FinalAnswer, RequestCounts, RequestSummary, COUNTED_OUTCOMES};
pub use instruction::Instruction;
pub use request::{AbortReason, AttemptResult, NewRequest};
use rustc_hash::FxHashMap;
use tallypin::api::*;
use tallypin::Balancer;

use crate::operator_override::{OverriddenEndpointList, ReplicaRestoration};
use request::OpenRequest;
use shutdown_admission::{Admission, ShutdownAdmission};
use timers::{TimerKind, Timers};

/// The core of one router.
pub struct Core {
    /// The decision module, whose actions the core carries out.
    balancer: Balancer,
    /// The request classes.
    classes: Vec<Class>,
    /// Maximum number of attempts per request.
    attempt_limit: usize,
    /// Time after a request's deadline in which the decision module may still answer, in nanoseconds.
    answer_slack: Nanos,
    requests: FxHashMap<RequestId, OpenRequest>,
    timers: Timers,
    last_id: u64,
    instructions: Vec<Instruction>,
    actions: Vec<Action>,
    /// The endpoint list with the operator overrides applied to it.
    endpoints: OverriddenEndpointList,
    /// Number of streams that began after more than half of the time to their deadline had passed.
    late_streams: u64,
    /// Events that the decision module has not handled yet.
    events: VecDeque<Event>,
    counts: RequestCounts,
    shutdown_admission: ShutdownAdmission,
}

impl Core {
    /// Creates a core from the settings of the decision module. A request that the decision module has not answered
    /// `answer_slack` nanoseconds after its deadline is failed by the core.
    ///
    /// # Errors
    /// Returns an error if the settings contradict each other.
    pub fn new(settings: Settings, seed: u64, answer_slack: Nanos) -> Result<Core, SettingsError> {
        let attempt_limit = settings.max_attempts as usize;
        Ok(Core {
            classes: settings.classes.clone(),
            balancer: Balancer::new(settings, seed)?,
            attempt_limit,
            answer_slack,
            requests: FxHashMap::default(),
            timers: Timers::default(),
            last_id: 0,
            instructions: Vec::new(),
            actions: Vec::new(),
            endpoints: OverriddenEndpointList::default(),
            late_streams: 0,
            events: VecDeque::new(),
            counts: RequestCounts::default(),
            shutdown_admission: ShutdownAdmission::default(),
        })
    }

    /// Returns the effect of repeating a request of a class. A class that the settings lack counts as not idempotent.
    fn effect_of(&self, class: ClassId) -> Effect {
        self.classes.get(class.0 as usize).map_or(Effect::NotIdempotent, |class| class.effect)
    }

    /// Returns the objective of a class for the time between two tokens, in nanoseconds; 0 if it has none.
    fn token_interval_objective(&self, class: ClassId) -> Nanos {
        self.classes.get(class.0 as usize).map_or(0, |class| class.token_interval_objective)
    }

    /// Accepts a request. It gets one final answer, unless its client disconnects first.
    pub fn accept(&mut self, now: Nanos, request: NewRequest) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let interval_objective = self.token_interval_objective(request.class);
        let Admission { time_left, complete_by } =
            self.shutdown_admission.admit(now, &request, interval_objective);
        let is_cut_off = time_left == 0 && request.time_left > 0;
        let request = NewRequest { time_left, ..request };
        let open = OpenRequest::new(now, time_left, complete_by, self.effect_of(request.class));
        self.timers.schedule(open.deadline.saturating_add(self.answer_slack), TimerKind::Deadline(id));
        if let Some(complete_by) = complete_by {
            self.timers.schedule(complete_by, TimerKind::Deadline(id));
        }
        self.requests.insert(id, open);
        self.counts.accepted += 1;
        self.counts.resumed += u64::from(request.resumes_stream);
        if is_cut_off {
            let rejection = FinalAnswer::Rejected { retry_after: 0, reason: RejectReason::NoCapacity };
            self.finish(now, id, rejection, AnswerCause::Shutdown);
            return id;
        }
        self.handle(now, Event::Request(request.into_request(id)));
        id
    }

    /// Returns whether an attempt may write its request to the replica now. If it may, the request counts as possibly run from
    /// this call on. It may not if the request is finished or must not be sent again.
    pub fn may_write(&mut self, now: Nanos, id: RequestId, attempt: u32) -> bool {
        let Some(open) = self.requests.get_mut(&id) else { return false };
        let may_write = open.may_write(now, attempt) && self.balancer.may_send_by_list(now);
        if let Some(attempt) = open.in_flight_mut(attempt).filter(|_| may_write) {
            attempt.written = true;
        }
        may_write
    }

    /// Reports the first event of an attempt. Returns true if this attempt's events go to the client, and false if they must be
    /// dropped because the request is already answered or streamed by another attempt.
    pub fn first_event(&mut self, now: Nanos, id: RequestId, attempt: u32) -> bool {
        let Some(open) = self.requests.get_mut(&id) else { return false };
        let Some(started_at) = open.in_flight(attempt).map(|a| a.started_at) else { return false };
        if open.answered || open.streaming_attempt.is_some() {
            return false;
        }
        open.streaming_attempt = Some(attempt);
        open.streaming_since = now;
        self.counts.streams_started += 1;
        let time_to_deadline = open.deadline.saturating_sub(open.accepted_at);
        self.late_streams += u64::from(now.saturating_sub(open.accepted_at) > time_to_deadline / 2);
        let elapsed = now.saturating_sub(started_at);
        self.handle(now, Event::FirstToken { request: id, attempt, elapsed });
        self.abort_attempts(now, id, Some(attempt), AbortReason::OtherAttemptStreams);
        self.process_events(now);
        true
    }

    /// Reports that an attempt ended. Ignored if the attempt already has an outcome.
    pub fn attempt_ended(&mut self, now: Nanos, id: RequestId, attempt: u32, result: AttemptResult) {
        let Some(open) = self.requests.get(&id) else { return };
        if open.in_flight(attempt).is_none() {
            return;
        }
        if open.streaming_attempt == Some(attempt) && !open.answered {
            let complete = result.outcome == Outcome::Completed;
            if let Some(tokens) = result.answer_tokens.filter(|_| complete) {
                let duration = now.saturating_sub(open.streaming_since);
                self.shutdown_admission.record_stream(tokens, duration);
            }
            let answer = if complete { FinalAnswer::Completed } else { FinalAnswer::Interrupted };
            self.finish(now, id, answer, AnswerCause::StreamEnded);
        }
        self.record_outcome(now, id, attempt, result);
        self.process_events(now);
    }

    /// Reports that the client disconnected. Its request gets no answer.
    pub fn client_disconnected(&mut self, now: Nanos, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id).filter(|o| !o.answered) else { return };
        open.answered = true;
        self.counts.client_disconnects += 1;
        self.handle(now, Event::ClientLeft(id));
        self.abort_attempts(now, id, None, AbortReason::ClientDisconnected);
        self.process_events(now);
    }

    /// Applies a full endpoint list or a change to it.
    pub fn endpoints_changed(&mut self, now: Nanos, kind: ListUpdate, entries: Vec<EndpointEntry>) {
        let entries = self.endpoints.apply_update(kind, entries);
        self.handle(now, Event::EndpointList { kind, entries });
    }

    /// Replaces the operator overrides of the endpoint list.
    pub fn override_replicas(&mut self, now: Nanos, drained: &[ReplicaId], restored: &[ReplicaRestoration]) {
        let entries = self.endpoints.set_overrides(drained, restored);
        if !entries.is_empty() {
            self.handle(now, Event::EndpointList { kind: ListUpdate::Override, entries });
        }
    }

    /// Handles a message of another router: a load report or a drain notice.
    pub fn peer_message_received(&mut self, now: Nanos, from: PeerId, bytes: Vec<u8>) {
        self.handle(now, Event::PeerMessage { from, bytes });
    }

    /// Reports the result of a replica's health check.
    pub fn probe_ended(&mut self, now: Nanos, replica: ReplicaId, result: AttemptResult) {
        self.handle(now, Event::ProbeEnded { replica, outcome: result.outcome, load: result.load_report });
    }

    /// Runs the timers that are due.
    pub fn run_timers(&mut self, now: Nanos) {
        while let Some((at, timer)) = self.timers.pop_due(now) {
            match timer {
                TimerKind::Decision(token) => self.handle(at.max(now), Event::Timer(token)),
                TimerKind::AttemptTimeout(id, attempt) => self.attempt_timed_out(now, id, attempt),
                TimerKind::Deadline(id) => self.deadline_passed(now, id),
            }
        }
    }

    fn attempt_timed_out(&mut self, now: Nanos, id: RequestId, attempt: u32) {
        let Some(open) = self.requests.get(&id) else { return };
        if open.streaming_attempt.is_some() || open.in_flight(attempt).is_none() {
            return;
        }
        self.abort(now, id, attempt, AbortReason::TimedOut, Outcome::TimedOut);
        self.process_events(now);
    }

    /// Fails a request that the decision module has not answered by its deadline, or whose answer is held back and not complete
    /// in time, so that it still gets a final answer.
    fn deadline_passed(&mut self, now: Nanos, id: RequestId) {
        let Some(open) = self.requests.get(&id) else { return };
        let is_late = match open.streaming_attempt {
            None => now >= open.deadline,
            Some(_) => open.complete_by.is_some_and(|complete_by| now >= complete_by),
        };
        if open.answered || !is_late {
            return;
        }
        self.finish(now, id, FinalAnswer::Failed { past_deadline: true }, AnswerCause::Deadline);
        self.handle(now, Event::ClientLeft(id));
        self.abort_attempts(now, id, None, AbortReason::Answered);
        self.process_events(now);
    }

    /// Time at which [`Core::run_timers`] has to be called next.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.next()
    }

    /// Returns the instructions issued since the last call.
    pub fn take_instructions(&mut self) -> Vec<Instruction> {
        std::mem::take(&mut self.instructions)
    }

    fn handle(&mut self, now: Nanos, event: Event) {
        self.events.push_back(event);
        self.process_events(now);
    }

    /// Passes queued events to the decision module and carries out its actions until no event is left. Actions may queue
    /// further events.
    fn process_events(&mut self, now: Nanos) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send { request, replica, timeout } => self.start_attempt(now, request, replica, timeout),
            Action::Reject { request, retry_after, reason } => {
                self.finish(
                    now,
                    request,
                    FinalAnswer::Rejected { retry_after, reason },
                    AnswerCause::Rejected(reason),
                );
                self.abort_attempts(now, request, None, AbortReason::Answered);
            }
            Action::Fail(request) => {
                let past_deadline = self.requests.get(&request).is_some_and(|o| now >= o.deadline);
                self.finish(now, request, FinalAnswer::Failed { past_deadline }, AnswerCause::NoAttemptLeft);
                self.abort_attempts(now, request, None, AbortReason::Answered);
            }
            Action::Cancel { request, attempt } => {
                let Some(open) = self.requests.get(&request) else { return };
                if open.streaming_attempt != Some(attempt) && open.in_flight(attempt).is_some() {
                    self.abort(now, request, attempt, AbortReason::Canceled, Outcome::Cancelled);
                }
            }
            Action::Probe(replica) => self.instructions.push(Instruction::Probe(replica)),
            Action::WatchEndpoints => self.instructions.push(Instruction::WatchEndpoints),
            Action::Gossip(bytes) => self.instructions.push(Instruction::SendReport(bytes)),
            Action::SendToPeer { peer, bytes } => {
                self.instructions.push(Instruction::SendToPeer { peer, bytes })
            }
            Action::WakeAt { at, token } => self.timers.schedule(at, TimerKind::Decision(token)),
        }
    }

    fn start_attempt(&mut self, now: Nanos, id: RequestId, replica: ReplicaId, timeout: Nanos) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let attempt = open.add_attempt(now);
        let decided = open.answered || open.streaming_attempt.is_some();
        if decided || now >= open.deadline || open.attempt_count() > self.attempt_limit {
            return self.record_outcome(now, id, attempt, Outcome::NotSent.into());
        }
        let timeout_at = match timeout {
            0 => open.deadline,
            _ => open.deadline.min(now.saturating_add(timeout)),
        };
        self.timers.schedule(timeout_at, TimerKind::AttemptTimeout(id, attempt));
        self.instructions.push(Instruction::StartAttempt {
            request: id,
            attempt,
            replica,
            deadline: open.deadline,
            holds_answer: open.complete_by.is_some(),
        });
    }

    /// Gives a request its final answer; no other function does. A rejection becomes a failure if the request may have run and
    /// a retry could do harm.
    fn finish(&mut self, now: Nanos, id: RequestId, requested: FinalAnswer, cause: AnswerCause) {
        let Some(open) = self.requests.get_mut(&id).filter(|o| !o.answered) else { return };
        let answer = open.allowed_answer(now, requested);
        open.answered = true;
        let summary = open.summary(now, cause, answer != requested);
        self.counts.count_answer(answer, &summary);
        self.instructions.push(Instruction::Finish { request: id, answer, summary });
        self.remove_if_finished(id);
    }

    /// Records an attempt's outcome and queues the event for the decision module; [`Core::process_events`] delivers it.
    fn record_outcome(&mut self, now: Nanos, id: RequestId, attempt: u32, result: AttemptResult) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(started_at) = open.record_outcome(attempt, result.outcome) else { return };
        self.counts.count_outcome(result.outcome);
        self.events.push_back(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            outcome: result.outcome,
            elapsed: now.saturating_sub(started_at),
            request_over: open.answered,
            cached_tokens: (result.outcome == Outcome::Completed).then(|| result.cached_tokens.unwrap_or(0)),
            load: result.load_report,
        }));
        self.remove_if_finished(id);
    }

    /// Issues the instruction to abort an attempt, and records its outcome.
    fn abort(&mut self, now: Nanos, id: RequestId, attempt: u32, reason: AbortReason, outcome: Outcome) {
        self.instructions.push(Instruction::AbortAttempt { request: id, attempt, reason });
        self.record_outcome(now, id, attempt, outcome.into());
    }

    /// Aborts the in-flight attempts of a request, except the attempt `except`.
    fn abort_attempts(&mut self, now: Nanos, id: RequestId, except: Option<u32>, reason: AbortReason) {
        let Some(open) = self.requests.get(&id) else { return };
        let in_flight: Vec<u32> = open.all_in_flight().filter(|&n| Some(n) != except).collect();
        for attempt in in_flight {
            self.abort(now, id, attempt, reason, Outcome::Cancelled);
        }
    }

    /// Removes a request that has its final answer and no attempt in flight.
    fn remove_if_finished(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(OpenRequest::is_finished) {
            return;
        }
        let timers = self.requests.remove(&id).map_or(0, |finished| finished.timer_count());
        let requests = &self.requests;
        self.timers.mark_obsolete(timers, |timer| match timer {
            TimerKind::Decision(_) => true,
            TimerKind::AttemptTimeout(id, attempt) => {
                requests.get(id).is_some_and(|open| open.in_flight(*attempt).is_some())
            }
            TimerKind::Deadline(id) => requests.contains_key(id),
        });
    }
}
