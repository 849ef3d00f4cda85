//! The failure detector of one member of the council.

use std::time::Duration;

use super::{elapsed, AdvertisedStatus, Incarnation, Nanos, PeerStatus, RouterIndex};

/// How often heartbeats come, and when their absence is silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// The time between two heartbeats of a router.
    pub interval: Duration,
    /// How long a router may send none before it is silent: several intervals, so that a heartbeat that is lost or late is
    /// no silence.
    pub silence_limit: Duration,
}

/// Why a heartbeat was not recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeartbeatError {
    /// The fleet has no router of this index.
    #[error("the fleet has no router {0}")]
    UnknownRouter(RouterIndex),
    /// It is of an earlier incarnation than the known one, which this is.
    #[error("the router has started again since, in incarnation {0}")]
    StaleIncarnation(Incarnation),
}

/// A router that is not silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivePeer {
    /// Its latest incarnation.
    pub incarnation: Incarnation,
    /// Whether it says that it serves.
    pub serving: bool,
}

#[derive(Debug, Clone, Copy)]
struct LastHeartbeat {
    incarnation: Incarnation,
    received_at: Nanos,
    advertised: AdvertisedStatus,
}

/// What one member of the council has heard of each router.
///
/// Invariant: a router whose heartbeats are received within [`HeartbeatTiming::silence_limit`] of each other is never
/// silent. All times are of the member's own monotonic clock, in ns.
#[derive(Debug)]
pub struct FailureDetector {
    timing: HeartbeatTiming,
    /// By [`RouterIndex`].
    last: Vec<Option<LastHeartbeat>>,
    /// Since when this member has listened without a pause of its own.
    listening_since: Nanos,
    last_clock: Nanos,
}

impl FailureDetector {
    /// A detector for a fleet of so many routers that begins to listen at `now`.
    pub fn new(timing: HeartbeatTiming, routers: usize, now: Nanos) -> FailureDetector {
        FailureDetector { timing, last: vec![None; routers], listening_since: now, last_clock: now }
    }

    /// Notes that the clock reads `now`: to be called at least once in a heartbeat interval, and before a query.
    ///
    /// A member that was paused itself has received nothing meanwhile, which says nothing of the others: they all get a full
    /// silence limit again.
    pub fn note_clock(&mut self, now: Nanos) {
        if elapsed(now, self.last_clock) > self.timing.silence_limit / 2 {
            self.listening_since = now;
        }
        self.last_clock = self.last_clock.max(now);
    }

    /// Records a router's heartbeat.
    ///
    /// # Errors
    ///
    /// The heartbeat is of an earlier incarnation than one known, or of no router of the fleet. Nothing is recorded.
    pub fn record_heartbeat(
        &mut self,
        now: Nanos,
        from: RouterIndex,
        incarnation: Incarnation,
        advertised: AdvertisedStatus,
    ) -> Result<(), HeartbeatError> {
        self.note_clock(now);
        let last = self.last.get_mut(usize::from(from)).ok_or(HeartbeatError::UnknownRouter(from))?;
        match last {
            Some(known) if known.incarnation > incarnation => {
                Err(HeartbeatError::StaleIncarnation(known.incarnation))
            }
            _ => {
                *last = Some(LastHeartbeat { incarnation, received_at: now, advertised });
                Ok(())
            }
        }
    }

    /// What is believed of a router.
    pub fn status(&self, now: Nanos, router: RouterIndex) -> PeerStatus {
        let last = self.last(router);
        let since = last.map_or(self.listening_since, |last| last.received_at.max(self.listening_since));
        match last {
            // It has announced its end: silence is no news, and it is out of service either way.
            Some(LastHeartbeat { advertised: AdvertisedStatus::Ending, .. }) => {
                PeerStatus::Alive(AdvertisedStatus::Ending)
            }
            _ if self.is_silence(now, since) => PeerStatus::Silent,
            Some(last) => PeerStatus::Alive(last.advertised),
            None => PeerStatus::Unknown,
        }
    }

    /// Whether a router has announced its end and has been silent since: no process of it runs.
    pub fn has_left(&self, now: Nanos, router: RouterIndex) -> bool {
        self.last(router).is_some_and(|last| {
            last.advertised == AdvertisedStatus::Ending && self.is_silence(now, last.received_at)
        })
    }

    /// A router's latest incarnation, if it is alive.
    pub fn live_peer(&self, now: Nanos, router: RouterIndex) -> Option<LivePeer> {
        let incarnation = self.last(router)?.incarnation;
        match self.status(now, router) {
            PeerStatus::Alive(advertised) => {
                Some(LivePeer { incarnation, serving: advertised == AdvertisedStatus::Serving })
            }
            PeerStatus::Unknown | PeerStatus::Silent => None,
        }
    }

    /// All routers that count as out of service.
    pub fn out_of_service(&mut self, now: Nanos) -> Vec<RouterIndex> {
        self.note_clock(now);
        let all = 0..self.last.len() as RouterIndex;
        all.filter(|&router| self.status(now, router).is_out_of_service()).collect()
    }

    /// Whether this member may be asked who is silent: one that has just started, or was paused, can't tell.
    pub fn can_detect_silence(&self, now: Nanos) -> bool {
        self.is_silence(now, self.listening_since)
    }

    fn last(&self, router: RouterIndex) -> Option<LastHeartbeat> {
        self.last.get(usize::from(router)).copied().flatten()
    }

    fn is_silence(&self, now: Nanos, since: Nanos) -> bool {
        elapsed(now, since) > self.timing.silence_limit
    }
}

#[cfg(test)]
mod tests;
