//! The phases of a drain: first all balancers are notified while requests are served as usual, then client connections are
//! closed, and then, if the program is to exit, the listeners are closed.

use std::time::Duration;

use crate::Uptime;

/// The phase of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// No drain is in progress.
    Serving,
    /// Balancers are being notified; all requests are served.
    Notifying,
    /// Responses carry `Connection: close` and idle connections are closed; the listeners stay open.
    ClosingConnections,
    /// The router is drained and keeps running; the drain can be revoked.
    Drained,
    /// The listeners are closed; accepted requests are finished.
    ShuttingDown,
}

impl DrainPhase {
    /// Returns the phase's name, as operators see it.
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

/// What a drain is to end in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainGoal {
    /// Serve requests.
    Serve,
    /// Drain and keep running.
    Drain,
    /// Drain, then exit. It can be revoked until the listeners close.
    DrainThenExit,
    /// Exit after a termination signal. It can't be revoked.
    Exit,
}

/// The timing of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainTiming {
    /// Minimum duration of the notification, even without known checkers: a balancer may be between two checks.
    pub min_notify: Duration,
    /// Maximum duration of the notification, as a failed balancer would never check again.
    pub max_notify: Duration,
    /// Time between the last notification and the closing of connections. Requests that a balancer sent before it was
    /// notified arrive within it.
    pub settle: Duration,
    /// Duration of the closing of connections. Connections in use carry one more response, with `Connection: close`.
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

/// The state of a drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainSequence {
    timing: DrainTiming,
    phase: DrainPhase,
    /// Time at which the current phase began.
    since: Uptime,
    /// Time at which all active balancers had been notified of the drain; `None` before.
    notified_at: Option<Uptime>,
    goal: DrainGoal,
    /// Whether the notification was ended by its maximum duration, with balancers not notified.
    notify_timed_out: bool,
}

impl DrainSequence {
    /// Creates the sequence of a serving router.
    pub fn new(timing: DrainTiming) -> DrainSequence {
        let (phase, goal) = (DrainPhase::Serving, DrainGoal::Serve);
        DrainSequence { timing, phase, since: Uptime::ZERO, notified_at: None, goal, notify_timed_out: false }
    }

    /// Replaces the timing.
    pub fn reconfigure(&mut self, timing: DrainTiming) {
        self.timing = timing;
    }

    /// Returns the current phase of the drain.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Returns what the drain is to end in, as last set by [`Self::set_goal`].
    pub fn goal(&self) -> DrainGoal {
        self.goal
    }

    /// Whether the notification reached its maximum duration before all balancers were notified.
    pub fn notify_timed_out(&self) -> bool {
        self.notify_timed_out
    }

    /// Sets the goal. Returns false if the shutdown can't be revoked any more.
    pub fn set_goal(&mut self, now: Uptime, goal: DrainGoal) -> bool {
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

    fn enter(&mut self, now: Uptime, phase: DrainPhase) {
        (self.phase, self.since, self.notified_at) = (phase, now, None);
        self.notify_timed_out &= phase != DrainPhase::Serving;
    }

    /// Advances the drain and returns its phase. `all_notified`: all active balancers have been notified.
    pub fn advance(&mut self, now: Uptime, all_notified: bool) -> DrainPhase {
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
