//! State of the simulation: the routers, the network between them and the clock.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use fastrand::Rng;
use tallypin_consensus::drain_lease::{LeaseHolder, LeaseTiming, LocalPhase};
use tallypin_consensus::fleet_state::{DrainLimits, FleetState};
use tallypin_consensus::register::{
    bootstrap_value, Acceptor, AcceptorRequest, Ballot, MemberReport, Proposal,
};
use tallypin_consensus::release_monitor::ReleaseMonitor;
use tallypin_membership::{FailureDetector, HeartbeatTiming, Nanos, RouterIndex};

use crate::checks::Halt;
use crate::events::Event;
use crate::router::Router;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;
pub const HEARTBEAT: Nanos = 500 * MS;
pub const LEASE: LeaseTiming = LeaseTiming {
    duration: Duration::from_secs(5),
    drift_divisor: 20,
    retry_after: Duration::from_nanos(HEARTBEAT),
};
pub const DETECTOR: HeartbeatTiming =
    HeartbeatTiming { interval: Duration::from_nanos(HEARTBEAT), silence_limit: Duration::from_secs(3) };
pub const COUNCIL: usize = 5;

/// Counts of one run.
#[derive(Default)]
pub struct Counts {
    pub drains: usize,
    pub restarts: usize,
    pub releases_done: usize,
}

pub struct World {
    pub rng: Rng,
    pub now: Nanos,
    due: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: HashMap<u64, Event>,
    last_event: u64,
    pub routers: Vec<Router>,
    pub limits: DrainLimits,
    /// Routers that are cut off from the others; they still reach each other.
    pub cut_off: BTreeSet<usize>,
    pub loss_percent: u32,
    /// The fleet recovers: no more faults and orders.
    pub recovering: bool,
    pub halt: Option<Halt>,
    /// Ids of the resumes that operators have ordered.
    pub ordered_resumes: BTreeSet<String>,
    /// Ids of the orders that the state contained when the halt was chosen.
    pub orders_before_halt: Vec<String>,
    /// Last time at which a router still had to propose a resume.
    pub resume_pending_at: Nanos,
    pub order_count: u64,
    /// Operators order releases if true, and drains if false.
    pub orders_releases: bool,
    pub counts: Counts,
}

impl World {
    pub fn new(seed: u64, n: usize) -> World {
        let limits = DrainLimits {
            names: vec![],
            zones: (0..n).map(|r| (r % 3) as u16).collect(),
            total: (n / 5).max(1),
            per_zone: (n / 10).max(1),
            council: (0..COUNCIL as u16).collect(),
            replicas: None,
        };
        let mut world = World {
            rng: Rng::with_seed(seed),
            now: 0,
            due: BinaryHeap::new(),
            events: HashMap::new(),
            last_event: 0,
            routers: serving_routers(n),
            limits,
            cut_off: BTreeSet::new(),
            loss_percent: 5,
            recovering: false,
            halt: None,
            ordered_resumes: BTreeSet::new(),
            orders_before_halt: Vec::new(),
            resume_pending_at: 0,
            order_count: 0,
            orders_releases: seed % 2 == 1,
            counts: Counts::default(),
        };
        for router in 0..n {
            let at = world.rng.u64(..HEARTBEAT);
            world.schedule(at, Event::HeartbeatDue { router, incarnation: 0 });
        }
        world.schedule(4 * S, Event::Fault);
        world.schedule(4 * S, Event::Order);
        world
    }

    pub fn schedule(&mut self, at: Nanos, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.due.push(Reverse((at, self.last_event)));
    }

    /// Removes the next event up to `until` and sets the clock to its time.
    pub fn next_event(&mut self, until: Nanos) -> Option<(Nanos, Event)> {
        let &Reverse((at, key)) = self.due.peek().filter(|due| due.0 .0 <= until)?;
        self.due.pop();
        self.now = at;
        let event = self.events.remove(&key).expect("each event is scheduled once");
        Some((at, event))
    }
}

/// Returns routers that all serve, with an initialized council.
fn serving_routers(n: usize) -> Vec<Router> {
    let ballot = Ballot { number: 1, proposer: 0, incarnation: 0 };
    let uninitialized = vec![Some(MemberReport { incarnation: 0, accepted: None }); COUNCIL];
    let value =
        bootstrap_value(&uninitialized, |_| FleetState::default()).expect("all members are uninitialized");
    let acceptor = || {
        let mut acceptor = Acceptor::new(0);
        acceptor.handle(AcceptorRequest::Prepare(ballot));
        acceptor.handle(AcceptorRequest::Bootstrap(Proposal { ballot, value: value.clone() }));
        acceptor
    };
    let router = |r| Router {
        alive: true,
        paused_until: 0,
        incarnation: 0,
        lease: LeaseHolder::new(LEASE, r as RouterIndex, 0),
        phase: LocalPhase::Serving,
        acceptor: (r < COUNCIL).then(acceptor),
        detector: FailureDetector::new(DETECTOR, n, 0),
        known: Some(FleetState::default()),
        highest_ballot: ballot,
        round: None,
        orders: Vec::new(),
        running_digest: "first".into(),
        monitor: ReleaseMonitor::default(),
    };
    (0..n).map(router).collect()
}
