//! What is due, and how it reaches routers.

use tallypin_consensus::fleet_state::FleetState;
use tallypin_consensus::register::{Acceptor, AcceptorReply, AcceptorRequest, Ballot, Proposer};
use tallypin_membership::{AdvertisedStatus, Nanos, RouterIndex};

use crate::world::{World, COUNCIL, HEARTBEAT, MS, S};

#[allow(clippy::large_enum_variant)] // Some hundreds at a time.
pub enum Event {
    /// A router's own heartbeat interval is over.
    Beat {
        router: usize,
        incarnation: u64,
    },
    Heartbeat {
        to: usize,
        from: usize,
        incarnation: u64,
        advertised: AdvertisedStatus,
    },
    Request {
        from: usize,
        to: usize,
        incarnation: u64,
        request: AcceptorRequest<FleetState>,
    },
    Reply {
        to: usize,
        incarnation: u64,
        from: usize,
        request: AcceptorRequest<FleetState>,
        reply: AcceptorReply<FleetState>,
        out_of_service: Option<Vec<RouterIndex>>,
    },
    /// A round has taken too long.
    Timeout {
        router: usize,
        incarnation: u64,
        ballot: Ballot,
    },
    /// Something goes wrong, or is mended.
    Fault,
    /// An operator orders something.
    Order,
}

impl Event {
    /// The router that it reaches, if any.
    fn receiver(&self) -> Option<usize> {
        match self {
            Event::Beat { router, .. } | Event::Timeout { router, .. } => Some(*router),
            Event::Heartbeat { to, .. } | Event::Request { to, .. } | Event::Reply { to, .. } => Some(*to),
            Event::Fault | Event::Order => None,
        }
    }
}

impl World {
    /// Sends, unless it is lost.
    pub fn send(&mut self, from: usize, to: usize, event: Event) {
        let apart = self.cut_off.contains(&from) != self.cut_off.contains(&to);
        if from != to && (apart || self.rng.u32(..100) < self.lost_percent) {
            return;
        }
        let latest = if self.rng.u32(..50) == 0 { 3 * S } else { 20 * MS };
        let at = self.now + self.rng.u64(MS..latest);
        self.schedule(at, event);
    }

    /// Runs until this time.
    pub fn play(&mut self, until: Nanos) {
        while let Some((at, event)) = self.next_event(until) {
            // What reaches a process that is stopped waits for it.
            let stopped = event.receiver().map(|router| self.routers[router].stopped_until);
            if let Some(stopped) = stopped.filter(|&stopped| stopped > at) {
                self.schedule(stopped, event);
                continue;
            }
            self.handle(event);
            self.check_halt();
        }
    }

    fn runs(&self, router: usize, incarnation: u64) -> bool {
        self.routers[router].alive && self.routers[router].incarnation == incarnation
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Beat { router, incarnation } if self.runs(router, incarnation) => {
                self.beat(router, incarnation);
            }
            Event::Heartbeat { to, from, incarnation, advertised } if self.routers[to].alive => {
                let detector = &mut self.routers[to].detector;
                let _ = detector.record_heartbeat(self.now, from as RouterIndex, incarnation, advertised);
            }
            Event::Request { from, to, incarnation, request } if self.routers[to].alive => {
                self.reply(from, to, incarnation, request);
            }
            Event::Reply { to, incarnation, from, request, reply, out_of_service }
                if self.runs(to, incarnation) =>
            {
                self.handle_reply(to, from, &request, reply, out_of_service);
            }
            Event::Timeout { router, incarnation, ballot } if self.runs(router, incarnation) => {
                let round = self.routers[router].round.as_ref();
                if round.is_some_and(|round| round.proposer.ballot() == ballot) {
                    self.end_round(router, false);
                }
            }
            Event::Fault if !self.calm => self.fault(),
            Event::Order if !self.calm => self.order(),
            _ => {}
        }
    }

    fn beat(&mut self, r: usize, incarnation: u64) {
        let now = self.now;
        self.routers[r].detector.note_clock(now);
        let advertised = self.routers[r].advertised();
        for member in 0..COUNCIL {
            self.send(r, member, Event::Heartbeat { to: member, from: r, incarnation, advertised });
        }
        self.follow(r);
        self.schedule(now + HEARTBEAT, Event::Beat { router: r, incarnation });
    }

    /// A member replies to a request, if it is one.
    fn reply(&mut self, from: usize, to: usize, incarnation: u64, request: AcceptorRequest<FleetState>) {
        let now = self.now;
        let member = &mut self.routers[to];
        let Some(reply) = member.acceptor.as_mut().map(|acceptor| acceptor.handle(request.clone())) else {
            return;
        };
        let knows = member.detector.can_detect_silence(now);
        let out = member.detector.out_of_service(now);
        let out_of_service = knows.then_some(out);
        let reply = Event::Reply { to: from, incarnation, from: to, request, reply, out_of_service };
        self.send(to, from, reply);
    }

    /// Sends the round's present request to all members.
    pub fn send_round(&mut self, r: usize) {
        let Some(round) = &self.routers[r].round else { return };
        let (request, incarnation) = (Proposer::request(&round.proposer), self.routers[r].incarnation);
        for member in 0..COUNCIL {
            let request = Event::Request { from: r, to: member, incarnation, request: request.clone() };
            self.send(r, member, request);
        }
    }

    pub fn joined(&self, member: usize) -> bool {
        self.routers[member].acceptor.as_ref().is_some_and(Acceptor::joined)
    }
}
