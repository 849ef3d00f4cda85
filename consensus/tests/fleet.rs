//! Whole fleets in virtual time: every router with its part, the council among them, on a net that loses and delays, with
//! routers that die, stop and wake, and links that are cut. What must never be is looked at from outside: who is out, and
//! whether anyone began to go after a halt was answered. A seed that fails fails again.
#![allow(missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use fastrand::Rng;
use tallypin_consensus::drain_lease::{
    halt_is_effective, LeaseHolder, LeaseTiming, LocalPhase, NextStep, SubmitOutcome,
};
use tallypin_consensus::fleet_state::{Command, CouncilView, DrainLimits, FleetState, ReleaseOrder};
use tallypin_consensus::register::{
    bootstrap_value, chosen_value, Acceptor, AcceptorReply, AcceptorRequest, Ballot, CouncilMember,
    MemberReport, Proposal, Proposer, RoundStep,
};
use tallypin_consensus::release::{ReleasePhase, ReleasePlan};
use tallypin_consensus::release_monitor::{AnswerCounts, ReleaseMonitor, RouterReport};
use tallypin_membership::{AdvertisedStatus, FailureDetector, Nanos, RouterIndex};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const BEAT: Nanos = 500 * MS;
const FIGURES: LeaseTiming = LeaseTiming { duration: 5 * S, drift_divisor: 20, retry_after: BEAT };
const MEMBERS: tallypin_membership::HeartbeatTiming =
    tallypin_membership::HeartbeatTiming { interval: BEAT, silence_limit: 3 * S };
const COUNCIL: usize = 5;
/// A round that has not ended within this is given up.
const ROUND: Nanos = 2 * S;

#[allow(clippy::large_enum_variant)] // Some hundreds at a time.
enum Event {
    Beat(usize, u64),
    HeartbeatReceived {
        by: usize,
        from: usize,
        life: u64,
        says: AdvertisedStatus,
    },
    Asked {
        by: usize,
        from: usize,
        life: u64,
        ask: AcceptorRequest<FleetState>,
    },
    Answered {
        by: usize,
        life: u64,
        from: usize,
        ask: AcceptorRequest<FleetState>,
        answer: AcceptorReply<FleetState>,
        out: Option<Vec<RouterIndex>>,
    },
    GiveUp(usize, u64, Ballot),
    /// Something goes wrong, or is mended.
    Fault,
    /// An operator orders something.
    Order,
}

struct Router {
    alive: bool,
    /// Stopped until then: what is due comes after it.
    stopped: Nanos,
    life: u64,
    leaver: LeaseHolder,
    own: LocalPhase,
    keeper: Option<Acceptor<FleetState>>,
    presence: FailureDetector,
    known: Option<FleetState>,
    seen: Ballot,
    /// The round it is in, its act, when it was begun, who is out by the promises.
    round: Option<(Proposer<FleetState>, Command, Nanos, CouncilView)>,
    /// Acts of operators that it is to have agreed on.
    orders: Vec<Command>,
    /// The file that it runs: outlasts its lives.
    runs: String,
    watch: ReleaseMonitor,
}

struct World {
    rng: Rng,
    now: Nanos,
    due: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    next: u64,
    routers: Vec<Router>,
    bounds: DrainLimits,
    /// Whoever is in here is cut off from the rest.
    cut: BTreeSet<usize>,
    lost: u32,
    calm: bool,
    /// A halt that was agreed on: where, when, and since when it holds; nothing may begin before a resume.
    halt: Option<(usize, Nanos, bool)>,
    /// Resumes that were ordered, and the orders that were known when the halt was agreed on.
    resumes: BTreeSet<String>,
    before: Vec<String>,
    /// When a resume was last on its way.
    resumed: Nanos,
    orders: u64,
    went: usize,
    swapped: usize,
    releases: bool,
    /// Releases that were done in the end.
    done: usize,
}

impl World {
    fn new(seed: u64, n: usize) -> World {
        let zones = (0..n).map(|r| (r % 3) as u16).collect();
        let bounds = DrainLimits {
            names: vec![],
            zones,
            total: (n / 5).max(1),
            per_zone: (n / 10).max(1),
            council: (0..COUNCIL as u16).collect(),
            replicas: None,
        };
        let ballot = Ballot { number: 1, proposer: 0, incarnation: 0 };
        let value =
            bootstrap_value(&vec![Some(MemberReport { incarnation: 0, accepted: None }); COUNCIL], |_| {
                FleetState::default()
            })
            .expect("all blank");
        let routers = (0..n).map(|r| {
            let keeper = (r < COUNCIL).then(|| {
                let mut keeper = Acceptor::new(0);
                keeper.handle(AcceptorRequest::Prepare(ballot));
                keeper.handle(AcceptorRequest::Bootstrap(Proposal { ballot, value: value.clone() }));
                keeper
            });
            Router {
                alive: true,
                stopped: 0,
                life: 0,
                leaver: LeaseHolder::new(FIGURES, r as RouterIndex, 0),
                own: LocalPhase::Serving,
                keeper,
                presence: FailureDetector::new(MEMBERS, n, 0),
                known: Some(FleetState::default()),
                seen: ballot,
                round: None,
                orders: Vec::new(),
                runs: "first".into(),
                watch: ReleaseMonitor::default(),
            }
        });
        let mut world = World {
            rng: Rng::with_seed(seed),
            now: 0,
            due: BinaryHeap::new(),
            events: Default::default(),
            next: 0,
            routers: routers.collect(),
            bounds,
            cut: BTreeSet::new(),
            lost: 5,
            calm: false,
            halt: None,
            resumes: BTreeSet::new(),
            before: Vec::new(),
            resumed: 0,
            orders: 0,
            went: 0,
            swapped: 0,
            releases: seed % 2 == 1,
            done: 0,
        };
        for r in 0..n {
            let at = world.rng.u64(..BEAT);
            world.at(at, Event::Beat(r, 0));
        }
        world.at(4 * S, Event::Fault);
        world.at(4 * S, Event::Order);
        world
    }

    fn at(&mut self, at: Nanos, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.due.push(Reverse((at, self.next)));
    }

    /// Sends, unless it is lost.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        let apart = self.cut.contains(&from) != self.cut.contains(&to);
        if from != to && (apart || self.rng.u32(..100) < self.lost) {
            return;
        }
        let late = if self.rng.u32(..50) == 0 { 3 * S } else { 20 * MS };
        let at = self.now + self.rng.u64(MS..late);
        self.at(at, event);
    }

    fn ask_all(&mut self, r: usize) {
        let Some((round, ..)) = &self.routers[r].round else { return };
        let (ask, life) = (round.request(), self.routers[r].life);
        (0..COUNCIL).for_each(|m| self.send(r, m, Event::Asked { by: r, from: m, life, ask: ask.clone() }));
    }

    fn begin(&mut self, r: usize, act: Command) {
        let now = self.now;
        let router = &mut self.routers[r];
        let ballot = Ballot { number: 0, proposer: r as u16, incarnation: router.life }.above(router.seen);
        router.seen = ballot;
        let round = match &router.keeper {
            Some(k) if !k.joined() => Proposer::joining(
                ballot,
                COUNCIL,
                vec![CouncilMember { member: r as u8, incarnation: router.life }],
            ),
            _ => Proposer::new(ballot, COUNCIL),
        };
        router.round =
            Some((round, act, now, CouncilView { majority: COUNCIL / 2 + 1, ..CouncilView::default() }));
        let life = router.life;
        self.ask_all(r);
        self.at(now + ROUND, Event::GiveUp(r, life, ballot));
    }

    /// What a router does when it has no round on.
    fn part(&mut self, r: usize) {
        if self.routers[r].round.is_some() {
            return;
        }
        if self.routers[r].keeper.as_ref().is_some_and(|k| !k.joined()) {
            return self.begin(r, Command::Read);
        }
        if let Some(act) = self.routers[r].orders.first().cloned() {
            return self.begin(r, act);
        }
        if self.routers[r].known.is_none() {
            self.look(r);
        }
        let Some(known) = self.routers[r].known.clone() else { return };
        let newer = |world: &World, version: u64| {
            let mut told = world.routers.iter().take(COUNCIL).filter_map(|m| m.keeper.as_ref()?.accepted());
            told.any(|v| v.state.version > version)
        };
        // As heard with its beats, if it was: then it looks before it does anything by an older document.
        if newer(self, known.version) && self.rng.bool() {
            self.look(r);
            let known = self.routers[r].known.as_ref().map_or(0, |d| d.version);
            // Members that have not all taken the same tell nothing alike until a round ends it.
            if newer(self, known) && self.rng.u32(..8) == 0 {
                return self.begin(r, Command::Read);
            }
        }
        let Some(known) = self.routers[r].known.clone() else { return };
        let router = &self.routers[r];
        match router.leaver.next_step(self.now, &known, router.own, Some(&router.runs)) {
            NextStep::Wait => self.conduct(r, &known),
            // Drained, it ends, and is started with the file that it has put in place.
            NextStep::InstallAndRestart(digest) => {
                self.routers[r].runs = digest;
                self.swapped += 1;
                self.revive(r);
            }
            NextStep::BeginDrain => self.go_out(r, &known),
            NextStep::ResumeService => self.routers[r].own = LocalPhase::Serving,
            NextStep::Submit(act) => self.begin(r, act),
        }
    }

    /// What a member asks for on behalf of all.
    fn conduct(&mut self, r: usize, known: &FleetState) {
        let (now, n) = (self.now, self.routers.len() as RouterIndex);
        let router = &mut self.routers[r];
        if !router.keeper.as_ref().is_some_and(Acceptor::joined) || !router.presence.can_detect_silence(now) {
            return;
        }
        let heard = |p| {
            let life = router.presence.live_peer(now, p)?.incarnation;
            Some(RouterReport { incarnation: life, counts: AnswerCounts::default() })
        };
        let heard: Vec<_> = (0..n).map(heard).collect();
        if let Some(act) = router.watch.next_command(now, known, &self.bounds, &heard) {
            self.begin(r, act);
        }
    }

    /// What a majority of the council tells alike, in one moment.
    fn look(&mut self, r: usize) {
        let here = self.cut.contains(&r);
        let told: Vec<_> = (0..COUNCIL)
            .map(|m| {
                let reached = self.routers[m].alive
                    && self.cut.contains(&m) == here
                    && self.rng.u32(..100) >= self.lost;
                match self.routers[m].keeper.as_mut().filter(|_| reached)?.handle(AcceptorRequest::Read) {
                    AcceptorReply::Current { incarnation, accepted } => {
                        Some(MemberReport { incarnation, accepted })
                    }
                    _ => None,
                }
            })
            .collect();
        if let Some(chosen) = chosen_value(&told) {
            self.routers[r].known = Some(chosen.value.state);
        }
    }

    fn go_out(&mut self, r: usize, known: &FleetState) {
        assert!(
            !self.halt.is_some_and(|h| h.2),
            "{r} goes out after a halt was answered, by {}",
            known.version
        );
        self.routers[r].own = LocalPhase::OutOfService;
        self.went += 1;
        let out = self.out_by_order();
        assert!(out.len() <= self.bounds.total, "{out:?} are out by order, {} may be", self.bounds.total);
        for zone in 0..3 {
            let here = out.iter().filter(|&&o| self.bounds.zones[o] == zone).count();
            assert!(here <= self.bounds.per_zone, "{here} of zone {zone}: {out:?}");
        }
    }

    fn out_by_order(&self) -> Vec<usize> {
        (0..self.routers.len())
            .filter(|&r| self.routers[r].alive && self.routers[r].own == LocalPhase::OutOfService)
            .collect()
    }

    fn ended(&mut self, r: usize, done: bool) {
        let now = self.now;
        let Some((_, act, at, _)) = self.routers[r].round.take() else { return };
        let router = &mut self.routers[r];
        let outcome = if done { SubmitOutcome::Applied } else { SubmitOutcome::NotApplied };
        router.leaver.record_outcome(at, now, &act, outcome);
        if router.orders.first() == Some(&act) {
            if done {
                router.orders.remove(0);
                if matches!(act, Command::Halt { .. }) {
                    self.halt = Some((r, at, false));
                    let known = self.routers[r].known.as_ref();
                    self.before = known.map_or(vec![], |d| d.recent_orders.iter().cloned().collect());
                }
            } else if self.rng.bool() {
                self.routers[r].orders.remove(0);
            }
        }
        // What was not agreed on is tried again at the next beat: rounds begun at once would overtake each other for ever.
        if done {
            self.part(r);
        }
    }

    fn answered(
        &mut self,
        r: usize,
        from: usize,
        ask: &AcceptorRequest<FleetState>,
        answer: AcceptorReply<FleetState>,
        out: Option<Vec<RouterIndex>>,
    ) {
        let bounds = self.bounds.clone();
        let router = &mut self.routers[r];
        if let AcceptorReply::Superseded(seen) = &answer {
            router.seen = router.seen.max(*seen);
        }
        let Some((round, act, _, view)) = &mut router.round else { return };
        if let (AcceptorReply::Promised { .. }, Some(out), AcceptorRequest::Prepare(ballot)) =
            (&answer, out, ask)
        {
            if *ballot == round.ballot() {
                view.informed_members += 1;
                view.out_of_service.extend(out);
            }
        }
        match round.handle_reply(from as u8, ask, answer) {
            RoundStep::Wait => {}
            RoundStep::Superseded(_) => self.ended(r, false),
            RoundStep::Propose(document) => match document.apply(act, &bounds, view) {
                Ok(document) => {
                    round.propose(document);
                    self.ask_all(r);
                }
                Err(_) => self.ended(r, false),
            },
            RoundStep::Chosen(value) => {
                let ballot = round.ballot();
                // A resume from before that was agreed on after it ends a halt as well.
                let orders = &value.state.recent_orders;
                if orders.iter().any(|o| self.resumes.contains(o) && !self.before.contains(o)) {
                    self.halt = None;
                }
                if router.known.as_ref().is_none_or(|k| k.version < value.state.version) {
                    router.known = Some(value.state.clone());
                }
                if let Some(keeper) = &mut router.keeper {
                    keeper.join(Proposal { ballot, value });
                }
                self.ended(r, true);
            }
        }
    }

    /// The answer to a halt, where it was ordered.
    fn halted(&mut self) {
        let resumes = |r: &Router| r.orders.iter().any(|o| matches!(o, Command::Resume { .. }));
        if self.routers.iter().any(resumes) {
            self.resumed = self.now;
        }
        let Some((r, at, false)) = self.halt else { return };
        // A resume that was ordered before may still be agreed on after it, and then ends it.
        if self.now < self.resumed + 10 * S {
            return;
        }
        let Some(known) = &self.routers[r].known else { return };
        if self.routers[r].alive
            && known.halted.is_some()
            && halt_is_effective(&FIGURES, self.now - at, known)
        {
            self.halt = Some((r, at, true));
        }
    }

    fn fault(&mut self) {
        let r = self.rng.usize(..self.routers.len());
        let now = self.now;
        // One member at a time: when a majority forgets at once nothing can be agreed on any more, as is stated.
        let joined = |m: &Router| m.alive && m.keeper.as_ref().is_some_and(Acceptor::joined);
        let whole = self.routers.iter().take(COUNCIL).all(|m| joined(m) && m.own == LocalPhase::Serving);
        match self.rng.u32(..6) {
            0 if self.routers[r].alive && (r >= COUNCIL || whole) => self.routers[r].alive = false,
            1 => self.routers[r].stopped = now + self.rng.u64(S..20 * S),
            2 => {
                let some = 1 + self.routers.len() / 4;
                self.cut = (0..some).map(|_| self.rng.usize(..self.routers.len())).collect();
            }
            3 => self.cut.clear(),
            _ => {
                for r in 0..self.routers.len() {
                    if !self.routers[r].alive {
                        self.revive(r);
                    }
                }
            }
        }
        let again = now + self.rng.u64(S / 2..4 * S);
        self.at(again, Event::Fault);
    }

    /// Starts anew, under a later life and with no memory.
    fn revive(&mut self, r: usize) {
        let (now, n) = (self.now, self.routers.len());
        let router = &mut self.routers[r];
        router.life += 1;
        let life = router.life;
        (router.alive, router.stopped, router.own, router.known, router.round) =
            (true, 0, LocalPhase::Serving, None, None);
        router.leaver = LeaseHolder::new(FIGURES, r as RouterIndex, life);
        router.keeper = (r < COUNCIL).then(|| Acceptor::new(life));
        router.presence = FailureDetector::new(MEMBERS, n, now);
        router.watch = ReleaseMonitor::default();
        router.seen = Ballot::default();
        router.orders.clear();
        self.at(now, Event::Beat(r, life));
    }

    fn order(&mut self) {
        let n = self.routers.len();
        self.orders += 1;
        let (r, order) = (self.rng.usize(..n), format!("o{}", self.orders));
        let (first, back, undo) = (self.rng.u16(..n as u16), self.rng.bool(), self.rng.bool());
        let mut some = || (0..1 + n / 20).map(|_| self.rng.usize(..n) as RouterIndex).collect::<Vec<_>>();
        // Drains by hand, or releases: a release refuses to touch who is out by hand.
        let act = match if self.releases { 6 + self.orders % 4 } else { self.orders % 6 } {
            8 => {
                let rest = (0..n as RouterIndex).filter(|p| *p != first).collect();
                let plan = ReleasePlan {
                    watch_ms: 1000,
                    ready_ms: 30_000,
                    rolls_back: back,
                    ..ReleasePlan::default()
                };
                let (artifact, digest) = ("settings".into(), format!("file {}", self.orders));
                Command::BeginRelease(ReleaseOrder {
                    order,
                    artifact,
                    digest,
                    waves: vec![vec![first], rest],
                    plan,
                })
            }
            9 if undo => Command::RollBack { order, cause: "x".into() },
            0 | 6 => Command::Halt { order, cause: "x".into() },
            1 | 2 => Command::Drain { order, routers: some() },
            3 => Command::Restore { order, routers: some() },
            4 => Command::Drain { order, routers: some() },
            _ => Command::Resume { order },
        };
        if let Command::Resume { order } = &act {
            self.halt = None;
            self.resumes.insert(order.clone());
        }
        if self.routers[r].alive {
            self.routers[r].orders.push(act);
        }
        let again = self.now + self.rng.u64(S..5 * S);
        self.at(again, Event::Order);
    }

    fn play(&mut self, until: Nanos) {
        while let Some(&Reverse((at, key))) = self.due.peek().filter(|d| d.0 .0 <= until) {
            self.due.pop();
            self.now = at;
            let Some(event) = self.events.remove(&key) else { continue };
            // What reaches a process that is stopped waits for it.
            let to = match &event {
                Event::Beat(r, _) | Event::GiveUp(r, ..) => Some(*r),
                Event::HeartbeatReceived { by, .. } => Some(*by),
                Event::Asked { from, .. } => Some(*from),
                Event::Answered { by, .. } => Some(*by),
                Event::Fault | Event::Order => None,
            };
            if let Some(stopped) = to.map(|r| self.routers[r].stopped).filter(|&s| s > at) {
                self.at(stopped, event);
                continue;
            }
            self.take(event);
            self.halted();
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Beat(r, life) if self.routers[r].alive && self.routers[r].life == life => {
                self.routers[r].presence.note_clock(now);
                let router = &self.routers[r];
                let says = match (router.own, &router.keeper) {
                    (LocalPhase::OutOfService, _) => AdvertisedStatus::Draining,
                    (_, Some(keeper)) if !keeper.joined() => AdvertisedStatus::Starting,
                    _ => AdvertisedStatus::Serving,
                };
                (0..COUNCIL)
                    .for_each(|m| self.send(r, m, Event::HeartbeatReceived { by: m, from: r, life, says }));
                self.part(r);
                self.at(now + BEAT, Event::Beat(r, life));
            }
            Event::HeartbeatReceived { by, from, life, says } if self.routers[by].alive => {
                let _ = self.routers[by].presence.record_heartbeat(now, from as RouterIndex, life, says);
            }
            Event::Asked { by, from, life, ask } if self.routers[from].alive => {
                let member = &mut self.routers[from];
                let Some(answer) = member.keeper.as_mut().map(|k| k.handle(ask.clone())) else { return };
                let knows = member.presence.can_detect_silence(now);
                let out = member.presence.out_of_service(now);
                let out = knows.then_some(out);
                self.send(from, by, Event::Answered { by, life, from, ask, answer, out });
            }
            Event::Answered { by, life, from, ask, answer, out }
                if self.routers[by].alive && self.routers[by].life == life =>
            {
                self.answered(by, from, &ask, answer, out);
            }
            Event::GiveUp(r, life, ballot) if self.routers[r].alive && self.routers[r].life == life => {
                let same = self.routers[r].round.as_ref().is_some_and(|(round, ..)| round.ballot() == ballot);
                same.then(|| self.ended(r, false));
            }
            Event::Fault if !self.calm => self.fault(),
            Event::Order if !self.calm => self.order(),
            _ => {}
        }
    }

    /// Everything is mended and nobody orders anything: what is wanted has to come to an end.
    fn settle(&mut self) -> bool {
        (self.calm, self.lost) = (true, 0);
        self.cut.clear();
        for r in 0..self.routers.len() {
            self.routers[r].stopped = 0;
            if !self.routers[r].alive {
                self.revive(r);
            }
        }
        let until = self.now + 60 * S;
        self.play(until);
        let newest = self.routers.iter().filter_map(|r| r.known.as_ref()).map(|d| d.version).max();
        // What is told to be done is: every router runs it.
        let known = self.routers.iter().filter_map(|r| r.known.as_ref()).max_by_key(|d| d.version);
        if let Some(r) = known.and_then(|d| d.release.as_ref()).filter(|r| r.phase == ReleasePhase::Done) {
            self.done += 1;
            assert!(self.routers.iter().all(|router| router.runs == r.digest), "not all run {}", r.digest);
        }
        self.routers.iter().all(|r| r.known.as_ref().map(|d| d.version) == newest)
    }
}

/// Plays seeds of a fleet of so many; routers that went out, and seeds that came to one document in the end.
fn play(seeds: std::ops::Range<u64>, routers: usize) -> [usize; 4] {
    let [mut went, mut settled, mut swapped, mut done] = [0; 4];
    for seed in seeds {
        let mut world = World::new(seed, routers);
        world.play(60 * S);
        let same = world.settle();
        if !same {
            let remember =
                world.routers.iter().filter(|r| r.keeper.as_ref().is_some_and(Acceptor::joined)).count();
            println!("seed {seed}: not one document; {remember} of {COUNCIL} members take part");
        }
        settled += usize::from(same);
        went += world.went;
        swapped += world.swapped;
        done += world.done;
    }
    [went, settled, swapped, done]
}

#[test]
fn bounds_and_halts_hold_whatever_fails_and_all_agree_once_it_is_mended() {
    for (routers, seeds) in [(5, 60), (50, 2)] {
        let [went, settled, swapped, done] = play(0..seeds, routers);
        println!("{routers} routers, {seeds} seeds: {went} went out, {swapped} for a release; {settled} came to one document, {done} with a release done");
        assert!(swapped > 0 && done > 0, "{swapped} went for a release, {done} were done: nothing was shown");
        assert!(went as u64 > seeds, "{went} of {seeds} seeds of {routers}: nothing was shown");
        assert_eq!(settled as u64, seeds, "{routers} routers: all say the same in the end");
    }
}

/// `SEEDS` of fleets of `FLEET`, by hand.
#[test]
#[ignore = "minutes"]
fn the_same_at_any_size() {
    let number =
        |name: &str, otherwise| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(otherwise);
    let (routers, seeds) = (number("FLEET", 300) as usize, number("SEEDS", 4));
    let [went, settled, swapped, done] = play(0..seeds, routers);
    println!(
        "{routers} routers, {seeds} seeds: {went} went out, {swapped} for a release; {settled} came to one document, {done} with a release done"
    );
    assert_eq!(settled as u64, seeds);
}
