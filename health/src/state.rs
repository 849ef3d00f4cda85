//! State and weight from what was measured.
//!
//! What is common to all routers (the fleet cold, full or gone, the node list late) makes a router say
//! *degraded* at the most: all would say *down* together, and leave the balancer nobody. *Down* takes trouble
//! that is the router's own, and the proof of it is a witness: another router that serves now, well after this
//! one last could. Two routers can't be each other's witness, as each would have to serve and not to serve.

use std::fmt;
use std::time::Duration;

use crate::Age;

/// What an operator has ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Order {
    /// Serve.
    #[default]
    Ready,
    /// Finish what is there, take nothing new.
    Drain,
    /// Out of service.
    Maint,
}

/// The model nodes as this router sees them.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Fleet {
    /// Nodes of the list that take work.
    pub ready: usize,
    /// Those of them that are cold.
    pub cold: usize,
    /// Those of them that this router excludes.
    pub excluded: usize,
    /// The share of the ready nodes' capacity that can be used: cold nodes count with what they can do at the
    /// moment, excluded ones not at all. 0 to 1.
    pub usable: f64,
    /// The node list has said nothing for so long; `None` while it is followed.
    pub list_lost: Option<Duration>,
}

/// What was measured since the last step, and what stands now.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Signals {
    /// The operator's order.
    pub order: Order,
    /// The most weight that the operator allows, 1 to 100.
    pub most: u8,
    /// The program has been told to end.
    pub ending: bool,
    /// The model nodes.
    pub fleet: Fleet,
    /// Open requests.
    pub open: usize,
    /// Open requests that the fleet, warm and whole, is worth to one router.
    pub room: usize,
    /// Free share of the places for clients, 0 to 1.
    pub clients_free: f64,
    /// Free share of the budget for bodies, 0 to 1.
    pub bodies_free: f64,
    /// Free share of the connections to model nodes, 0 to 1.
    pub links_free: f64,
    /// How late the one thread came to what was due, at the worst.
    pub late: Duration,
    /// Requests taken since the last step.
    pub taken: u64,
    /// Refused for want of room.
    pub refused_room: u64,
    /// Refused as over a partner's share: says nothing of the router.
    pub refused_share: u64,
    /// Attempts that ended well, or at least were answered by a node.
    pub answered: u64,
    /// Attempts that no node answered: refused, reset, timed out.
    pub unanswered: u64,
    /// When another router last told that it serves.
    pub witness: Option<Age>,
}

/// The state told to balancers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// All is well.
    Up,
    /// It serves, not as well as it should.
    Degraded,
    /// It finishes what it has and wants nothing new.
    Drain,
    /// It is out of service by order.
    Maint,
    /// It can't serve, and another router can.
    Down,
}

impl State {
    /// New requests are welcome.
    pub fn serves(self) -> bool {
        matches!(self, State::Up | State::Degraded)
    }

    /// The state's name.
    pub fn name(self) -> &'static str {
        match self {
            State::Up => "up",
            State::Degraded => "degraded",
            State::Drain => "drain",
            State::Maint => "maint",
            State::Down => "down",
        }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Nothing is wrong.
    Well,
    /// It has just started and takes up work gradually.
    Started,
    /// The operator allows so much.
    Ordered,
    /// The operator's drain.
    Draining,
    /// The operator's maintenance.
    Maintained,
    /// The program is ending.
    Ending,
    /// The thread is late.
    Late,
    /// Places for clients run out.
    Clients,
    /// Room for bodies runs out.
    Bodies,
    /// Connections to model nodes run out.
    Links,
    /// It excludes many model nodes.
    Excluded,
    /// It refuses much for want of room.
    Refusing,
    /// Its requests are as many as the fleet can carry now.
    Crowded,
    /// All model nodes are cold.
    Cold,
    /// The node list is late.
    ListLate,
    /// No model node takes work.
    NoNodes,
    /// No model node answers.
    Unanswered,
    /// No model node answers this router, and another router serves.
    Alone,
}

impl Cause {
    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            Cause::Well => "well",
            Cause::Started => "started a moment ago",
            Cause::Ordered => "weight set by the operator",
            Cause::Draining => "drained by the operator",
            Cause::Maintained => "in maintenance",
            Cause::Ending => "ending",
            Cause::Late => "the thread runs late",
            Cause::Clients => "places for clients run out",
            Cause::Bodies => "room for bodies runs out",
            Cause::Links => "connections to model nodes run out",
            Cause::Excluded => "many model nodes excluded",
            Cause::Refusing => "refusing for want of room",
            Cause::Crowded => "as much open as the model nodes can carry",
            Cause::Cold => "every model node is cold",
            Cause::ListLate => "the node list is late",
            Cause::NoNodes => "no model node takes work",
            Cause::Unanswered => "no model node answers",
            Cause::Alone => "no model node answers here while another router serves",
        }
    }
}

/// State, weight and cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assessment {
    /// The state.
    pub state: State,
    /// The weight wanted, 1 to 100.
    pub weight: u8,
    /// The cause.
    pub cause: Cause,
}

/// The figures that the decision goes by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// The least weight of a router that serves, 0 to 1.
    pub floor: f64,
    /// A router just started reaches its weight in so long.
    pub slow_start: Duration,
    /// The weight changes by so much a second at the most, 0 to 1.
    pub step: f64,
    /// A difference below this changes nothing, 0 to 1.
    pub band: f64,
    /// What is measured is smoothed over so long.
    pub smooth: Duration,
    /// Below this weight the state is degraded; it is up again at so much more as `band` doubled.
    pub degraded: f64,
    /// A state is kept for so long at least; orders and the end don't wait.
    pub dwell: Duration,
    /// Free shares above this are ample.
    pub tight: f64,
    /// The thread may be so late without harm.
    pub late: Duration,
    /// The node list may be lost for so long without a word of it.
    pub list_late: Duration,
    /// So many attempts without an answer in a row, none answered between, are no chance.
    pub failures: u64,
    /// A witness must have served so long after the own last answer.
    pub witness_after: Duration,
    /// And have been heard within this.
    pub witness_fresh: Duration,
    /// A router that is down tries again after this.
    pub retry: Duration,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            floor: 0.01,
            slow_start: Duration::from_secs(10),
            step: 0.25,
            band: 0.04,
            smooth: Duration::from_secs(1),
            degraded: 0.5,
            dwell: Duration::from_secs(2),
            tight: 0.25,
            late: Duration::from_millis(20),
            list_late: Duration::from_secs(10),
            failures: 20,
            witness_after: Duration::from_secs(6),
            witness_fresh: Duration::from_secs(3),
            retry: Duration::from_secs(10),
        }
    }
}

/// Decides state and weight, step by step.
#[derive(Debug, Clone)]
pub struct Assessor {
    figures: Figures,
    started: Option<Age>,
    last: Option<Age>,
    /// What was measured, smoothed; 0 to 1.
    smoothed: f64,
    /// The weight before the operator's bound and the slow start.
    weight: f64,
    refusing: f64,
    /// Attempts without an answer since the last one with.
    unanswered: u64,
    last_answered: Age,
    down_since: Option<Age>,
    told: Assessment,
    told_since: Age,
}

/// A gap longer than this between two steps counts as this: what was not measured moves nothing.
const LONGEST_STEP: Duration = Duration::from_secs(1);

impl Assessor {
    /// Nothing measured yet: it starts at the floor.
    pub fn new(figures: Figures) -> Assessor {
        let weight = percent(figures.floor);
        Assessor {
            started: None,
            last: None,
            smoothed: 1.0,
            weight: 1.0,
            refusing: 0.0,
            unanswered: 0,
            last_answered: Age::ZERO,
            down_since: None,
            told: Assessment { state: State::Degraded, weight, cause: Cause::Started },
            told_since: Age::ZERO,
            figures,
        }
    }

    /// New figures; what was measured stays.
    pub fn adopt(&mut self, figures: Figures) {
        self.figures = figures;
    }

    /// What was decided last.
    pub fn told(&self) -> Assessment {
        self.told
    }

    /// Takes what was measured, and decides.
    pub fn step(&mut self, now: Age, signals: &Signals) -> Assessment {
        let f = self.figures;
        let passed = now.saturating_sub(self.last.unwrap_or(now)).min(LONGEST_STEP).as_secs_f64();
        self.last = Some(now);
        if self.started.is_none() && signals.fleet.ready > 0 {
            self.started = Some(now);
        }
        let (target, mut cause) = self.target(signals, passed);
        self.follow(target, passed);
        if self.unanswered_for(now, signals) {
            cause = Cause::Unanswered;
        }
        let mut weight = self.weight;
        let age = self.started.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let risen = match f.slow_start.as_secs_f64() {
            long if long > 0.0 => (age.as_secs_f64() / long).min(1.0),
            _ => f64::from(u8::from(self.started.is_some())),
        };
        if risen < weight {
            (weight, cause) = (risen, if cause == Cause::Well { Cause::Started } else { cause });
        }
        let most = f64::from(signals.most.clamp(1, 100)) / 100.0;
        if most < weight {
            (weight, cause) = (most, if cause == Cause::Well { Cause::Ordered } else { cause });
        }
        let state = self.state(now, signals, cause);
        // An order and the end are no matter of degree.
        let (state, cause, at_once) = match (signals.ending, signals.order) {
            (true, _) => (State::Drain, Cause::Ending, true),
            (_, Order::Maint) => (State::Maint, Cause::Maintained, true),
            (_, Order::Drain) => (State::Drain, Cause::Draining, true),
            _ => (state, if state == State::Down { Cause::Alone } else { cause }, false),
        };
        let before = self.told.state;
        let ordered = !before.serves() && before != State::Down;
        let may = at_once || ordered || now.saturating_sub(self.told_since) >= f.dwell;
        if state != before && may {
            self.told_since = now;
            self.told.state = state;
        }
        self.told.cause = cause;
        self.told.weight = percent(weight.max(f.floor));
        self.told
    }

    /// What the router's own means allow, and the scarcest of them.
    fn target(&mut self, s: &Signals, passed: f64) -> (f64, Cause) {
        let f = &self.figures;
        let ample = |free: f64| if f.tight > 0.0 { (free / f.tight).clamp(0.0, 1.0) } else { 1.0 };
        let late = match (s.late, f.late) {
            (late, most) if late <= most => 1.0,
            (late, most) => (most.as_secs_f64() / late.as_secs_f64()).clamp(0.0, 1.0),
        };
        // Who was over its share would have been refused anywhere.
        let asked = s.taken.saturating_sub(s.refused_share);
        if asked > 0 {
            let share = (s.refused_room as f64 / asked as f64).min(1.0);
            self.refusing += (share - self.refusing) * (passed / 2.0).min(1.0);
        } else {
            self.refusing *= 1.0 - (passed / 4.0).min(1.0);
        }
        let carry = s.room as f64 * s.fleet.usable.clamp(0.0, 1.0);
        let crowd = if carry > 0.0 { s.open as f64 / carry } else { 0.0 };
        let excluded = match s.fleet.ready {
            0 => 1.0,
            ready => 1.0 - s.fleet.excluded.min(ready) as f64 / ready as f64,
        };
        let factors = [
            (late, Cause::Late),
            (ample(s.clients_free), Cause::Clients),
            (ample(s.bodies_free), Cause::Bodies),
            (ample(s.links_free), Cause::Links),
            (excluded, Cause::Excluded),
            (1.0 - self.refusing / 2.0, Cause::Refusing),
            // From three quarters on, down to a quarter at twice of what can be carried.
            ((1.75 - crowd).clamp(0.25, 1.0), Cause::Crowded),
        ];
        let least = factors.into_iter().fold((1.0, Cause::Well), |a, b| if b.0 < a.0 { b } else { a });
        // What is common to all routers is told, and lowers no weight.
        let lost = s.fleet.list_lost.is_some_and(|d| d > f.list_late);
        let common = match s.fleet {
            Fleet { ready: 0, .. } => Some(Cause::NoNodes),
            _ if lost => Some(Cause::ListLate),
            Fleet { ready, cold, .. } if cold >= ready => Some(Cause::Cold),
            _ => None,
        };
        match common {
            Some(cause) if least.0 > f.degraded => (least.0, cause),
            _ => least,
        }
    }

    /// Follows a target: smoothed, with play, and no faster than the step. The play is what keeps noise from
    /// moving the weight: it changes only when what is measured leaves a band around it, and then only so far.
    fn follow(&mut self, target: f64, passed: f64) {
        let f = &self.figures;
        let share = match f.smooth.as_secs_f64() {
            long if long > 0.0 => 1.0 - (-passed / long).exp(),
            _ => 1.0,
        };
        self.smoothed += (target - self.smoothed) * share;
        // Stretched a little, so that the play does not keep it from either end.
        let wanted = self.smoothed * (1.0 + 2.0 * f.band) - f.band;
        let within = self.weight.clamp(wanted - f.band, wanted + f.band).clamp(0.0, 1.0);
        let most = f.step * passed;
        self.weight += (within - self.weight).clamp(-most, most);
    }

    /// Counts what no node answered; true if that is no chance any more.
    fn unanswered_for(&mut self, now: Age, s: &Signals) -> bool {
        if s.answered > 0 {
            (self.unanswered, self.last_answered) = (0, now);
        } else {
            self.unanswered = self.unanswered.saturating_add(s.unanswered);
        }
        self.unanswered >= self.figures.failures
    }

    fn state(&mut self, now: Age, s: &Signals, cause: Cause) -> State {
        let f = &self.figures;
        let proof = s.witness.is_some_and(|at| {
            at >= self.last_answered.saturating_add(f.witness_after)
                && now.saturating_sub(at) <= f.witness_fresh
        });
        match self.down_since {
            // After a while it has to be tried: a router that is down gets no requests that could show more.
            Some(since) if now.saturating_sub(since) >= f.retry => {
                (self.down_since, self.unanswered, self.last_answered) = (None, 0, now);
            }
            // Without the witness nobody else may be left.
            Some(_) if s.witness.is_none_or(|at| now.saturating_sub(at) > f.witness_fresh) => {
                self.down_since = None;
            }
            Some(_) => return State::Down,
            None if self.unanswered >= f.failures && proof => {
                self.down_since = Some(now);
                return State::Down;
            }
            None => {}
        }
        let serious = matches!(cause, Cause::Unanswered | Cause::NoNodes | Cause::Cold | Cause::ListLate);
        // Up again only when it is clearly so.
        let line = match self.told.state {
            State::Up => f.degraded,
            _ => (f.degraded + 2.0 * f.band).min(1.0),
        };
        if serious || self.weight < line || self.started.is_none() {
            State::Degraded
        } else {
            State::Up
        }
    }
}

fn percent(weight: f64) -> u8 {
    (weight * 100.0).round().clamp(1.0, 100.0) as u8
}
