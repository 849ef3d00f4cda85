//! How a drain goes: first every balancer is told, while everything else goes on; then connections are
//! parted from; then, if the program is to end, the listeners close.

use std::time::Duration;

use crate::Age;

/// How far a drain has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// None is on.
    Serving,
    /// Balancers are being told; whoever comes is served as ever.
    Telling,
    /// They have been told: answers carry `Connection: close`, idle connections close, listeners stand.
    Parting,
    /// Drained by order, and staying: it can be taken back.
    Drained,
    /// The listeners close; what was taken is finished.
    Closing,
}

/// What is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wish {
    /// To serve.
    Serve,
    /// To drain, and stay.
    Drain,
    /// To drain, then to end; may be taken back until the listeners close.
    DrainAndEnd,
    /// To end: the signal, which nothing takes back.
    End,
}

/// The figures that this goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Figures {
    /// Balancers are told for so long at least, even if none has asked of late: one may be between two checks.
    pub least: Duration,
    /// And for so long at the most: one that has died would never ask.
    pub most: Duration,
    /// From the last telling to the parting: what a balancer had on its way when it was told arrives.
    pub settle: Duration,
    /// The parting takes so long: connections in use carry one more answer, which says that it is the last.
    pub parting: Duration,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            least: Duration::from_millis(500),
            most: Duration::from_secs(15),
            settle: Duration::from_millis(200),
            parting: Duration::from_secs(1),
        }
    }
}

/// A drain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    figures: Figures,
    phase: Phase,
    since: Age,
    /// Since when all have been told.
    told: Option<Age>,
    wish: Wish,
    /// The telling was ended by its limit: someone who asks has not heard.
    untold: bool,
}

impl Plan {
    /// No drain.
    pub fn new(figures: Figures) -> Plan {
        let (phase, wish) = (Phase::Serving, Wish::Serve);
        Plan { figures, phase, since: Age::ZERO, told: None, wish, untold: false }
    }

    /// New figures.
    pub fn adopt(&mut self, figures: Figures) {
        self.figures = figures;
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// What is wanted.
    pub fn wish(&self) -> Wish {
        self.wish
    }

    /// Whether the limit of the telling came before all had heard.
    pub fn untold(&self) -> bool {
        self.untold
    }

    /// Something else is wanted. False: it can't be had any more.
    pub fn want(&mut self, now: Age, wish: Wish) -> bool {
        if self.wish == Wish::End || self.phase == Phase::Closing {
            return wish == self.wish || wish == Wish::End;
        }
        self.wish = wish;
        match (wish, self.phase) {
            (Wish::Serve, _) => self.enter(now, Phase::Serving),
            (_, Phase::Serving) => self.enter(now, Phase::Telling),
            _ => {}
        }
        true
    }

    fn enter(&mut self, now: Age, phase: Phase) {
        (self.phase, self.since, self.told) = (phase, now, None);
        self.untold &= phase != Phase::Serving;
    }

    /// Goes on; `all_told`: every balancer that asks has heard.
    pub fn step(&mut self, now: Age, all_told: bool) -> Phase {
        let (f, age) = (self.figures, now.saturating_sub(self.since));
        match self.phase {
            Phase::Telling => {
                match (all_told, self.told) {
                    (true, None) => self.told = Some(now),
                    (false, _) => self.told = None,
                    _ => {}
                }
                let settled = self.told.is_some_and(|at| now.saturating_sub(at) >= f.settle);
                if (settled && age >= f.least) || age >= f.most {
                    self.untold = !all_told;
                    self.enter(now, Phase::Parting);
                }
            }
            Phase::Parting if age >= f.parting => {
                let ends = matches!(self.wish, Wish::DrainAndEnd | Wish::End);
                self.enter(now, if ends { Phase::Closing } else { Phase::Drained });
            }
            Phase::Drained if matches!(self.wish, Wish::DrainAndEnd | Wish::End) => {
                self.enter(now, Phase::Closing);
            }
            _ => {}
        }
        self.phase
    }
}
