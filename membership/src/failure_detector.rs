//! Failure detector of one member of the council.

use std::time::Duration;

use super::{elapsed, AdvertisedStatus, Incarnation, Nanos, PeerStatus, RouterIndex};

/// Timing of heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// Time between two heartbeats of a router.
    pub interval: Duration,
    /// Time without a heartbeat after which a router counts as silent. It spans several intervals, so that a lost or
    /// late heartbeat does not make a router silent.
    pub silence_limit: Duration,
}

/// Why a heartbeat was not recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeartbeatError {
    /// The fleet has no router with this index.
    #[error("the fleet has no router {0}")]
    UnknownRouter(RouterIndex),
    /// The heartbeat is from an earlier incarnation than the known one, which is given.
    #[error("heartbeat is from an earlier incarnation; the router's latest is {0}")]
    StaleIncarnation(Incarnation),
}

/// A router that is not silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivePeer {
    /// Latest incarnation of the router.
    pub incarnation: Incarnation,
    /// Whether the router advertises that it is serving.
    pub serving: bool,
}

#[derive(Debug, Clone, Copy)]
struct LastHeartbeat {
    incarnation: Incarnation,
    received_at: Nanos,
    advertised: AdvertisedStatus,
}

/// Last heartbeats received from each router by one member of the council.
///
/// Invariant: a router whose heartbeats arrive within [`HeartbeatTiming::silence_limit`] of each other is never silent.
/// All times are on the member's own monotonic clock, in ns.
#[derive(Debug)]
pub struct FailureDetector {
    timing: HeartbeatTiming,
    /// Last heartbeats by [`RouterIndex`].
    last_heartbeats: Vec<Option<LastHeartbeat>>,
    /// Time since which this member has listened without being paused.
    listening_since: Nanos,
    clock: Nanos,
}

impl FailureDetector {
    /// Creates a detector for a fleet of `routers` routers that starts to listen at `now`.
    pub fn new(timing: HeartbeatTiming, routers: usize, now: Nanos) -> FailureDetector {
        FailureDetector { timing, last_heartbeats: vec![None; routers], listening_since: now, clock: now }
    }

    /// Advances the detector's clock to `now`. Must be called at least once per heartbeat interval and before each
    /// query.
    ///
    /// A member that was itself paused has received nothing in the meantime. So after a pause all routers get a full
    /// silence limit again.
    pub fn advance_clock(&mut self, now: Nanos) {
        if elapsed(now, self.clock) > self.timing.silence_limit / 2 {
            self.listening_since = now;
        }
        self.clock = self.clock.max(now);
    }

    /// Records a router's heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error and records nothing if the heartbeat is from an earlier incarnation than the known one, or from
    /// a router that is not in the fleet.
    pub fn record_heartbeat(
        &mut self,
        now: Nanos,
        from: RouterIndex,
        incarnation: Incarnation,
        advertised: AdvertisedStatus,
    ) -> Result<(), HeartbeatError> {
        self.advance_clock(now);
        let last =
            self.last_heartbeats.get_mut(usize::from(from)).ok_or(HeartbeatError::UnknownRouter(from))?;
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

    /// Returns the status of a router at `now`.
    pub fn status(&self, now: Nanos, router: RouterIndex) -> PeerStatus {
        let last = self.last_heartbeat(router);
        let since = last.map_or(self.listening_since, |last| last.received_at.max(self.listening_since));
        match last {
            // A router that announced its end is out of service whether it is silent or not.
            Some(LastHeartbeat { advertised: AdvertisedStatus::Ending, .. }) => {
                PeerStatus::Alive(AdvertisedStatus::Ending)
            }
            _ if self.exceeds_silence_limit(now, since) => PeerStatus::Silent,
            Some(last) => PeerStatus::Alive(last.advertised),
            None => PeerStatus::Unknown,
        }
    }

    /// Returns whether a router announced its end and has been silent since: its process no longer runs.
    pub fn has_left(&self, now: Nanos, router: RouterIndex) -> bool {
        self.last_heartbeat(router).is_some_and(|last| {
            last.advertised == AdvertisedStatus::Ending && self.exceeds_silence_limit(now, last.received_at)
        })
    }

    /// Returns the latest incarnation of a router and whether it serves; `None` if the router is not alive.
    pub fn live_peer(&self, now: Nanos, router: RouterIndex) -> Option<LivePeer> {
        let incarnation = self.last_heartbeat(router)?.incarnation;
        match self.status(now, router) {
            PeerStatus::Alive(advertised) => {
                Some(LivePeer { incarnation, serving: advertised == AdvertisedStatus::Serving })
            }
            PeerStatus::Unknown | PeerStatus::Silent => None,
        }
    }

    /// Returns all routers that count as out of service at `now`: those that are silent or whose latest heartbeat says that
    /// they are starting, draining or ending. A router not heard from yet counts only once its silence exceeds the limit.
    pub fn out_of_service(&mut self, now: Nanos) -> Vec<RouterIndex> {
        self.advance_clock(now);
        let all = 0..self.last_heartbeats.len() as RouterIndex;
        all.filter(|&router| self.status(now, router).is_out_of_service()).collect()
    }

    /// Returns whether this member can detect silence: it cannot shortly after its start or after a pause.
    pub fn can_detect_silence(&self, now: Nanos) -> bool {
        self.exceeds_silence_limit(now, self.listening_since)
    }

    fn last_heartbeat(&self, router: RouterIndex) -> Option<LastHeartbeat> {
        self.last_heartbeats.get(usize::from(router)).copied().flatten()
    }

    fn exceeds_silence_limit(&self, now: Nanos, since: Nanos) -> bool {
        elapsed(now, since) > self.timing.silence_limit
    }
}

#[cfg(test)]
mod tests;
