//! The routers, the network between them and the clock.

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

/// What has happened.
#[derive(Default)]
pub struct Tally {
    pub drained: usize,
    pub restarted: usize,
    pub released: usize,
}

pub struct World {
    pub rng: Rng,
    pub now: Nanos,
    due: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: HashMap<u64, Event>,
    last_event: u64,
    pub routers: Vec<Router>,
    pub limits: DrainLimits,
    /// Whoever is in here is cut off from the rest.
    pub cut_off: BTreeSet<usize>,
    pub lost_percent: u32,
    /// Nothing goes wrong and nobody orders anything any more.
    pub calm: bool,
    pub halt: Option<Halt>,
    /// The ids of resumes that were ordered.
    pub resumes: BTreeSet<String>,
    /// The orders that were known when the halt was agreed on.
    pub orders_before_halt: Vec<String>,
    /// When a resume was last on its way.
    pub resume_pending_at: Nanos,
    pub orders: u64,
    /// Whether operators order releases, or drains.
    pub releases: bool,
    pub tally: Tally,
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
            routers: first_routers(n),
            limits,
            cut_off: BTreeSet::new(),
            lost_percent: 5,
            calm: false,
            halt: None,
            resumes: BTreeSet::new(),
            orders_before_halt: Vec::new(),
            resume_pending_at: 0,
            orders: 0,
            releases: seed % 2 == 1,
            tally: Tally::default(),
        };
        for router in 0..n {
            let at = world.rng.u64(..HEARTBEAT);
            world.schedule(at, Event::Beat { router, incarnation: 0 });
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

    /// The next event that is due by then; the clock is set to its time.
    pub fn next_event(&mut self, until: Nanos) -> Option<(Nanos, Event)> {
        let &Reverse((at, key)) = self.due.peek().filter(|due| due.0 .0 <= until)?;
        self.due.pop();
        self.now = at;
        let event = self.events.remove(&key).expect("each event is scheduled once");
        Some((at, event))
    }
}

/// Routers that all serve, and a council that has begun.
fn first_routers(n: usize) -> Vec<Router> {
    let ballot = Ballot { number: 1, proposer: 0, incarnation: 0 };
    let uninitialized = vec![Some(MemberReport { incarnation: 0, accepted: None }); COUNCIL];
    let value = bootstrap_value(&uninitialized, |_| FleetState::default()).expect("all uninitialized");
    let acceptor = || {
        let mut acceptor = Acceptor::new(0);
        acceptor.handle(AcceptorRequest::Prepare(ballot));
        acceptor.handle(AcceptorRequest::Bootstrap(Proposal { ballot, value: value.clone() }));
        acceptor
    };
    let router = |r| Router {
        alive: true,
        stopped_until: 0,
        incarnation: 0,
        lease: LeaseHolder::new(LEASE, r as RouterIndex, 0),
        phase: LocalPhase::Serving,
        acceptor: (r < COUNCIL).then(acceptor),
        detector: FailureDetector::new(DETECTOR, n, 0),
        known: Some(FleetState::default()),
        seen: ballot,
        round: None,
        orders: Vec::new(),
        running_digest: "first".into(),
        monitor: ReleaseMonitor::default(),
    };
    (0..n).map(router).collect()
}
