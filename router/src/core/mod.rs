//! The core: it owns the decision module, the open requests, their attempts and all timers, and turns what
//! happened into what is to be done ([`Order`]). It knows no HTTP, no socket and no event name, and the
//! time is handed in. It is the one place that gives final answers, so each request gets exactly one.

mod answer;
mod request;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub use answer::{AnswerCause, FinalAnswer, RequestCounts, RequestSummary, COUNTED_OUTCOMES};
pub use request::{AbortReason, AttemptResult, NewRequest};
use rustc_hash::FxHashMap;
use tallypin::api::*;
use tallypin::replica_snapshot::ReplicaSnapshot;
use tallypin::Balancer;

use crate::operator_override::{OverriddenList, Restoration};
use request::OpenRequest;

/// What is to be done, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Instruction {
    /// Start an attempt at a replica.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts, counted from 0.
        attempt: u32,
        /// Where.
        replica: ReplicaId,
        /// When the client gives up.
        deadline: Nanos,
    },
    /// Abort an attempt; its outcome is settled.
    AbortAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// Why.
        reason: AbortReason,
    },
    /// Give the final answer. Of a stream that has begun this says how it ended.
    Finish {
        /// The request.
        request: RequestId,
        /// Its final answer.
        answer: FinalAnswer,
        /// What became of it, for the log.
        summary: RequestSummary,
    },
    /// Check the health of a replica.
    Probe(ReplicaId),
    /// Poll the endpoint list, or watch it anew.
    WatchEndpoints,
    /// Send a load report to the other routers.
    SendReport(Vec<u8>),
}

/// Fewer times noted in vain are not worth looking through all of them.
const STALE_TIMERS_WORTH_A_SWEEP: usize = 256;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Decision(u64),
    AttemptTimeout(RequestId, u32),
    Deadline(RequestId),
}

/// The core of one router.
pub struct Core {
    balancer: Balancer,
    /// What repeating a request of each class does.
    effects: Vec<Effect>,
    attempt_limit: u32,
    answer_slack: Nanos,
    requests: FxHashMap<RequestId, OpenRequest>,
    timers: BinaryHeap<Reverse<(Nanos, TimerKind)>>,
    /// Entries of `due` that may be of no more use.
    stale_timers: usize,
    last_id: u64,
    instructions: Vec<Instruction>,
    actions: Vec<Action>,
    /// The list, and what of it is out by hand.
    endpoints: OverriddenList,
    /// Streams that began after more than half of the time that their client waits.
    late_streams: u64,
    /// What the core itself has to tell the module.
    events: VecDeque<Event>,
    counts: RequestCounts,
}

impl Core {
    /// A core that decides by a module; it answers `slack` after a deadline if the module has not.
    pub fn new(settings: Settings, seed: u64, slack: Nanos) -> Result<Core, SettingsError> {
        let try_limit = settings.max_attempts;
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        Ok(Core {
            effects,
            balancer: Balancer::new(settings, seed)?,
            attempt_limit: try_limit,
            answer_slack: slack,
            requests: FxHashMap::default(),
            timers: BinaryHeap::new(),
            stale_timers: 0,
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

    /// Takes a request.
    pub fn accept(&mut self, now: Nanos, ask: NewRequest) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let open = OpenRequest::new(now, ask.time_left, self.effect_of(ask.class));
        self.timers.push(Reverse((open.deadline.saturating_add(self.answer_slack), TimerKind::Deadline(id))));
        self.requests.insert(id, open);
        self.counts.accepted += 1;
        self.counts.resumed += u64::from(ask.resumes_stream);
        self.notify(now, Event::Request(ask.into_request(id)));
        id
    }

    /// An attempt is about to write its request. True: it may, and from here on a replica may run it. False: the request
    /// is over, or it is too late for a repeat.
    pub fn may_write(&mut self, now: Nanos, id: RequestId, attempt: u32) -> bool {
        let Some(open) = self.requests.get_mut(&id) else { return false };
        let may = open.may_write(now, attempt);
        if let Some(attempt) = open.in_flight_mut(attempt).filter(|_| may) {
            attempt.written = true;
        }
        may
    }

    /// The first event of an attempt has come. True: the request is bound to it, and its events go to the
    /// client. False: it came too late and is to be dropped.
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

    /// The router is about to end. What has not begun is answered: refused where that is harmless, else failed. Streams
    /// of requests taken after `owed_after` break off, so that their clients ask another router for the rest; `None`: they
    /// don't ask, and streams go on to the last.
    pub fn answer_for_shutdown(&mut self, now: Nanos, owed_after: Option<Nanos>) {
        let ends = |open: &OpenRequest| match open.streaming_attempt {
            None => true,
            Some(_) => owed_after.is_some_and(|after| open.accepted_at > after),
        };
        let ends = self.requests.iter().filter(|(_, open)| !open.answered && ends(open));
        let mut ends: Vec<RequestId> = ends.map(|(id, _)| *id).collect();
        ends.sort_unstable();
        for id in ends {
            let begun = self.requests.get(&id).is_some_and(|o| o.streaming_attempt.is_some());
            let answer = if begun {
                FinalAnswer::Interrupted
            } else {
                FinalAnswer::Rejected { retry_after: 0, reason: RejectReason::NoCapacity }
            };
            self.finish(now, id, answer, AnswerCause::Shutdown);
            self.notify(now, Event::ClientLeft(id));
            self.abort_attempts(now, id, None, AbortReason::Shutdown);
            self.process_events(now);
        }
    }

    /// News of the node list.
    pub fn endpoints_changed(&mut self, now: Nanos, kind: ListUpdate, rows: Vec<EndpointEntry>) {
        let rows = self.endpoints.apply_update(kind, rows);
        self.notify(now, Event::EndpointList { kind, rows });
    }

    /// Replaces the operator overrides of the endpoint list.
    pub fn override_replicas(&mut self, now: Nanos, drained: &[ReplicaId], restored: &[Restoration]) {
        let rows = self.endpoints.set_overrides(drained, restored);
        if !rows.is_empty() {
            self.notify(now, Event::EndpointList { kind: ListUpdate::Delta, rows });
        }
    }

    /// Streams that began after more than half of the time that their client waits.
    pub fn late_streams(&self) -> u64 {
        self.late_streams
    }

    /// The rows of the list as they came, whatever is out by hand.
    pub fn listed_replicas(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.endpoints.entries()
    }

    /// Another router has said something.
    pub fn report_received(&mut self, now: Nanos, from: PeerId, bytes: Vec<u8>) {
        self.notify(now, Event::PeerMessage { from, bytes });
    }

    /// A probe has ended.
    pub fn probe_ended(&mut self, now: Nanos, node: ReplicaId, end: AttemptResult) {
        self.notify(now, Event::ProbeEnded { replica: node, outcome: end.outcome, load: end.load_report });
    }

    /// Does what has fallen due.
    pub fn run_timers(&mut self, now: Nanos) {
        while let Some(&Reverse((at, due))) = self.timers.peek().filter(|Reverse((at, _))| *at <= now) {
            self.timers.pop();
            match due {
                TimerKind::Decision(token) => self.notify(at.max(now), Event::Timer(token)),
                TimerKind::AttemptTimeout(id, attempt) => {
                    let Some(open) = self.requests.get(&id) else { continue };
                    if open.streaming_attempt.is_none() && open.in_flight(attempt).is_some() {
                        self.instructions.push(Instruction::AbortAttempt {
                            request: id,
                            attempt,
                            reason: AbortReason::TimedOut,
                        });
                        self.settle(now, id, attempt, Outcome::TimedOut.into());
                        self.process_events(now);
                    }
                }
                // Guards the promise of one final answer against a module that holds a request too long.
                TimerKind::Deadline(id) => {
                    let Some(open) = self.requests.get(&id) else { continue };
                    if !open.answered && open.streaming_attempt.is_none() {
                        self.finish(
                            now,
                            id,
                            FinalAnswer::Failed { past_deadline: true },
                            AnswerCause::Deadline,
                        );
                        self.notify(now, Event::ClientLeft(id));
                        self.abort_attempts(now, id, None, AbortReason::Answered);
                        self.process_events(now);
                    }
                }
            }
        }
    }

    /// When [`Core::tick`] is wanted next.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// What is to be done since the last call.
    pub fn take_instructions(&mut self) -> Vec<Instruction> {
        std::mem::take(&mut self.instructions)
    }

    /// The counts so far.
    pub fn counts(&self) -> &RequestCounts {
        &self.counts
    }

    /// Requests without a final answer, and attempts not settled.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    fn notify(&mut self, now: Nanos, event: Event) {
        self.events.push_back(event);
        self.process_events(now);
    }

    /// Tells the module all news, and what its actions lead to, until there is none left.
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
                    self.instructions.push(Instruction::AbortAttempt {
                        request,
                        attempt,
                        reason: AbortReason::Canceled,
                    });
                    self.settle(now, request, attempt, Outcome::Cancelled.into());
                }
            }
            Action::Probe(node) => self.instructions.push(Instruction::Probe(node)),
            Action::WatchEndpoints => self.instructions.push(Instruction::WatchEndpoints),
            Action::Gossip(bytes) => self.instructions.push(Instruction::SendReport(bytes)),
            Action::WakeAt { at, token } => self.timers.push(Reverse((at, TimerKind::Decision(token)))),
        }
    }

    fn start_attempt(&mut self, now: Nanos, id: RequestId, node: ReplicaId, limit: Nanos) {
        let try_limit = self.attempt_limit as usize;
        let Some(open) = self.requests.get_mut(&id) else { return };
        let attempt = open.add_attempt(now);
        let over = open.answered || open.streaming_attempt.is_some();
        if over || now >= open.deadline || open.attempt_count() > try_limit {
            return self.settle(now, id, attempt, Outcome::NotSent.into());
        }
        let until = match limit {
            0 => open.deadline,
            _ => open.deadline.min(now.saturating_add(limit)),
        };
        self.timers.push(Reverse((until, TimerKind::AttemptTimeout(id, attempt))));
        self.instructions.push(Instruction::StartAttempt {
            request: id,
            attempt,
            replica: node,
            deadline: open.deadline,
        });
    }

    /// The one place where a request gets its final answer. Whoever asks for it: none that may have run is refused where
    /// a further try could do harm.
    fn finish(&mut self, now: Nanos, id: RequestId, wanted: FinalAnswer, cause: AnswerCause) {
        let Some(open) = self.requests.get_mut(&id).filter(|o| !o.answered) else { return };
        let answer = open.allowed_answer(now, wanted);
        open.answered = true;
        let summary = open.summary(now, cause, answer != wanted);
        self.counts.count_answer(answer, &summary);
        self.instructions.push(Instruction::Finish { request: id, answer, summary });
        self.forget_if_over(id);
    }

    /// Notes an attempt's outcome; the module hears of it from `work_off`.
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

    /// Closes the attempts of a request that are still out.
    fn abort_attempts(&mut self, now: Nanos, id: RequestId, but: Option<u32>, why: AbortReason) {
        let Some(open) = self.requests.get(&id) else { return };
        let out: Vec<u32> = open.all_in_flight().filter(|&n| Some(n) != but).collect();
        for attempt in out {
            self.instructions.push(Instruction::AbortAttempt { request: id, attempt, reason: why });
            self.settle(now, id, attempt, Outcome::Cancelled.into());
        }
    }

    fn forget_if_over(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(OpenRequest::is_over) {
            let over = self.requests.remove(&id);
            self.stale_timers += 1 + over.map_or(0, |o| o.attempt_count());
            self.drop_stale_timers();
        }
    }

    /// Guards against requests that wait for long and are over soon: what was to be looked at when their
    /// time is up would else stay until then.
    fn drop_stale_timers(&mut self) {
        if self.stale_timers < STALE_TIMERS_WORTH_A_SWEEP || self.stale_timers * 2 < self.timers.len() {
            return;
        }
        self.stale_timers = 0;
        let open = &self.requests;
        self.timers.retain(|Reverse((_, due))| match due {
            TimerKind::Decision(_) => true,
            TimerKind::AttemptTimeout(id, attempt) => {
                open.get(id).is_some_and(|o| o.in_flight(*attempt).is_some())
            }
            TimerKind::Deadline(id) => open.contains_key(id),
        });
    }

    /// What the module holds of the model nodes that take work.
    pub fn view(&self, now: Nanos) -> Vec<ReplicaSnapshot> {
        self.balancer.replica_snapshots(now)
    }

    /// How many times to look at something are noted.
    pub fn scheduled_timers(&self) -> usize {
        self.timers.len()
    }
}
