//! State of the other routers as received here: heartbeats and reports, and the numbers of the last calls, by which
//! replayed calls and those of earlier incarnations are rejected.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use tallypin_consensus::fleet_state::FleetState;
use tallypin_consensus::release_monitor::RouterReport;
use tallypin_consensus::replica_drains::{routers_still_using, ReplicaStage, ReplicaUse, MAX_REPLICA_DRAINS};
use tallypin_membership::{
    AdvertisedStatus, FailureDetector, HeartbeatTiming, Incarnation, Nanos, RouterIndex,
};

use super::wire::{Call, HeartbeatReport, RemainingUse, Request};

/// Maximum number of routers that are listed by index as users of a drained replica; further ones are only counted.
const MAX_LISTED_ROUTERS: usize = 8;

/// A call from an unknown router or an earlier incarnation, or one that is not newer than an earlier call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the call is from an unknown router or is not newer than an earlier call")]
pub struct RejectedCall;

/// Number of a call, which increases with every call of a router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct CallNumber {
    incarnation: Incarnation,
    sequence: u64,
}

/// The last calls of a router, one per connection: a call on one connection may overtake a call on the other.
#[derive(Debug, Clone, Copy, Default)]
struct LastCalls {
    last_submit: CallNumber,
    last_other: CallNumber,
}

impl LastCalls {
    fn latest_incarnation(&self) -> Incarnation {
        self.last_submit.incarnation.max(self.last_other.incarnation)
    }
}

/// The last report of a router, with the incarnation that sent it.
#[derive(Debug, Clone)]
struct PeerReport {
    incarnation: Incarnation,
    report: HeartbeatReport,
}

/// Received state of each router, by router index.
pub struct PeerTable {
    failure_detector: RefCell<FailureDetector>,
    last_calls: RefCell<Vec<LastCalls>>,
    reports: RefCell<Vec<Option<PeerReport>>>,
}

impl PeerTable {
    /// Creates the table of a fleet with `router_count` routers.
    pub fn new(timing: HeartbeatTiming, router_count: usize) -> PeerTable {
        PeerTable {
            failure_detector: RefCell::new(FailureDetector::new(timing, router_count, 0)),
            last_calls: RefCell::new(vec![LastCalls::default(); router_count]),
            reports: RefCell::new(vec![None; router_count]),
        }
    }

    /// Accepts a call and records its number, so that a replay is rejected. A request for the caller's incarnation is
    /// always accepted: the caller does not know yet which numbers are new.
    ///
    /// # Errors
    ///
    /// The caller is not a router of the fleet, is an earlier incarnation than the latest, or the call is not newer than its
    /// last one.
    pub fn accept_call(&self, call: &Call) -> Result<(), RejectedCall> {
        if matches!(call.request, Request::Incarnation) {
            return Ok(());
        }
        let mut last_calls = self.last_calls.borrow_mut();
        let last = last_calls.get_mut(usize::from(call.from)).ok_or(RejectedCall)?;
        // On the other connection, the router may have called since it restarted.
        if call.incarnation < last.latest_incarnation() {
            return Err(RejectedCall);
        }
        let last = match call.request {
            Request::Submit(_) => &mut last.last_submit,
            _ => &mut last.last_other,
        };
        let number = CallNumber { incarnation: call.incarnation, sequence: call.sequence };
        if number <= *last {
            return Err(RejectedCall);
        }
        *last = number;
        Ok(())
    }

    /// Returns the latest incarnation in the calls of a router; 0 if no call was received.
    pub fn latest_incarnation(&self, router: RouterIndex) -> Incarnation {
        let last_calls = self.last_calls.borrow();
        last_calls.get(usize::from(router)).map_or(0, LastCalls::latest_incarnation)
    }

    /// Records a heartbeat and its report.
    pub fn record_heartbeat(
        &self,
        now: Nanos,
        from: RouterIndex,
        incarnation: Incarnation,
        advertised: AdvertisedStatus,
        mut report: HeartbeatReport,
    ) {
        // The failure detector ignores heartbeats of an earlier incarnation and of unknown routers.
        let _ = self.failure_detector.borrow_mut().record_heartbeat(now, from, incarnation, advertised);
        report.applied.in_flight.truncate(MAX_REPLICA_DRAINS);
        if let Some(last) = self.reports.borrow_mut().get_mut(usize::from(from)) {
            *last = Some(PeerReport { incarnation, report });
        }
    }

    /// Passes the current time to the failure detector, so that a pause of this process does not count as silence of the
    /// other routers.
    pub fn observe_clock(&self, now: Nanos) {
        self.failure_detector.borrow_mut().advance_clock(now);
    }

    /// Returns the routers that this one considers out of service, even if it has not listened long enough to vote.
    pub fn out_of_service(&self, now: Nanos) -> BTreeSet<RouterIndex> {
        self.failure_detector.borrow_mut().out_of_service(now).into_iter().collect()
    }

    /// Returns the routers that this one votes to be out of service; `None` if it has not listened long enough to tell.
    pub fn out_of_service_vote(&self, now: Nanos) -> Option<Vec<RouterIndex>> {
        let mut detector = self.failure_detector.borrow_mut();
        detector.advance_clock(now);
        detector.can_detect_silence(now).then(|| detector.out_of_service(now))
    }

    /// Returns, for each drained replica of a state, the routers that still use it according to the received reports.
    pub fn remaining_uses(&self, now: Nanos, state: &FleetState) -> Vec<RemainingUse> {
        let (detector, reports) = (self.failure_detector.borrow(), self.reports.borrow());
        let uses: Vec<ReplicaUse> = (0..)
            .zip(reports.iter())
            .map(|(router, report): (RouterIndex, _)| {
                // The report of an earlier incarnation does not apply to the live one.
                let live_incarnation = detector.live_peer(now, router).map(|peer| peer.incarnation);
                let report = report.as_ref().filter(|r| Some(r.incarnation) == live_incarnation);
                ReplicaUse {
                    applied: report.map(|r| &r.report.applied),
                    has_left: detector.has_left(now, router),
                }
            })
            .collect();
        let drained = state.replicas.iter().filter_map(|(id, entry)| match entry.stage {
            ReplicaStage::OutOfService(since) => Some((id, since)),
            _ => None,
        });
        drained
            .map(|(id, since)| {
                let mut first_routers = routers_still_using(id, since, &uses);
                let router_count = first_routers.len();
                first_routers.truncate(MAX_LISTED_ROUTERS);
                RemainingUse { replica: id.clone(), router_count, first_routers }
            })
            .collect()
    }

    /// Returns the reports by which a release is assessed, by router index; `None` for a router that is not alive. The whole
    /// result is `None` if this router has just started or was paused: it would mistake live routers for crashed ones.
    pub fn release_reports(&self, now: Nanos) -> Option<Vec<Option<RouterReport>>> {
        let mut detector = self.failure_detector.borrow_mut();
        detector.advance_clock(now);
        if !detector.can_detect_silence(now) {
            return None;
        }
        let reports = self.reports.borrow();
        let reports = (0..).zip(reports.iter()).map(|(router, report): (RouterIndex, _)| {
            let incarnation = detector.live_peer(now, router)?.incarnation;
            let report = report.as_ref().filter(|r| r.incarnation == incarnation);
            let counts = report.map(|r| r.report.counts).unwrap_or_default();
            Some(RouterReport { incarnation, counts })
        });
        Some(reports.collect())
    }

    /// Returns the number of routers that report each running digest.
    pub fn running_digests(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for report in self.reports.borrow().iter().flatten() {
            if let Some(digest) = &report.report.running_digest {
                *counts.entry(digest.clone()).or_default() += 1;
            }
        }
        counts
    }
}

#[cfg(test)]
mod tests;
