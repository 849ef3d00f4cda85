//! The balancers that ask: who they are, how often each asks, and which of them have yet to hear of a drain.

use std::net::IpAddr;
use std::time::Duration;

use crate::Age;

/// By which protocol something asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The agent check.
    Agent,
    /// A check over HTTP.
    Http,
    /// gRPC `Check` or `List`.
    Grpc,
    /// gRPC `Watch`: told as it happens.
    Watch,
}

impl Kind {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Agent => "agent",
            Kind::Http => "http",
            Kind::Grpc => "grpc",
            Kind::Watch => "watch",
        }
    }
}

/// Who asks: a balancer may ask by several protocols, and each counts by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Who {
    /// From where.
    pub ip: IpAddr,
    /// How.
    pub kind: Kind,
}

/// The figures that this goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Figures {
    /// So many askers are known at once; the one silent for longest makes room.
    pub most: usize,
    /// Whoever has been silent for so many of its intervals has stopped asking,
    pub intervals: u32,
    /// and for an asker that asked only once, the interval is taken for this.
    pub unknown: Duration,
    /// No interval is taken for longer than this: a balancer that asks so seldom is not waited for.
    pub longest: Duration,
    /// An asker by HTTP or gRPC has heard of a drain when it was told so often: balancers count failures.
    pub times: u32,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            most: 64,
            intervals: 3,
            unknown: Duration::from_secs(2),
            longest: Duration::from_secs(30),
            times: 1,
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
struct Asker {
    who: Who,
    last: Age,
    /// The longest of late, smoothed downwards: what counts is when it will have asked once more for sure.
    interval: Option<Duration>,
    /// How often it was told of the drain that goes on.
    told: u32,
}

/// One asker, for showing.
#[derive(Debug, Clone, PartialEq)]
pub struct Shown {
    /// Who.
    pub who: Who,
    /// Asked last so long ago.
    pub ago: Duration,
    /// Asks so often, as far as is known.
    pub interval: Option<Duration>,
    /// Has heard of the drain that goes on.
    pub told: bool,
}

/// All askers of late.
#[derive(Debug, Clone)]
pub struct Askers {
    figures: Figures,
    all: Vec<Asker>,
    /// Since when a drain is told.
    draining: Option<Age>,
}

impl Askers {
    /// Nobody has asked.
    pub fn new(figures: Figures) -> Askers {
        Askers { figures, all: Vec::new(), draining: None }
    }

    /// New figures.
    pub fn adopt(&mut self, figures: Figures) {
        self.figures = figures;
    }

    /// Someone has asked, and was told the state as it is now.
    pub fn asked(&mut self, now: Age, who: Who) {
        let draining = self.draining.is_some();
        if let Some(a) = self.all.iter_mut().find(|a| a.who == who) {
            let since = now.saturating_sub(a.last);
            // Two workers of one balancer that ask close together are one asker with the longer interval. A
            // long silence is no interval: it had stopped.
            let forgot = match a.interval {
                Some(known) => known.saturating_mul(self.figures.intervals).max(self.figures.unknown),
                None => self.figures.longest,
            };
            a.interval = match a.interval {
                _ if since > forgot => None,
                None => Some(since),
                Some(before) if since >= before => Some(since),
                Some(before) => Some(before - (before - since) / 8),
            };
            a.last = now;
            a.told = if draining { a.told.saturating_add(1) } else { 0 };
            return;
        }
        if self.all.len() >= self.figures.most.max(1) {
            let oldest = self.all.iter().enumerate().min_by_key(|(_, a)| a.last).map(|(i, _)| i);
            oldest.map(|i| self.all.swap_remove(i));
        }
        self.all.push(Asker { who, last: now, interval: None, told: u32::from(draining) });
    }

    /// A watcher has gone: nobody is there to be told.
    pub fn left(&mut self, who: Who) {
        self.all.retain(|a| a.who != who);
    }

    /// From now on a drain is told.
    pub fn drain(&mut self, now: Age) {
        if self.draining.is_none() {
            self.draining = Some(now);
            self.all.iter_mut().for_each(|a| a.told = 0);
        }
    }

    /// The drain was taken back.
    pub fn undrain(&mut self) {
        self.draining = None;
        self.all.iter_mut().for_each(|a| a.told = 0);
    }

    fn interval(&self, a: &Asker) -> Duration {
        a.interval.unwrap_or(self.figures.unknown).min(self.figures.longest)
    }

    fn asks(&self, a: &Asker, now: Age) -> bool {
        let silent = now.saturating_sub(a.last);
        a.who.kind == Kind::Watch || silent <= self.interval(a).saturating_mul(self.figures.intervals)
    }

    fn heard(&self, a: &Asker) -> bool {
        let times = match a.who.kind {
            // What these say takes effect at once.
            Kind::Agent | Kind::Watch => 1,
            Kind::Http | Kind::Grpc => self.figures.times.max(1),
        };
        a.told >= times
    }

    /// Whether everyone who still asks has heard of the drain.
    pub fn all_told(&self, now: Age) -> bool {
        self.all.iter().all(|a| self.heard(a) || !self.asks(a, now))
    }

    /// Who has asked of late, the latest first.
    pub fn show(&self, now: Age) -> Vec<Shown> {
        let mut all: Vec<Shown> = self
            .all
            .iter()
            .filter(|a| self.asks(a, now))
            .map(|a| Shown {
                who: a.who,
                ago: now.saturating_sub(a.last),
                interval: a.interval,
                told: self.draining.is_some() && self.heard(a),
            })
            .collect();
        all.sort_by_key(|s| s.ago);
        all
    }
}
