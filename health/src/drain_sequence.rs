//! How a drain goes: first every balancer is told, while everything else goes on; then connections are
//! parted from; then, if the program is to end, the listeners close.

use std::time::Duration;

use crate::Age;

/// How far a drain has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// None is on.
    Serving,
    /// Balancers are being told; whoever comes is served as ever.
    Notifying,
    /// They have been told: answers carry `Connection: close`, idle connections close, listeners stand.
    ClosingConnections,
    /// Drained by order, and staying: it can be taken back.
    Drained,
    /// The listeners close; what was taken is finished.
    ShuttingDown,
}

impl DrainPhase {
    /// Its name, as operators are told it.
    pub fn name(self) -> &'static str {
        match self {
            DrainPhase::Serving => "serving",
            DrainPhase::Notifying => "telling",
            DrainPhase::ClosingConnections => "parting",
            DrainPhase::Drained => "drained",
            DrainPhase::ShuttingDown => "closing",
        }
    }
}

/// What is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainGoal {
    /// To serve.
    Serve,
    /// To drain, and stay.
    Drain,
    /// To drain, then to end; may be taken back until the listeners close.
    DrainThenExit,
    /// To end: the signal, which nothing takes back.
    Exit,
}

/// The timing that this goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainTiming {
    /// Balancers are told for so long at least, even if none has asked of late: one may be between two checks.
    pub min_notify: Duration,
    /// And for so long at the most: one that has died would never ask.
    pub max_notify: Duration,
    /// From the last telling to the parting: what a balancer had on its way when it was told arrives.
    pub settle: Duration,
    /// The parting takes so long: connections in use carry one more answer, which says that it is the last.
    pub close_connections: Duration,
}

impl Default for DrainTiming {
    fn default() -> Self {
        DrainTiming {
            min_notify: Duration::from_millis(500),
            max_notify: Duration::from_secs(15),
            settle: Duration::from_millis(200),
            close_connections: Duration::from_secs(1),
        }
    }
}

/// A drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainSequence {
    timing: DrainTiming,
    phase: DrainPhase,
    since: Age,
    /// Since when all have been told.
    notified_at: Option<Age>,
    goal: DrainGoal,
    /// The telling was ended by its limit: someone who asks has not heard.
    notify_timed_out: bool,
}

impl DrainSequence {
    /// No drain.
    pub fn new(timing: DrainTiming) -> DrainSequence {
        let (phase, goal) = (DrainPhase::Serving, DrainGoal::Serve);
        DrainSequence { timing, phase, since: Age::ZERO, notified_at: None, goal, notify_timed_out: false }
    }

    /// New timing.
    pub fn reconfigure(&mut self, timing: DrainTiming) {
        self.timing = timing;
    }

    /// The phase.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// What is wanted.
    pub fn goal(&self) -> DrainGoal {
        self.goal
    }

    /// Whether the limit of the telling came before all had heard.
    pub fn notify_timed_out(&self) -> bool {
        self.notify_timed_out
    }

    /// Something else is wanted. False: it can't be had any more.
    pub fn set_goal(&mut self, now: Age, goal: DrainGoal) -> bool {
        if self.goal == DrainGoal::Exit || self.phase == DrainPhase::ShuttingDown {
            return goal == self.goal || goal == DrainGoal::Exit;
        }
        self.goal = goal;
        match (goal, self.phase) {
            (DrainGoal::Serve, _) => self.enter(now, DrainPhase::Serving),
            (_, DrainPhase::Serving) => self.enter(now, DrainPhase::Notifying),
            _ => {}
        }
        true
    }

    fn enter(&mut self, now: Age, phase: DrainPhase) {
        (self.phase, self.since, self.notified_at) = (phase, now, None);
        self.notify_timed_out &= phase != DrainPhase::Serving;
    }

    /// Goes on; `all_notified`: every balancer that asks has heard.
    pub fn advance(&mut self, now: Age, all_notified: bool) -> DrainPhase {
        let (timing, age) = (self.timing, now.saturating_sub(self.since));
        match self.phase {
            DrainPhase::Notifying => {
                match (all_notified, self.notified_at) {
                    (true, None) => self.notified_at = Some(now),
                    (false, _) => self.notified_at = None,
                    _ => {}
                }
                let settled = self.notified_at.is_some_and(|at| now.saturating_sub(at) >= timing.settle);
                if (settled && age >= timing.min_notify) || age >= timing.max_notify {
                    self.notify_timed_out = !all_notified;
                    self.enter(now, DrainPhase::ClosingConnections);
                }
            }
            DrainPhase::ClosingConnections if age >= timing.close_connections => {
                let ends = matches!(self.goal, DrainGoal::DrainThenExit | DrainGoal::Exit);
                self.enter(now, if ends { DrainPhase::ShuttingDown } else { DrainPhase::Drained });
            }
            DrainPhase::Drained if matches!(self.goal, DrainGoal::DrainThenExit | DrainGoal::Exit) => {
                self.enter(now, DrainPhase::ShuttingDown);
            }
            _ => {}
        }
        self.phase
    }
}
