//! Scheduled events and their delivery to routers.

use tallypin_consensus::fleet_state::FleetState;
use tallypin_consensus::register::{Acceptor, AcceptorReply, AcceptorRequest, Ballot, Proposer};
use tallypin_membership::{AdvertisedStatus, Nanos, RouterIndex};

use crate::world::{World, COUNCIL, HEARTBEAT, MS, S};

#[allow(clippy::large_enum_variant)] // Only some hundreds of events exist at a time.
pub enum Event {
    /// The router's next heartbeat is due.
    HeartbeatDue {
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
    /// The time limit of a round has passed.
    RoundTimeout {
        router: usize,
        incarnation: u64,
        ballot: Ballot,
    },
    /// A random fault begins or ends.
    Fault,
    /// An operator sends a random order.
    Order,
}

impl Event {
    /// Returns the router that handles the event, if any.
    fn receiver(&self) -> Option<usize> {
        match self {
            Event::HeartbeatDue { router, .. } | Event::RoundTimeout { router, .. } => Some(*router),
            Event::Heartbeat { to, .. } | Event::Request { to, .. } | Event::Reply { to, .. } => Some(*to),
            Event::Fault | Event::Order => None,
        }
    }
}

impl World {
    /// Schedules the delivery of a message, unless the message is lost or the link is cut.
    pub fn send(&mut self, from: usize, to: usize, event: Event) {
        let link_is_cut = self.cut_off.contains(&from) != self.cut_off.contains(&to);
        if from != to && (link_is_cut || self.rng.u32(..100) < self.loss_percent) {
            return;
        }
        let latest = if self.rng.u32(..50) == 0 { 3 * S } else { 20 * MS };
        let at = self.now + self.rng.u64(MS..latest);
        self.schedule(at, event);
    }

    /// Handles all events up to this time.
    pub fn run_until(&mut self, until: Nanos) {
        while let Some((at, event)) = self.next_event(until) {
            // Events for a paused process are handled when it continues.
            let paused_until = event.receiver().map(|router| self.routers[router].paused_until);
            if let Some(paused_until) = paused_until.filter(|&paused_until| paused_until > at) {
                self.schedule(paused_until, event);
                continue;
            }
            self.handle(event);
            self.check_halt();
        }
    }

    fn is_running(&self, router: usize, incarnation: u64) -> bool {
        self.routers[router].alive && self.routers[router].incarnation == incarnation
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::HeartbeatDue { router, incarnation } if self.is_running(router, incarnation) => {
                self.send_heartbeats(router, incarnation);
            }
            Event::Heartbeat { to, from, incarnation, advertised } if self.routers[to].alive => {
                let detector = &mut self.routers[to].detector;
                let _ = detector.record_heartbeat(self.now, from as RouterIndex, incarnation, advertised);
            }
            Event::Request { from, to, incarnation, request } if self.routers[to].alive => {
                self.reply_to_request(from, to, incarnation, request);
            }
            Event::Reply { to, incarnation, from, request, reply, out_of_service }
                if self.is_running(to, incarnation) =>
            {
                self.handle_reply(to, from, &request, reply, out_of_service);
            }
            Event::RoundTimeout { router, incarnation, ballot } if self.is_running(router, incarnation) => {
                let round = self.routers[router].round.as_ref();
                if round.is_some_and(|round| round.proposer.ballot() == ballot) {
                    self.end_round(router, false);
                }
            }
            Event::Fault if !self.recovering => self.inject_fault(),
            Event::Order if !self.recovering => self.submit_random_order(),
            _ => {}
        }
    }

    fn send_heartbeats(&mut self, r: usize, incarnation: u64) {
        let now = self.now;
        self.routers[r].detector.advance_clock(now);
        let advertised = self.routers[r].advertised();
        for member in 0..COUNCIL {
            self.send(r, member, Event::Heartbeat { to: member, from: r, incarnation, advertised });
        }
        self.act(r);
        self.schedule(now + HEARTBEAT, Event::HeartbeatDue { router: r, incarnation });
    }

    /// Replies to a request if the receiver is a council member.
    fn reply_to_request(
        &mut self,
        from: usize,
        to: usize,
        incarnation: u64,
        request: AcceptorRequest<FleetState>,
    ) {
        let now = self.now;
        let member = &mut self.routers[to];
        let Some(reply) = member.acceptor.as_mut().map(|acceptor| acceptor.handle(request.clone())) else {
            return;
        };
        let informed = member.detector.can_detect_silence(now);
        let out = member.detector.out_of_service(now);
        let out_of_service = informed.then_some(out);
        let reply = Event::Reply { to: from, incarnation, from: to, request, reply, out_of_service };
        self.send(to, from, reply);
    }

    /// Sends the round's current request to all members.
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
