//! One router, and its actions according to the fleet state that it knows.

use tallypin_consensus::drain_lease::{LeaseHolder, LocalPhase, NextStep};
use tallypin_consensus::fleet_state::{Command, CouncilView, FleetState};
use tallypin_consensus::register::{
    chosen_value, Acceptor, AcceptorReply, AcceptorRequest, Ballot, MemberReport, Proposer,
};
use tallypin_consensus::release_monitor::{AnswerCounts, ReleaseMonitor, RouterReport};
use tallypin_membership::{AdvertisedStatus, FailureDetector, Nanos, RouterIndex};

use crate::world::{World, COUNCIL, DETECTOR, LEASE};

/// A round that a router proposes.
pub struct Round {
    pub proposer: Proposer<FleetState>,
    pub command: Command,
    pub began_at: Nanos,
    /// Routers that are out of service according to the promises received.
    pub view: CouncilView,
}

pub struct Router {
    pub alive: bool,
    /// The process is paused until this time; its events are handled after it.
    pub paused_until: Nanos,
    pub incarnation: u64,
    pub lease: LeaseHolder,
    pub phase: LocalPhase,
    pub acceptor: Option<Acceptor<FleetState>>,
    pub detector: FailureDetector,
    pub known: Option<FleetState>,
    pub highest_ballot: Ballot,
    pub round: Option<Round>,
    /// Operators' orders that the router still has to propose, oldest first.
    pub orders: Vec<Command>,
    /// Digest of the file that the router runs; a restart keeps it.
    pub running_digest: String,
    pub monitor: ReleaseMonitor,
}

impl Router {
    pub fn advertised(&self) -> AdvertisedStatus {
        match (self.phase, &self.acceptor) {
            (LocalPhase::OutOfService, _) => AdvertisedStatus::Draining,
            (_, Some(acceptor)) if !acceptor.joined() => AdvertisedStatus::Starting,
            _ => AdvertisedStatus::Serving,
        }
    }

    pub fn known_version(&self) -> Option<u64> {
        self.known.as_ref().map(|state| state.version)
    }
}

impl World {
    /// Takes the router's next step, if it has no round in progress.
    pub fn act(&mut self, r: usize) {
        if self.routers[r].round.is_some() {
            return;
        }
        if self.routers[r].acceptor.as_ref().is_some_and(|acceptor| !acceptor.joined()) {
            return self.begin_round(r, Command::Read);
        }
        if let Some(order) = self.routers[r].orders.first().cloned() {
            return self.begin_round(r, order);
        }
        if self.routers[r].known.is_none() {
            self.read_register(r);
        }
        let Some(known) = self.routers[r].known_version() else { return };
        // At random, the router learns of a newer version and reads it before it acts on an older state.
        if self.has_accepted_above(known) && self.rng.bool() {
            self.read_register(r);
            let known = self.routers[r].known_version().unwrap_or(0);
            // Members that have accepted different proposals report no chosen value until a further round.
            if self.has_accepted_above(known) && self.rng.u32(..8) == 0 {
                return self.begin_round(r, Command::Read);
            }
        }
        self.follow_lease(r);
    }

    fn has_accepted_above(&self, version: u64) -> bool {
        let members = self.routers.iter().take(COUNCIL);
        let mut accepted = members.filter_map(|member| member.acceptor.as_ref()?.accepted());
        accepted.any(|value| value.state.version > version)
    }

    /// Takes the next step of the drain lease or of the release monitor.
    fn follow_lease(&mut self, r: usize) {
        let router = &self.routers[r];
        let Some(known) = router.known.clone() else { return };
        match router.lease.next_step(self.now, &known, router.phase, Some(&router.running_digest)) {
            NextStep::Wait => self.monitor_release(r, &known),
            // A drained router exits and is started again with the installed file.
            NextStep::InstallAndRestart(digest) => {
                self.routers[r].running_digest = digest;
                self.counts.restarts += 1;
                self.restart(r);
            }
            NextStep::BeginDrain => self.begin_drain(r, &known),
            NextStep::ResumeService => self.routers[r].phase = LocalPhase::Serving,
            NextStep::Submit(command) => self.begin_round(r, command),
        }
    }

    /// Lets a council member propose the next command of the release monitor.
    fn monitor_release(&mut self, r: usize, known: &FleetState) {
        let (now, n) = (self.now, self.routers.len() as RouterIndex);
        let router = &mut self.routers[r];
        if !router.acceptor.as_ref().is_some_and(Acceptor::joined) || !router.detector.can_detect_silence(now)
        {
            return;
        }
        let report = |of| {
            let incarnation = router.detector.live_peer(now, of)?.incarnation;
            Some(RouterReport { incarnation, counts: AnswerCounts::default() })
        };
        let reports: Vec<_> = (0..n).map(report).collect();
        if let Some(command) = router.monitor.next_command(now, known, &self.limits, &reports) {
            self.begin_round(r, command);
        }
    }

    /// Reads the register at one point in time: the state that a majority of the council has accepted.
    fn read_register(&mut self, r: usize) {
        let cut_off = self.cut_off.contains(&r);
        let report = |member: usize| {
            let reached = self.routers[member].alive
                && self.cut_off.contains(&member) == cut_off
                && self.rng.u32(..100) >= self.loss_percent;
            let acceptor = self.routers[member].acceptor.as_mut().filter(|_| reached)?;
            match acceptor.handle(AcceptorRequest::Read) {
                AcceptorReply::Current { incarnation, accepted } => {
                    Some(MemberReport { incarnation, accepted })
                }
                _ => None,
            }
        };
        let reports: Vec<_> = (0..COUNCIL).map(report).collect();
        if let Some(chosen) = chosen_value(&reports) {
            self.routers[r].known = Some(chosen.value.state);
        }
    }

    /// Restarts the router in a later incarnation, without its state.
    pub fn restart(&mut self, r: usize) {
        let (now, n) = (self.now, self.routers.len());
        let router = &mut self.routers[r];
        let incarnation = router.incarnation + 1;
        *router = Router {
            alive: true,
            paused_until: 0,
            incarnation,
            lease: LeaseHolder::new(LEASE, r as RouterIndex, incarnation),
            phase: LocalPhase::Serving,
            acceptor: (r < COUNCIL).then(|| Acceptor::new(incarnation)),
            detector: FailureDetector::new(DETECTOR, n, now),
            known: None,
            highest_ballot: Ballot::default(),
            round: None,
            orders: Vec::new(),
            running_digest: std::mem::take(&mut router.running_digest),
            monitor: ReleaseMonitor::default(),
        };
        self.schedule(now, crate::events::Event::HeartbeatDue { router: r, incarnation });
    }
}
