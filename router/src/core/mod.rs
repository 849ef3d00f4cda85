//! The core: it owns the decision module, the open requests, their attempts and all timers, and turns what has happened into
//! what is to be done ([`Instruction`]). It knows no HTTP, no socket and no names of events, and the time is handed in. It is
//! the one place that gives final answers, so each request gets exactly one.

mod answer;
mod instruction;
mod request;
mod timers;

use std::collections::VecDeque;

pub use answer::{AnswerCause, FinalAnswer, RequestCounts, RequestSummary, COUNTED_OUTCOMES};
pub use instruction::Instruction;
pub use request::{AbortReason, AttemptResult, NewRequest};
use rustc_hash::FxHashMap;
use tallypin::api::*;
use tallypin::replica_snapshot::ReplicaSnapshot;
use tallypin::Balancer;

use crate::operator_override::{OverriddenList, Restoration};
use request::OpenRequest;
use timers::{TimerKind, Timers};

/// The core of one router.
pub struct Core {
    /// Decides; the core does what it says.
    balancer: Balancer,
    /// What repeating a request of each class does.
    effects: Vec<Effect>,
    /// The most attempts of a request.
    attempt_limit: usize,
    /// How long after a deadline the decision module may still answer.
    answer_slack: Nanos,
    requests: FxHashMap<RequestId, OpenRequest>,
    timers: Timers,
    last_id: u64,
    instructions: Vec<Instruction>,
    actions: Vec<Action>,
    /// The endpoint list, and what operators have laid over it.
    endpoints: OverriddenList,
    /// Streams that began after more than half of the time to their deadline.
    late_streams: u64,
    /// What the decision module has not been told yet.
    events: VecDeque<Event>,
    counts: RequestCounts,
}

impl Core {
    /// A core by the settings of the decision module. It answers `answer_slack` nanoseconds after a deadline if the module has
    /// not.
    ///
    /// # Errors
    /// If the settings contradict themselves.
    pub fn new(settings: Settings, seed: u64, answer_slack: Nanos) -> Result<Core, SettingsError> {
        let attempt_limit = settings.max_attempts as usize;
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        Ok(Core {
            effects,
            balancer: Balancer::new(settings, seed)?,
            attempt_limit,
            answer_slack,
            requests: FxHashMap::default(),
            timers: Timers::default(),
            last_id: 0,
            instructions: Vec::new(),
            actions: Vec::new(),
            endpoints: OverriddenList::default(),
            late_streams: 0,
            events: VecDeque::new(),
            counts: RequestCounts::default(),
        })
    }

    /// What repeating a request of a class does; of one that the settings lack, the worst.
    fn effect_of(&self, class: ClassId) -> Effect {
        self.effects.get(class.0 as usize).copied().unwrap_or(Effect::NotIdempotent)
    }

    /// Accepts a request; it gets one final answer, unless its client leaves first.
    pub fn accept(&mut self, now: Nanos, request: NewRequest) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let open = OpenRequest::new(now, request.time_left, self.effect_of(request.class));
        self.timers.schedule(open.deadline.saturating_add(self.answer_slack), TimerKind::Deadline(id));
        self.requests.insert(id, open);
        self.counts.accepted += 1;
        self.counts.resumed += u64::from(request.resumes_stream);
        self.notify(now, Event::Request(request.into_request(id)));
        id
    }

    /// An attempt is about to write its request. True: it may, and from here on a replica may run it. False: the request is
    /// over, or it is too late to send it once more.
    pub fn may_write(&mut self, now: Nanos, id: RequestId, attempt: u32) -> bool {
        let Some(open) = self.requests.get_mut(&id) else { return false };
        let may = open.may_write(now, attempt);
        if let Some(attempt) = open.in_flight_mut(attempt).filter(|_| may) {
            attempt.written = true;
        }
        may
    }

    /// The first event of an attempt has come. True: this attempt streams, and its events go to the client. False: it came too
    /// late, and its events are to be dropped.
    pub fn first_event(&mut self, now: Nanos, id: RequestId, attempt: u32) -> bool {
        let Some(open) = self.requests.get_mut(&id) else { return false };
        let Some(begun) = open.in_flight(attempt).map(|a| a.started_at) else { return false };
        if open.answered || open.streaming_attempt.is_some() {
            return false;
        }
        open.streaming_attempt = Some(attempt);
        self.counts.streams_started += 1;
        let waits = open.deadline.saturating_sub(open.accepted_at);
        self.late_streams += u64::from(now.saturating_sub(open.accepted_at) > waits / 2);
        let after = now.saturating_sub(begun);
        self.notify(now, Event::FirstToken { request: id, attempt, elapsed: after });
        self.abort_attempts(now, id, Some(attempt), AbortReason::OtherAttemptStreams);
        self.process_events(now);
        true
    }

    /// An attempt has ended; nothing happens if it was settled before.
    pub fn attempt_ended(&mut self, now: Nanos, id: RequestId, attempt: u32, end: AttemptResult) {
        let Some(open) = self.requests.get(&id) else { return };
        if open.in_flight(attempt).is_none() {
            return;
        }
        if open.streaming_attempt == Some(attempt) && !open.answered {
            let whole = end.outcome == Outcome::Completed;
            let answer = if whole { FinalAnswer::Completed } else { FinalAnswer::Interrupted };
            self.finish(now, id, answer, AnswerCause::StreamEnded);
        }
        self.settle(now, id, attempt, end);
        self.process_events(now);
    }

    /// The client has left; nothing more is owed.
    pub fn client_disconnected(&mut self, now: Nanos, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id).filter(|o| !o.answered) else { return };
        open.answered = true;
        self.counts.client_disconnects += 1;
        self.notify(now, Event::ClientLeft(id));
        self.abort_attempts(now, id, None, AbortReason::ClientDisconnected);
        self.process_events(now);
    }

    /// The router is about to be killed. Requests without a stream are answered: rejected where that does no harm, else failed.
    /// Streams of requests accepted after `interrupt_after` are interrupted, so that their clients ask another router for
    /// the rest; `None`: clients do not ask for the rest, and all streams go on.
    pub fn answer_for_shutdown(&mut self, now: Nanos, interrupt_after: Option<Nanos>) {
        let ends = |open: &OpenRequest| match open.streaming_attempt {
            None => true,
            Some(_) => interrupt_after.is_some_and(|after| open.accepted_at > after),
        };
        let ending = self.requests.iter().filter(|(_, open)| !open.answered && ends(open));
        let mut ending: Vec<RequestId> = ending.map(|(id, _)| *id).collect();
        // In the order in which they came: the table has none.
        ending.sort_unstable();
        for id in ending {
            let streams = self.requests.get(&id).is_some_and(|open| open.streaming_attempt.is_some());
            let answer = match streams {
                true => FinalAnswer::Interrupted,
                false => FinalAnswer::Rejected { retry_after: 0, reason: RejectReason::NoCapacity },
            };
            self.finish(now, id, answer, AnswerCause::Shutdown);
            self.notify(now, Event::ClientLeft(id));
            self.abort_attempts(now, id, None, AbortReason::Shutdown);
            self.process_events(now);
        }
    }

    /// The endpoint list, or what has changed of it.
    pub fn endpoints_changed(&mut self, now: Nanos, kind: ListUpdate, rows: Vec<EndpointEntry>) {
        let rows = self.endpoints.apply_update(kind, rows);
        self.notify(now, Event::EndpointList { kind, rows });
    }

    /// Replaces the operator overrides of the endpoint list.
    pub fn override_replicas(&mut self, now: Nanos, drained: &[ReplicaId], restored: &[Restoration]) {
        let rows = self.endpoints.set_overrides(drained, restored);
        if !rows.is_empty() {
            self.notify(now, Event::EndpointList { kind: ListUpdate::Override, rows });
        }
    }

    /// Streams that began after more than half of the time to their deadline.
    pub fn late_streams(&self) -> u64 {
        self.late_streams
    }

    /// The entries of the endpoint list as they came, whatever operators have laid over it.
    pub fn listed_replicas(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.endpoints.entries()
    }

    /// A message of another router has come: a load report, or one about drains.
    pub fn peer_message_received(&mut self, now: Nanos, from: PeerId, bytes: Vec<u8>) {
        self.notify(now, Event::PeerMessage { from, bytes });
    }

    /// A health check of a replica has ended.
    pub fn probe_ended(&mut self, now: Nanos, node: ReplicaId, end: AttemptResult) {
        self.notify(now, Event::ProbeEnded { replica: node, outcome: end.outcome, load: end.load_report });
    }

    /// Runs the timers that are due.
    pub fn run_timers(&mut self, now: Nanos) {
        while let Some((at, timer)) = self.timers.pop_due(now) {
            match timer {
                TimerKind::Decision(token) => self.notify(at.max(now), Event::Timer(token)),
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

    /// Guards the promise of one final answer against a decision module that holds a request too long.
    fn deadline_passed(&mut self, now: Nanos, id: RequestId) {
        let Some(open) = self.requests.get(&id) else { return };
        if open.answered || open.streaming_attempt.is_some() {
            return;
        }
        self.finish(now, id, FinalAnswer::Failed { past_deadline: true }, AnswerCause::Deadline);
        self.notify(now, Event::ClientLeft(id));
        self.abort_attempts(now, id, None, AbortReason::Answered);
        self.process_events(now);
    }

    /// When [`Core::run_timers`] is wanted next.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.next()
    }

    /// What has to be done since the last call.
    pub fn take_instructions(&mut self) -> Vec<Instruction> {
        std::mem::take(&mut self.instructions)
    }

    /// The counts since the start.
    pub fn counts(&self) -> &RequestCounts {
        &self.counts
    }

    /// How many requests have no final answer, or attempts in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn notify(&mut self, now: Nanos, event: Event) {
        self.events.push_back(event);
        self.process_events(now);
    }

    /// Hands the decision module all events, and those that its actions lead to, until none is left.
    fn process_events(&mut self, now: Nanos) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply(now, action);
            }
            self.actions = actions;
        }
    }

    fn apply(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send { request, replica, timeout: limit } => {
                self.start_attempt(now, request, replica, limit)
            }
            Action::Reject { request, retry_after, reason: why } => {
                self.finish(
                    now,
                    request,
                    FinalAnswer::Rejected { retry_after, reason: why },
                    AnswerCause::Rejected(why),
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
            Action::Probe(node) => self.instructions.push(Instruction::Probe(node)),
            Action::WatchEndpoints => self.instructions.push(Instruction::WatchEndpoints),
            Action::Gossip(bytes) => self.instructions.push(Instruction::SendReport(bytes)),
            Action::SendToPeer { peer, bytes } => {
                self.instructions.push(Instruction::SendToPeer { peer, bytes })
            }
            Action::WakeAt { at, token } => self.timers.schedule(at, TimerKind::Decision(token)),
        }
    }

    fn start_attempt(&mut self, now: Nanos, id: RequestId, node: ReplicaId, limit: Nanos) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let attempt = open.add_attempt(now);
        let over = open.answered || open.streaming_attempt.is_some();
        if over || now >= open.deadline || open.attempt_count() > self.attempt_limit {
            return self.settle(now, id, attempt, Outcome::NotSent.into());
        }
        let until = match limit {
            0 => open.deadline,
            _ => open.deadline.min(now.saturating_add(limit)),
        };
        self.timers.schedule(until, TimerKind::AttemptTimeout(id, attempt));
        self.instructions.push(Instruction::StartAttempt {
            request: id,
            attempt,
            replica: node,
            deadline: open.deadline,
        });
    }

    /// The one place where a request gets its final answer. Whoever wants it rejected: one that may have run fails instead
    /// where a retry could do harm.
    fn finish(&mut self, now: Nanos, id: RequestId, wanted: FinalAnswer, cause: AnswerCause) {
        let Some(open) = self.requests.get_mut(&id).filter(|o| !o.answered) else { return };
        let answer = open.allowed_answer(now, wanted);
        open.answered = true;
        let summary = open.summary(now, cause, answer != wanted);
        self.counts.count_answer(answer, &summary);
        self.instructions.push(Instruction::Finish { request: id, answer, summary });
        self.forget_if_over(id);
    }

    /// Notes an attempt's outcome; the decision module hears of it from [`Core::process_events`].
    fn settle(&mut self, now: Nanos, id: RequestId, attempt: u32, end: AttemptResult) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(begun) = open.settle(attempt, end.outcome) else { return };
        self.counts.count_outcome(end.outcome);
        self.events.push_back(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            outcome: end.outcome,
            elapsed: now.saturating_sub(begun),
            request_over: open.answered,
            cached_tokens: (end.outcome == Outcome::Completed).then(|| end.cached_tokens.unwrap_or(0)),
            load: end.load_report,
        }));
        self.forget_if_over(id);
    }

    /// Has an attempt aborted, and settles its outcome.
    fn abort(&mut self, now: Nanos, id: RequestId, attempt: u32, reason: AbortReason, outcome: Outcome) {
        self.instructions.push(Instruction::AbortAttempt { request: id, attempt, reason });
        self.settle(now, id, attempt, outcome.into());
    }

    /// Aborts the attempts of a request that are in flight, but for one.
    fn abort_attempts(&mut self, now: Nanos, id: RequestId, but: Option<u32>, reason: AbortReason) {
        let Some(open) = self.requests.get(&id) else { return };
        let in_flight: Vec<u32> = open.all_in_flight().filter(|&n| Some(n) != but).collect();
        for attempt in in_flight {
            self.abort(now, id, attempt, reason, Outcome::Cancelled);
        }
    }

    /// Forgets a request that has its final answer and no attempt in flight.
    fn forget_if_over(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(OpenRequest::is_over) {
            return;
        }
        let attempts = self.requests.remove(&id).map_or(0, |over| over.attempt_count());
        let requests = &self.requests;
        self.timers.note_obsolete(1 + attempts, |timer| match timer {
            TimerKind::Decision(_) => true,
            TimerKind::AttemptTimeout(id, attempt) => {
                requests.get(id).is_some_and(|open| open.in_flight(*attempt).is_some())
            }
            TimerKind::Deadline(id) => requests.contains_key(id),
        });
    }

    /// What the decision module knows of the replicas that take requests.
    pub fn view(&self, now: Nanos) -> Vec<ReplicaSnapshot> {
        self.balancer.replica_snapshots(now)
    }

    /// How many timers are scheduled.
    pub fn scheduled_timers(&self) -> usize {
        self.timers.len()
    }
}
