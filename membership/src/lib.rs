//! Who of a fleet of routers lives, as one that hears their beats sees it. No input or output; the time is handed in
//! and is monotonic, ns.
//!
//! Each router sends a beat to each member of the council, which is of fixed size: a router's cost does not grow with
//! the fleet, and what counts is decided where agreement is (`tallypin-consensus` asks a majority of the council what
//! each has heard). `docs/FLEET-DESIGN.md` has the options weighed.
//!
//! A life is one start of a router's process. A later life ends the earlier one at once; a beat of an earlier life
//! that comes late is no beat.

use serde::{Deserialize, Serialize};

/// A point in time, ns; monotonic.
pub type Nanos = u64;

/// A router's place in the list of the fleet's settings.
pub type RouterIndex = u16;

/// What a router says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdvertisedStatus {
    /// It serves.
    Serving,
    /// It has just started and does not serve yet.
    Starting,
    /// It drains, or has drained.
    Draining,
    /// It ends as planned: silence is expected from now on.
    Ending,
}

/// What is believed of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerStatus {
    /// Never heard since this table began, and that is not long ago.
    Unknown,
    /// LastHeartbeat of late.
    #[serde(rename = "here")]
    Alive(AdvertisedStatus),
    /// Not heard for too long.
    Silent,
}

impl PeerStatus {
    /// Whether it counts as out of service: all but one that serves, or that nothing is known of yet.
    pub fn is_out_of_service(self) -> bool {
        !matches!(self, PeerStatus::Alive(AdvertisedStatus::Serving) | PeerStatus::Unknown)
    }
}

/// The figures that this goes by, ns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// A beat comes so often.
    pub interval: Nanos,
    /// Without one for so long a router is silent. Several beats, so that one that is lost or late is no silence.
    pub silence_limit: Nanos,
}

#[derive(Debug, Clone, Copy)]
struct LastHeartbeat {
    incarnation: u64,
    received_at: Nanos,
    advertised: AdvertisedStatus,
}

/// What one member of the council has heard.
#[derive(Debug)]
pub struct FailureDetector {
    timing: HeartbeatTiming,
    heard: Vec<Option<LastHeartbeat>>,
    /// Since when it listens without a gap of its own.
    listening_since: Nanos,
    last_clock: Nanos,
}

impl FailureDetector {
    /// A table of so many routers, from `now` on.
    pub fn new(figures: HeartbeatTiming, routers: usize, now: Nanos) -> FailureDetector {
        FailureDetector { timing: figures, heard: vec![None; routers], listening_since: now, last_clock: now }
    }

    /// Called at least once a beat, and before anything is told. Who was stopped itself for longer has heard nobody in
    /// that time, and that is its own fault: all get a whole term again before any is called silent.
    pub fn note_clock(&mut self, now: Nanos) {
        if now.saturating_sub(self.last_clock) > self.timing.silence_limit / 2 {
            self.listening_since = now;
        }
        self.last_clock = self.last_clock.max(now);
    }

    /// A router's beat. False: of an earlier life than one known, or of no router of the fleet.
    pub fn record_heartbeat(
        &mut self,
        now: Nanos,
        from: RouterIndex,
        life: u64,
        says: AdvertisedStatus,
    ) -> bool {
        self.note_clock(now);
        let Some(heard) = self.heard.get_mut(usize::from(from)) else { return false };
        if heard.is_some_and(|h| h.incarnation > life) {
            return false;
        }
        *heard = Some(LastHeartbeat { incarnation: life, received_at: now, advertised: says });
        true
    }

    /// What is believed of a router.
    pub fn status(&self, now: Nanos, of: RouterIndex) -> PeerStatus {
        let heard = self.heard.get(usize::from(of)).copied().flatten();
        let since = heard.map_or(self.listening_since, |h| h.received_at.max(self.listening_since));
        let silent = now.saturating_sub(since) > self.timing.silence_limit;
        match heard {
            // It has said that it goes: its silence is no news, and it is out either way.
            Some(LastHeartbeat { advertised: AdvertisedStatus::Ending, .. }) => {
                PeerStatus::Alive(AdvertisedStatus::Ending)
            }
            _ if silent => PeerStatus::Silent,
            Some(h) => PeerStatus::Alive(h.advertised),
            None => PeerStatus::Unknown,
        }
    }

    /// Whether a router has said that it ends, and has not been heard for a whole term since: nothing of it runs.
    pub fn has_left(&self, now: Nanos, of: RouterIndex) -> bool {
        let heard = self.heard.get(usize::from(of)).copied().flatten();
        heard.is_some_and(|h| {
            h.advertised == AdvertisedStatus::Ending
                && now.saturating_sub(h.received_at) > self.timing.silence_limit
        })
    }

    /// The life in which a router was heard last, if it is not silent, and whether it serves.
    pub fn live_peer(&self, now: Nanos, of: RouterIndex) -> Option<(u64, bool)> {
        let heard = self.heard.get(usize::from(of)).copied().flatten()?;
        match self.status(now, of) {
            PeerStatus::Alive(says) => Some((heard.incarnation, says == AdvertisedStatus::Serving)),
            _ => None,
        }
    }

    /// All routers that count as out.
    pub fn out_of_service(&mut self, now: Nanos) -> Vec<RouterIndex> {
        self.note_clock(now);
        let all = 0..self.heard.len() as RouterIndex;
        all.filter(|&r| self.status(now, r).is_out_of_service()).collect()
    }

    /// Whether this table may be asked at all: one that has just begun, or was stopped, knows nobody's silence.
    pub fn can_detect_silence(&self, now: Nanos) -> bool {
        now.saturating_sub(self.listening_since) > self.timing.silence_limit
    }
}

#[cfg(test)]
mod tests;
