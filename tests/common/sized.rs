//! A router before a fleet of any size, for measurements.

use tallypin::api::*;
use tallypin::Balancer;

use super::common::{request, row, settings, MS};

/// The module's timer of the report period.
const TICK: u64 = 1;

/// A router that knows so many nodes and has had an answer from some.
pub struct SizedFleet {
    balancer: Balancer,
    replicas: u64,
    now: Nanos,
    pub next: u64,
    actions: Vec<Action>,
}

impl SizedFleet {
    pub fn new(nodes: u64) -> SizedFleet {
        let module = Balancer::new(settings(2, 0), 7).expect("the settings are good");
        let mut fleet = SizedFleet {
            balancer: module,
            replicas: nodes,
            now: 1_000_000 * MS,
            next: 0,
            actions: Vec::new(),
        };
        let rows = (0..nodes).map(row).collect();
        fleet.tell(Event::EndpointList { kind: ListUpdate::Full, rows });
        for _ in 0..200 {
            fleet.request();
        }
        fleet
    }

    /// The whole list comes once more.
    pub fn whole_list(&mut self) {
        self.now += MS;
        let rows = (0..self.replicas).map(row).collect();
        self.tell(Event::EndpointList { kind: ListUpdate::Full, rows });
    }

    /// The report period is over.
    pub fn tick(&mut self) {
        self.now += MS;
        self.tell(Event::Timer(TICK));
    }

    fn tell(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// A request from its arrival to the end of its stream.
    pub fn request(&mut self) {
        self.next += 1;
        self.now += MS;
        let id = RequestId(self.next);
        // A few hundred sessions on five beginnings.
        let session = Some(SessionKey(self.next % 300));
        self.tell(Event::Request(Request { session, ..request(self.next) }));
        self.tell(Event::FirstToken { request: id, attempt: 0, elapsed: 20 * MS });
        let end = AttemptEnded {
            request: id,
            attempt: 0,
            outcome: Outcome::Completed,
            elapsed: 400 * MS,
            request_over: true,
            cached_tokens: Some(800),
            load: Vec::new(),
        };
        self.tell(Event::AttemptEnded(end));
    }

    /// A node drains and is ready again.
    pub fn change(&mut self) {
        self.now += MS;
        for state in [EndpointState::Draining, EndpointState::Ready] {
            let rows = vec![EndpointEntry { state, ..row(3) }];
            self.tell(Event::EndpointList { kind: ListUpdate::Delta, rows });
        }
    }
}
