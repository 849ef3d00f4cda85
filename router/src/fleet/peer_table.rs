//! What this router has heard of the others: their heartbeats and reports, and the last calls, against repeated ones.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use tallypin_consensus::fleet_state::FleetState;
use tallypin_consensus::release_monitor::RouterReport;
use tallypin_consensus::replica_drains::{routers_not_clear, ReplicaStage, ReplicaUse, MAX_REPLICA_DRAINS};
use tallypin_membership::{
    AdvertisedStatus, FailureDetector, HeartbeatTiming, Incarnation, Nanos, RouterIndex,
};

use super::wire::{Call, HeartbeatReport, NotClearReplica, Request};

/// Routers that still use a drained replica, of which the indices are reported; the rest is a count.
const MAX_NAMED_ROUTERS: usize = 8;

/// A call that is of no router of the fleet, or not newer than one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("of no router of the fleet, or sent again")]
pub struct StaleCall;

/// Orders the calls of a router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct CallNumber {
    incarnation: Incarnation,
    sequence: u64,
}

/// The last calls of a router, by its two connections: what comes by one may overtake what was sent by the other.
#[derive(Debug, Clone, Copy, Default)]
struct LastCalls {
    submitted: CallNumber,
    other: CallNumber,
}

/// The last report of a router, and which of its incarnations made it.
#[derive(Debug, Clone)]
struct PeerReport {
    incarnation: Incarnation,
    report: HeartbeatReport,
}

/// What is known of each router, by its index.
pub struct PeerTable {
    failure_detector: RefCell<FailureDetector>,
    last_calls: RefCell<Vec<LastCalls>>,
    reports: RefCell<Vec<Option<PeerReport>>>,
}

impl PeerTable {
    /// Of a fleet of so many routers, of which nothing has been heard.
    pub fn new(timing: HeartbeatTiming, routers: usize) -> PeerTable {
        PeerTable {
            failure_detector: RefCell::new(FailureDetector::new(timing, routers, 0)),
            last_calls: RefCell::new(vec![LastCalls::default(); routers]),
            reports: RefCell::new(vec![None; routers]),
        }
    }

    /// Notes a call, so that it counts once. One that asks for the caller's incarnation is always accepted: the caller does
    /// not know yet which numbers are new.
    ///
    /// # Errors
    ///
    /// It is of no router of the fleet, or not newer than the last one.
    pub fn accept_call(&self, call: &Call) -> Result<(), StaleCall> {
        if matches!(call.request, Request::Incarnation) {
            return Ok(());
        }
        let mut last_calls = self.last_calls.borrow_mut();
        let last = last_calls.get_mut(usize::from(call.from)).ok_or(StaleCall)?;
        let last = match call.request {
            Request::Submit(_) => &mut last.submitted,
            _ => &mut last.other,
        };
        let number = CallNumber { incarnation: call.incarnation, sequence: call.sequence };
        if number <= *last {
            return Err(StaleCall);
        }
        *last = number;
        Ok(())
    }

    /// The latest incarnation of a router that its calls have named; 0: none was heard.
    pub fn latest_incarnation(&self, of: RouterIndex) -> Incarnation {
        let last_calls = self.last_calls.borrow();
        let last = last_calls.get(usize::from(of)).copied().unwrap_or_default();
        last.submitted.incarnation.max(last.other.incarnation)
    }

    /// Notes a heartbeat with its report.
    pub fn record_heartbeat(
        &self,
        now: Nanos,
        from: RouterIndex,
        incarnation: Incarnation,
        advertised: AdvertisedStatus,
        mut report: HeartbeatReport,
    ) {
        // One of an earlier incarnation, or of no router of the fleet, says nothing.
        let _ = self.failure_detector.borrow_mut().record_heartbeat(now, from, incarnation, advertised);
        report.applied.in_flight.truncate(MAX_REPLICA_DRAINS);
        if let Some(last) = self.reports.borrow_mut().get_mut(usize::from(from)) {
            *last = Some(PeerReport { incarnation, report });
        }
    }

    /// Notes that the clock reads `now`: a pause of this process is not taken for silence of the others.
    pub fn note_clock(&self, now: Nanos) {
        self.failure_detector.borrow_mut().note_clock(now);
    }

    /// Routers that this one takes to be out of service, however little it has heard.
    pub fn out_of_service(&self, now: Nanos) -> BTreeSet<RouterIndex> {
        self.failure_detector.borrow_mut().out_of_service(now).into_iter().collect()
    }

    /// The same as a vote; `None`: it has not listened for long enough to tell.
    pub fn out_of_service_vote(&self, now: Nanos) -> Option<Vec<RouterIndex>> {
        let mut detector = self.failure_detector.borrow_mut();
        detector.note_clock(now);
        detector.can_detect_silence(now).then(|| detector.out_of_service(now))
    }

    /// For each drained replica of a state: which routers still use it, as far as heard here.
    pub fn replicas_not_clear(&self, now: Nanos, state: &FleetState) -> Vec<NotClearReplica> {
        let (detector, reports) = (self.failure_detector.borrow(), self.reports.borrow());
        let uses: Vec<ReplicaUse> = (0..)
            .zip(reports.iter())
            .map(|(router, report): (RouterIndex, _)| {
                // The report of an earlier incarnation says nothing of this one.
                let alive = detector.live_peer(now, router).map(|peer| peer.incarnation);
                let report = report.as_ref().filter(|r| Some(r.incarnation) == alive);
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
                let mut first_routers = routers_not_clear(id, since, &uses);
                let router_count = first_routers.len();
                first_routers.truncate(MAX_NAMED_ROUTERS);
                NotClearReplica { replica: id.clone(), router_count, first_routers }
            })
            .collect()
    }

    /// What a release is judged by: of each router its answers, `None` if it is not alive. `None` in all: this router
    /// has just started or was paused, and would take for a crash what is none.
    pub fn release_reports(&self, now: Nanos) -> Option<Vec<Option<RouterReport>>> {
        let mut detector = self.failure_detector.borrow_mut();
        detector.note_clock(now);
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

    /// How many routers have reported that they run a digest.
    pub fn running_digests(&self) -> BTreeMap<String, usize> {
        let mut running = BTreeMap::new();
        for report in self.reports.borrow().iter().flatten() {
            if let Some(digest) = &report.report.running_digest {
                *running.entry(digest.clone()).or_default() += 1;
            }
        }
        running
    }
}

#[cfg(test)]
mod tests;
