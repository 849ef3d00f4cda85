//! One router, and what it does by the fleet state that it knows.

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
    /// Who is out of service, by the promises.
    pub view: CouncilView,
}

pub struct Router {
    pub alive: bool,
    /// Stopped until then: what is due comes after it.
    pub stopped_until: Nanos,
    pub incarnation: u64,
    pub lease: LeaseHolder,
    pub phase: LocalPhase,
    pub acceptor: Option<Acceptor<FleetState>>,
    pub detector: FailureDetector,
    pub known: Option<FleetState>,
    pub seen: Ballot,
    pub round: Option<Round>,
    /// Orders of operators that it is to have agreed on.
    pub orders: Vec<Command>,
    /// The file that it runs: outlasts its incarnations.
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
    /// What a router does when it has no round of its own.
    pub fn follow(&mut self, r: usize) {
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
            self.read(r);
        }
        let Some(known) = self.routers[r].known_version() else { return };
        // A newer version comes with its heartbeats, at times: then it reads before it does anything by an older state.
        if self.any_accepted_above(known) && self.rng.bool() {
            self.read(r);
            let known = self.routers[r].known_version().unwrap_or(0);
            // Members that have not all accepted the same report nothing alike until a round ends it.
            if self.any_accepted_above(known) && self.rng.u32(..8) == 0 {
                return self.begin_round(r, Command::Read);
            }
        }
        self.step(r);
    }

    fn any_accepted_above(&self, version: u64) -> bool {
        let members = self.routers.iter().take(COUNCIL);
        let mut accepted = members.filter_map(|member| member.acceptor.as_ref()?.accepted());
        accepted.any(|value| value.state.version > version)
    }

    /// The next step by the known state.
    fn step(&mut self, r: usize) {
        let router = &self.routers[r];
        let Some(known) = router.known.clone() else { return };
        match router.lease.next_step(self.now, &known, router.phase, Some(&router.running_digest)) {
            NextStep::Wait => self.monitor_release(r, &known),
            // Drained, it ends, and is started with the file that it has installed.
            NextStep::InstallAndRestart(digest) => {
                self.routers[r].running_digest = digest;
                self.tally.restarted += 1;
                self.restart(r);
            }
            NextStep::BeginDrain => self.begin_drain(r, &known),
            NextStep::ResumeService => self.routers[r].phase = LocalPhase::Serving,
            NextStep::Submit(command) => self.begin_round(r, command),
        }
    }

    /// What a member asks for on behalf of all.
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

    /// What a majority of the council reports alike, in one moment.
    fn read(&mut self, r: usize) {
        let cut_off = self.cut_off.contains(&r);
        let report = |member: usize| {
            let reached = self.routers[member].alive
                && self.cut_off.contains(&member) == cut_off
                && self.rng.u32(..100) >= self.lost_percent;
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

    /// Starts anew, in a later incarnation and with no memory.
    pub fn restart(&mut self, r: usize) {
        let (now, n) = (self.now, self.routers.len());
        let router = &mut self.routers[r];
        let incarnation = router.incarnation + 1;
        *router = Router {
            alive: true,
            stopped_until: 0,
            incarnation,
            lease: LeaseHolder::new(LEASE, r as RouterIndex, incarnation),
            phase: LocalPhase::Serving,
            acceptor: (r < COUNCIL).then(|| Acceptor::new(incarnation)),
            detector: FailureDetector::new(DETECTOR, n, now),
            known: None,
            seen: Ballot::default(),
            round: None,
            orders: Vec::new(),
            running_digest: std::mem::take(&mut router.running_digest),
            monitor: ReleaseMonitor::default(),
        };
        self.schedule(now, crate::events::Event::Beat { router: r, incarnation });
    }
}
