//! The balancers that ask: who they are, how often each asks, and which of them have yet to hear of a drain.

use std::net::IpAddr;
use std::time::Duration;

use crate::Age;

/// By which protocol something asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CheckProtocol {
    /// The agent check.
    Agent,
    /// A check over HTTP.
    Http,
    /// gRPC `Check` or `List`.
    Grpc,
    /// gRPC `Watch`: told as it happens.
    Watch,
}

impl CheckProtocol {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            CheckProtocol::Agent => "agent",
            CheckProtocol::Http => "http",
            CheckProtocol::Grpc => "grpc",
            CheckProtocol::Watch => "watch",
        }
    }
}

/// Who asks: a balancer may ask by several protocols, and each counts by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CheckerId {
    /// From where.
    pub ip: IpAddr,
    /// How.
    pub protocol: CheckProtocol,
}

/// The limits that this goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckerLimits {
    /// So many askers are known at once; the one silent for longest makes room.
    pub max_checkers: usize,
    /// Whoever has been silent for so many of its intervals has stopped asking,
    pub silent_intervals: u32,
    /// and for an asker that asked only once, the interval is taken for this.
    pub default_interval: Duration,
    /// No interval is taken for longer than this: a balancer that asks so seldom is not waited for.
    pub max_interval: Duration,
    /// An asker by HTTP or gRPC has heard of a drain when it was told so often: balancers count failures.
    pub notifications: u32,
}

impl Default for CheckerLimits {
    fn default() -> Self {
        CheckerLimits {
            max_checkers: 64,
            silent_intervals: 3,
            default_interval: Duration::from_secs(2),
            max_interval: Duration::from_secs(30),
            notifications: 1,
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
struct Checker {
    id: CheckerId,
    last_check: Age,
    /// The longest of late, smoothed downwards: what counts is when it will have asked once more for sure.
    interval: Option<Duration>,
    /// How often it was told of the drain that goes on.
    notified: u32,
}

/// One asker, for showing.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckerStatus {
    /// Who.
    pub id: CheckerId,
    /// Asked last so long ago.
    pub last_check_ago: Duration,
    /// Asks so often, as far as is known.
    pub interval: Option<Duration>,
    /// Has heard of the drain that goes on.
    pub notified: bool,
}

/// All askers of late.
#[derive(Debug, Clone)]
pub struct CheckerRegistry {
    limits: CheckerLimits,
    checkers: Vec<Checker>,
    /// Since when a drain is told.
    draining_since: Option<Age>,
}

impl CheckerRegistry {
    /// Nobody has asked.
    pub fn new(limits: CheckerLimits) -> CheckerRegistry {
        CheckerRegistry { limits, checkers: Vec::new(), draining_since: None }
    }

    /// New limits.
    pub fn reconfigure(&mut self, limits: CheckerLimits) {
        self.limits = limits;
    }

    /// Someone has asked, and was told the state as it is now.
    pub fn record_check(&mut self, now: Age, id: CheckerId) {
        let draining = self.draining_since.is_some();
        if let Some(checker) = self.checkers.iter_mut().find(|checker| checker.id == id) {
            let since = now.saturating_sub(checker.last_check);
            // Two workers of one balancer that ask close together are one asker with the longer interval. A
            // long silence is no interval: it had stopped.
            let forgot = match checker.interval {
                Some(known) => {
                    known.saturating_mul(self.limits.silent_intervals).max(self.limits.default_interval)
                }
                None => self.limits.max_interval,
            };
            checker.interval = match checker.interval {
                _ if since > forgot => None,
                None => Some(since),
                Some(before) if since >= before => Some(since),
                Some(before) => Some(before - (before - since) / 8),
            };
            checker.last_check = now;
            checker.notified = if draining { checker.notified.saturating_add(1) } else { 0 };
            return;
        }
        if self.checkers.len() >= self.limits.max_checkers.max(1) {
            let oldest = self
                .checkers
                .iter()
                .enumerate()
                .min_by_key(|(_, checker)| checker.last_check)
                .map(|(i, _)| i);
            oldest.map(|i| self.checkers.swap_remove(i));
        }
        self.checkers.push(Checker { id, last_check: now, interval: None, notified: u32::from(draining) });
    }

    /// A watcher has gone: nobody is there to be told.
    pub fn remove(&mut self, id: CheckerId) {
        self.checkers.retain(|checker| checker.id != id);
    }

    /// From now on a drain is told.
    pub fn begin_drain(&mut self, now: Age) {
        if self.draining_since.is_none() {
            self.draining_since = Some(now);
            self.checkers.iter_mut().for_each(|checker| checker.notified = 0);
        }
    }

    /// The drain was taken back.
    pub fn cancel_drain(&mut self) {
        self.draining_since = None;
        self.checkers.iter_mut().for_each(|checker| checker.notified = 0);
    }

    fn interval(&self, checker: &Checker) -> Duration {
        checker.interval.unwrap_or(self.limits.default_interval).min(self.limits.max_interval)
    }

    fn is_active(&self, checker: &Checker, now: Age) -> bool {
        let silent = now.saturating_sub(checker.last_check);
        checker.id.protocol == CheckProtocol::Watch
            || silent <= self.interval(checker).saturating_mul(self.limits.silent_intervals)
    }

    fn is_notified(&self, checker: &Checker) -> bool {
        let times = match checker.id.protocol {
            // What these say takes effect at once.
            CheckProtocol::Agent | CheckProtocol::Watch => 1,
            CheckProtocol::Http | CheckProtocol::Grpc => self.limits.notifications.max(1),
        };
        checker.notified >= times
    }

    /// Whether everyone who still asks has heard of the drain.
    pub fn all_notified(&self, now: Age) -> bool {
        self.checkers.iter().all(|checker| self.is_notified(checker) || !self.is_active(checker, now))
    }

    /// Who has asked of late, the latest first.
    pub fn statuses(&self, now: Age) -> Vec<CheckerStatus> {
        let mut all: Vec<CheckerStatus> = self
            .checkers
            .iter()
            .filter(|checker| self.is_active(checker, now))
            .map(|checker| CheckerStatus {
                id: checker.id,
                last_check_ago: now.saturating_sub(checker.last_check),
                interval: checker.interval,
                notified: self.draining_since.is_some() && self.is_notified(checker),
            })
            .collect();
        all.sort_by_key(|s| s.last_check_ago);
        all
    }
}
