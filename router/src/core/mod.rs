//! The core: it owns the decision module, the open requests, their attempts and all timers, and turns what
//! happened into what is to be done ([`Order`]). It knows no HTTP, no socket and no event name, and the
//! time is handed in. It is the one place that gives final answers, so each request gets exactly one.

mod answer;
mod request;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub use answer::{AnswerCause, FinalAnswer, RequestSummary, Tallies, TALLIED};
pub use request::{Ask, AttemptEnd, CloseReason};
use rustc_hash::FxHashMap;
use tallypin::api::*;
use tallypin::replica_snapshot::ReplicaSnapshot;
use tallypin::Balancer;

use crate::operator_override::OverriddenList;
use request::Open;

/// What is to be done, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Begin an attempt at a model node; the client waits for so long.
    Begin(RequestId, u32, ReplicaId, Nanos),
    /// Close an attempt; its outcome is settled.
    Close(RequestId, u32, CloseReason),
    /// Give the final answer. For begun streams this says how it ended.
    Answer(RequestId, FinalAnswer, RequestSummary),
    /// Probe a model node.
    Probe(ReplicaId),
    /// Watch the node list.
    Watch,
    /// Tell the other routers.
    Tell(Vec<u8>),
}

/// Fewer times noted in vain are not worth looking through all of them.
const STALE_LEAST: usize = 256;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Attempt(RequestId, u32),
    Deadline(RequestId),
}

/// The core of one router.
pub struct Core {
    module: Balancer,
    /// What repeating a request of each class does.
    effects: Vec<Effect>,
    try_limit: u32,
    slack: Nanos,
    open: FxHashMap<RequestId, Open>,
    due: BinaryHeap<Reverse<(Nanos, Due)>>,
    /// Entries of `due` that may be of no more use.
    stale: usize,
    last_id: u64,
    orders: Vec<Order>,
    actions: Vec<Action>,
    /// The list, and what of it is out by hand.
    listed: OverriddenList,
    /// Streams that began after more than half of the time that their client waits.
    late: u64,
    /// What the core itself has to tell the module.
    news: VecDeque<Event>,
    tallies: Tallies,
}

impl Core {
    /// A core that decides by a module; it answers `slack` after a deadline if the module has not.
    pub fn new(settings: Settings, seed: u64, slack: Nanos) -> Result<Core, SettingsError> {
        let try_limit = settings.max_attempts;
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        Ok(Core {
            effects,
            module: Balancer::new(settings, seed)?,
            try_limit,
            slack,
            open: FxHashMap::default(),
            due: BinaryHeap::new(),
            stale: 0,
            last_id: 0,
            orders: Vec::new(),
            actions: Vec::new(),
            listed: OverriddenList::default(),
            late: 0,
            news: VecDeque::new(),
            tallies: Tallies::default(),
        })
    }

    /// What repeating a request of a class does; of one that the settings lack, the worst.
    fn effect_of(&self, class: ClassId) -> Effect {
        self.effects.get(class.0 as usize).copied().unwrap_or(Effect::NotIdempotent)
    }

    /// Takes a request.
    pub fn take(&mut self, now: Nanos, ask: Ask) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let open = Open::new(now, ask.left, self.effect_of(ask.class));
        self.due.push(Reverse((open.deadline.saturating_add(self.slack), Due::Deadline(id))));
        self.open.insert(id, open);
        self.tallies.taken += 1;
        self.tallies.returned += u64::from(ask.returned);
        self.tell(now, Event::Request(ask.into_request(id)));
        id
    }

    /// An attempt is about to write its request. True: it may, and from here on a replica may run it. False: the request
    /// is over, or it is too late for a repeat.
    pub fn may_write(&mut self, now: Nanos, id: RequestId, attempt: u32) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let may = open.may_write(now, attempt);
        if let Some(attempt) = open.out_mut(attempt).filter(|_| may) {
            attempt.written = true;
        }
        may
    }

    /// The first event of an attempt has come. True: the request is bound to it, and its events go to the
    /// client. False: it came too late and is to be dropped.
    pub fn started(&mut self, now: Nanos, id: RequestId, attempt: u32) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let Some(begun) = open.out(attempt).map(|a| a.begun) else { return false };
        if open.answered || open.bound.is_some() {
            return false;
        }
        open.bound = Some(attempt);
        self.tallies.begun += 1;
        let waits = open.deadline.saturating_sub(open.taken);
        self.late += u64::from(now.saturating_sub(open.taken) > waits / 2);
        let after = now.saturating_sub(begun);
        self.tell(now, Event::FirstToken { request: id, attempt, elapsed: after });
        self.close_attempts(now, id, Some(attempt), CloseReason::AnotherBegan);
        self.work_off(now);
        true
    }

    /// An attempt has ended; nothing happens if it was settled before.
    pub fn ended(&mut self, now: Nanos, id: RequestId, attempt: u32, end: AttemptEnd) {
        let Some(open) = self.open.get(&id) else { return };
        if open.out(attempt).is_none() {
            return;
        }
        if open.bound == Some(attempt) && !open.answered {
            let whole = end.outcome == Outcome::Completed;
            let answer = if whole { FinalAnswer::Served } else { FinalAnswer::Broken };
            self.answer(now, id, answer, AnswerCause::StreamEnded);
        }
        self.settle(now, id, attempt, end);
        self.work_off(now);
    }

    /// The client has left; nothing more is owed.
    pub fn client_left(&mut self, now: Nanos, id: RequestId) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else { return };
        open.answered = true;
        self.tallies.left += 1;
        self.tell(now, Event::ClientLeft(id));
        self.close_attempts(now, id, None, CloseReason::ClientLeft);
        self.work_off(now);
    }

    /// The router is about to end. What has not begun is answered: refused where that is harmless, else failed. Streams
    /// of requests taken after `owed_after` break off, so that their clients ask another router for the rest; `None`: they
    /// don't ask, and streams go on to the last.
    pub fn answer_before_end(&mut self, now: Nanos, owed_after: Option<Nanos>) {
        let ends = |open: &Open| match open.bound {
            None => true,
            Some(_) => owed_after.is_some_and(|after| open.taken > after),
        };
        let ends = self.open.iter().filter(|(_, open)| !open.answered && ends(open));
        let mut ends: Vec<RequestId> = ends.map(|(id, _)| *id).collect();
        ends.sort_unstable();
        for id in ends {
            let begun = self.open.get(&id).is_some_and(|o| o.bound.is_some());
            let answer =
                if begun { FinalAnswer::Broken } else { FinalAnswer::Refused(0, RejectReason::NoCapacity) };
            self.answer(now, id, answer, AnswerCause::Shutdown);
            self.tell(now, Event::ClientLeft(id));
            self.close_attempts(now, id, None, CloseReason::Shutdown);
            self.work_off(now);
        }
    }

    /// News of the node list.
    pub fn list(&mut self, now: Nanos, kind: ListUpdate, rows: Vec<EndpointEntry>) {
        let rows = self.listed.apply_update(kind, rows);
        self.tell(now, Event::EndpointList { kind, rows });
    }

    /// Which model nodes are out by hand, and which were put back and when, from now on.
    pub fn by_hand(&mut self, now: Nanos, out: &[ReplicaId], back: &[(ReplicaId, Nanos)]) {
        let rows = self.listed.set_overrides(out, back);
        if !rows.is_empty() {
            self.tell(now, Event::EndpointList { kind: ListUpdate::Delta, rows });
        }
    }

    /// Streams that began after more than half of the time that their client waits.
    pub fn late(&self) -> u64 {
        self.late
    }

    /// The rows of the list as they came, whatever is out by hand.
    pub fn listed(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.listed.entries()
    }

    /// Another router has said something.
    pub fn peer(&mut self, now: Nanos, from: PeerId, bytes: Vec<u8>) {
        self.tell(now, Event::PeerMessage { from, bytes });
    }

    /// A probe has ended.
    pub fn probed(&mut self, now: Nanos, node: ReplicaId, end: AttemptEnd) {
        self.tell(now, Event::ProbeEnded { replica: node, outcome: end.outcome, load: end.load });
    }

    /// Does what has fallen due.
    pub fn tick(&mut self, now: Nanos) {
        while let Some(&Reverse((at, due))) = self.due.peek().filter(|Reverse((at, _))| *at <= now) {
            self.due.pop();
            match due {
                Due::Module(token) => self.tell(at.max(now), Event::Timer(token)),
                Due::Attempt(id, attempt) => {
                    let Some(open) = self.open.get(&id) else { continue };
                    if open.bound.is_none() && open.out(attempt).is_some() {
                        self.orders.push(Order::Close(id, attempt, CloseReason::TimedOut));
                        self.settle(now, id, attempt, Outcome::TimedOut.into());
                        self.work_off(now);
                    }
                }
                // Guards the promise of one final answer against a module that holds a request too long.
                Due::Deadline(id) => {
                    let Some(open) = self.open.get(&id) else { continue };
                    if !open.answered && open.bound.is_none() {
                        self.answer(now, id, FinalAnswer::Failed { late: true }, AnswerCause::Deadline);
                        self.tell(now, Event::ClientLeft(id));
                        self.close_attempts(now, id, None, CloseReason::Answered);
                        self.work_off(now);
                    }
                }
            }
        }
    }

    /// When [`Core::tick`] is wanted next.
    pub fn next_due(&self) -> Option<Nanos> {
        self.due.peek().map(|Reverse((at, _))| *at)
    }

    /// What is to be done since the last call.
    pub fn orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// The counts so far.
    pub fn tallies(&self) -> &Tallies {
        &self.tallies
    }

    /// Requests without a final answer, and attempts not settled.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    fn tell(&mut self, now: Nanos, event: Event) {
        self.news.push_back(event);
        self.work_off(now);
    }

    /// Tells the module all news, and what its actions lead to, until there is none left.
    fn work_off(&mut self, now: Nanos) {
        while let Some(event) = self.news.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.module.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send { request, replica, timeout: limit } => self.begin(now, request, replica, limit),
            Action::Reject { request, retry_after, reason: why } => {
                self.answer(now, request, FinalAnswer::Refused(retry_after, why), AnswerCause::Refused(why));
                self.close_attempts(now, request, None, CloseReason::Answered);
            }
            Action::Fail(request) => {
                let late = self.open.get(&request).is_some_and(|o| now >= o.deadline);
                self.answer(now, request, FinalAnswer::Failed { late }, AnswerCause::NoAttemptLeft);
                self.close_attempts(now, request, None, CloseReason::Answered);
            }
            Action::Cancel { request, attempt } => {
                let Some(open) = self.open.get(&request) else { return };
                if open.bound != Some(attempt) && open.out(attempt).is_some() {
                    self.orders.push(Order::Close(request, attempt, CloseReason::CalledOff));
                    self.settle(now, request, attempt, Outcome::Cancelled.into());
                }
            }
            Action::Probe(node) => self.orders.push(Order::Probe(node)),
            Action::WatchEndpoints => self.orders.push(Order::Watch),
            Action::Gossip(bytes) => self.orders.push(Order::Tell(bytes)),
            Action::WakeAt { at, token } => self.due.push(Reverse((at, Due::Module(token)))),
        }
    }

    fn begin(&mut self, now: Nanos, id: RequestId, node: ReplicaId, limit: Nanos) {
        let try_limit = self.try_limit as usize;
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.begin_attempt(now);
        let over = open.answered || open.bound.is_some();
        if over || now >= open.deadline || open.attempts() > try_limit {
            return self.settle(now, id, attempt, Outcome::NotSent.into());
        }
        let until = match limit {
            0 => open.deadline,
            _ => open.deadline.min(now.saturating_add(limit)),
        };
        self.due.push(Reverse((until, Due::Attempt(id, attempt))));
        self.orders.push(Order::Begin(id, attempt, node, open.deadline));
    }

    /// The one place where a request gets its final answer. Whoever asks for it: none that may have run is refused where
    /// a further try could do harm.
    fn answer(&mut self, now: Nanos, id: RequestId, wanted: FinalAnswer, cause: AnswerCause) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else { return };
        let answer = open.permitted(now, wanted);
        open.answered = true;
        let summary = open.summary(now, cause, answer != wanted);
        self.tallies.note_answer(answer, &summary);
        self.orders.push(Order::Answer(id, answer, summary));
        self.forget_if_over(id);
    }

    /// Notes an attempt's outcome; the module hears of it from `work_off`.
    fn settle(&mut self, now: Nanos, id: RequestId, attempt: u32, end: AttemptEnd) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(begun) = open.settle(attempt, end.outcome) else { return };
        self.tallies.note_outcome(end.outcome);
        self.news.push_back(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            outcome: end.outcome,
            elapsed: now.saturating_sub(begun),
            request_over: open.answered,
            cached_tokens: (end.outcome == Outcome::Completed).then(|| end.kept.unwrap_or(0)),
            load: end.load,
        }));
        self.forget_if_over(id);
    }

    /// Closes the attempts of a request that are still out.
    fn close_attempts(&mut self, now: Nanos, id: RequestId, but: Option<u32>, why: CloseReason) {
        let Some(open) = self.open.get(&id) else { return };
        let out: Vec<u32> = open.all_out().filter(|&n| Some(n) != but).collect();
        for attempt in out {
            self.orders.push(Order::Close(id, attempt, why));
            self.settle(now, id, attempt, Outcome::Cancelled.into());
        }
    }

    fn forget_if_over(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(Open::is_over) {
            let over = self.open.remove(&id);
            self.stale += 1 + over.map_or(0, |o| o.attempts());
            self.clear_due();
        }
    }

    /// Guards against requests that wait for long and are over soon: what was to be looked at when their
    /// time is up would else stay until then.
    fn clear_due(&mut self) {
        if self.stale < STALE_LEAST || self.stale * 2 < self.due.len() {
            return;
        }
        self.stale = 0;
        let open = &self.open;
        self.due.retain(|Reverse((_, due))| match due {
            Due::Module(_) => true,
            Due::Attempt(id, attempt) => open.get(id).is_some_and(|o| o.out(*attempt).is_some()),
            Due::Deadline(id) => open.contains_key(id),
        });
    }

    /// What the module holds of the model nodes that take work.
    pub fn view(&self, now: Nanos) -> Vec<ReplicaSnapshot> {
        self.module.replica_snapshots(now)
    }

    /// How many times to look at something are noted.
    pub fn noted(&self) -> usize {
        self.due.len()
    }
}
