//! A router with a fleet of a given size, for benchmarks and tests of its cost.

use tallypin::api::*;
use tallypin::Balancer;

use super::common::{ready_entry, request, test_settings, MS};

/// Token of the balancer's report period timer.
const REPORT_TIMER: u64 = 1;

/// A router whose endpoint list has a given number of replicas, some of which have answered requests.
pub struct SizedFleet {
    balancer: Balancer,
    replicas: u64,
    now: Nanos,
    pub next_request: u64,
    actions: Vec<Action>,
}

impl SizedFleet {
    pub fn new(replicas: u64) -> SizedFleet {
        let balancer = Balancer::new(test_settings(2, 0), 7).expect("the settings are valid");
        let mut fleet =
            SizedFleet { balancer, replicas, now: 1_000_000 * MS, next_request: 0, actions: Vec::new() };
        let entries = (0..replicas).map(ready_entry).collect();
        fleet.handle(Event::EndpointList { kind: ListUpdate::Full, entries });
        for _ in 0..200 {
            fleet.request();
        }
        fleet
    }

    /// Delivers the full endpoint list again.
    pub fn full_list(&mut self) {
        self.now += MS;
        let entries = (0..self.replicas).map(ready_entry).collect();
        self.handle(Event::EndpointList { kind: ListUpdate::Full, entries });
    }

    /// Ends the report period.
    pub fn end_report_period(&mut self) {
        self.now += MS;
        self.handle(Event::Timer(REPORT_TIMER));
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// Handles a request from its arrival to the end of its stream.
    pub fn request(&mut self) {
        self.next_request += 1;
        self.now += MS;
        let id = RequestId(self.next_request);
        // Requests belong to 300 sessions and share five prefixes.
        let session = Some(SessionKey(self.next_request % 300));
        self.handle(Event::Request(Request { session, ..request(self.next_request) }));
        self.handle(Event::FirstToken { request: id, attempt: 0, elapsed: 20 * MS });
        let ended = AttemptEnded {
            request: id,
            attempt: 0,
            outcome: Outcome::Completed,
            elapsed: 400 * MS,
            request_over: true,
            cached_tokens: Some(800),
            load: Vec::new(),
        };
        self.handle(Event::AttemptEnded(ended));
    }

    /// Delivers two list changes: a replica drains and is ready again.
    pub fn drain_and_restore(&mut self) {
        self.now += MS;
        for state in [EndpointState::Draining, EndpointState::Ready] {
            let entries = vec![EndpointEntry { state, ..ready_entry(3) }];
            self.handle(Event::EndpointList { kind: ListUpdate::Delta, entries });
        }
    }
}
