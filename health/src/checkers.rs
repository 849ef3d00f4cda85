//! The checkers, which are the balancers that send health checks: their check intervals, and which of them have been
//! notified of a drain.

use std::net::IpAddr;
use std::time::Duration;

use crate::Uptime;

/// The protocol of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CheckProtocol {
    /// HAProxy's agent check.
    Agent,
    /// A check over HTTP.
    Http,
    /// gRPC `Check` or `List`.
    Grpc,
    /// gRPC `Watch`, which is notified of each change.
    Watch,
}

impl CheckProtocol {
    /// Returns the protocol's name, as `show` prints it.
    pub fn name(self) -> &'static str {
        match self {
            CheckProtocol::Agent => "agent",
            CheckProtocol::Http => "http",
            CheckProtocol::Grpc => "grpc",
            CheckProtocol::Watch => "watch",
        }
    }
}

/// Identifies a checker. A balancer that uses several protocols is one checker per protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CheckerId {
    /// The balancer's address.
    pub ip: IpAddr,
    /// The protocol of its checks.
    pub protocol: CheckProtocol,
}

/// The limits by which checkers are tracked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckerLimits {
    /// Maximum number of checkers. A new one replaces the one that has been silent for longest.
    pub max_checkers: usize,
    /// Number of its intervals after which a silent checker counts as gone.
    pub silent_intervals: u32,
    /// Interval assumed for a checker that has sent only one check.
    pub default_interval: Duration,
    /// Maximum interval. A drain does not wait for balancers that check less often.
    pub max_interval: Duration,
    /// Number of answers after which an HTTP or gRPC checker counts as notified of a drain. Balancers require a number of
    /// failed checks before they take a server out of service.
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
    last_check: Uptime,
    /// The check interval. It follows longer intervals immediately and shorter ones slowly, so that another check can be
    /// expected within it.
    interval: Option<Duration>,
    /// Number of answers that the checker has received since the drain began.
    notified: u32,
}

/// The status of a checker, as `show` prints it.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckerStatus {
    /// Identity of the checker.
    pub id: CheckerId,
    /// Time since its last check.
    pub last_check_ago: Duration,
    /// Interval between its checks; `None` until it is known.
    pub interval: Option<Duration>,
    /// Whether the checker has been notified of the drain in progress.
    pub notified: bool,
}

/// The known checkers.
#[derive(Debug, Clone)]
pub struct CheckerRegistry {
    limits: CheckerLimits,
    checkers: Vec<Checker>,
    /// When the drain in progress began; `None` without a drain.
    draining_since: Option<Uptime>,
}

impl CheckerRegistry {
    /// Creates a registry without checkers.
    pub fn new(limits: CheckerLimits) -> CheckerRegistry {
        CheckerRegistry { limits, checkers: Vec::new(), draining_since: None }
    }

    /// Replaces the limits.
    pub fn reconfigure(&mut self, limits: CheckerLimits) {
        self.limits = limits;
    }

    /// Records an answered check. The checker has received the current state with the answer.
    pub fn record_check(&mut self, now: Uptime, id: CheckerId) {
        let draining = self.draining_since.is_some();
        if let Some(checker) = self.checkers.iter_mut().find(|checker| checker.id == id) {
            let since = now.saturating_sub(checker.last_check);
            // Two workers of one balancer that check in quick succession count as one checker with the longer interval. A
            // longer silence than `max_gap` is not an interval: the checker had stopped.
            let max_gap = match checker.interval {
                Some(known) => {
                    known.saturating_mul(self.limits.silent_intervals).max(self.limits.default_interval)
                }
                None => self.limits.max_interval,
            };
            checker.interval = match checker.interval {
                _ if since > max_gap => None,
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

    /// Removes a checker, such as a watcher whose watch has ended.
    pub fn remove(&mut self, id: CheckerId) {
        self.checkers.retain(|checker| checker.id != id);
    }

    /// Begins a drain, of which no checker has been notified yet.
    pub fn begin_drain(&mut self, now: Uptime) {
        if self.draining_since.is_none() {
            self.draining_since = Some(now);
            self.checkers.iter_mut().for_each(|checker| checker.notified = 0);
        }
    }

    /// Cancels the drain.
    pub fn cancel_drain(&mut self) {
        self.draining_since = None;
        self.checkers.iter_mut().for_each(|checker| checker.notified = 0);
    }

    fn interval(&self, checker: &Checker) -> Duration {
        checker.interval.unwrap_or(self.limits.default_interval).min(self.limits.max_interval)
    }

    fn is_active(&self, checker: &Checker, now: Uptime) -> bool {
        let silent = now.saturating_sub(checker.last_check);
        checker.id.protocol == CheckProtocol::Watch
            || silent <= self.interval(checker).saturating_mul(self.limits.silent_intervals)
    }

    fn is_notified(&self, checker: &Checker) -> bool {
        let required = match checker.id.protocol {
            // A balancer applies the state in an agent check's or a watch's answer immediately, so one answer is enough.
            CheckProtocol::Agent | CheckProtocol::Watch => 1,
            CheckProtocol::Http | CheckProtocol::Grpc => self.limits.notifications.max(1),
        };
        checker.notified >= required
    }

    /// Whether all active checkers have been notified of the drain.
    pub fn all_notified(&self, now: Uptime) -> bool {
        self.checkers.iter().all(|checker| self.is_notified(checker) || !self.is_active(checker, now))
    }

    /// Returns the status of the active checkers, the one with the latest check first.
    pub fn statuses(&self, now: Uptime) -> Vec<CheckerStatus> {
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
