//! The balancer allocates no memory for a request of a known session, whatever the size of the fleet.
#![allow(missing_docs)]

mod common;

use common::{ready_entry, request, test_settings, MS};
use tallypin::api::*;
use tallypin::Balancer;

/// Handles `count` requests of 300 sessions, eight at a time, from arrival to end of stream. Returns how many were sent.
fn handle_requests(
    balancer: &mut Balancer,
    now: &mut Nanos,
    first: u64,
    count: u64,
    actions: &mut Vec<Action>,
) -> u64 {
    let mut sent = 0;
    for n in first..first + count {
        *now += MS;
        let session = Some(SessionKey(n % 300));
        actions.clear();
        balancer.handle(*now, Event::Request(Request { session, ..request(n) }), actions);
        sent += actions.iter().filter(|action| matches!(action, Action::Send { .. })).count() as u64;
        let id = RequestId(n - 8);
        balancer.handle(*now, Event::FirstToken { request: id, attempt: 0, elapsed: 8 * MS }, actions);
        let ended = AttemptEnded {
            request: id,
            attempt: 0,
            outcome: Outcome::Completed,
            elapsed: 8 * MS,
            request_over: true,
            cached_tokens: Some(800),
            load: Vec::new(),
        };
        balancer.handle(*now, Event::AttemptEnded(ended), actions);
    }
    sent
}

#[test]
fn a_request_of_a_known_session_allocates_nothing_in_fleets_of_any_size() {
    for replicas in [10, 300, 10_000] {
        let mut balancer = Balancer::new(test_settings(1, 0), 7).expect("the settings are valid");
        let (mut now, mut actions) = (1_000_000 * MS, Vec::with_capacity(64));
        let rows = (0..replicas).map(ready_entry).collect();
        balancer.handle(now, Event::EndpointList { kind: ListUpdate::Full, entries: rows }, &mut actions);
        // Hash tables grow to their final sizes, and each session gets its preferred replica.
        handle_requests(&mut balancer, &mut now, 8, 20_000, &mut actions);
        let mut sent = 0;
        let allocations = allocation_counter::measure(|| {
            sent = handle_requests(&mut balancer, &mut now, 20_008, 500, &mut actions);
        });
        assert!(sent > 400, "{sent} of 500 requests sent: most must not be rejected");
        assert_eq!(allocations.count_total, 0, "allocations for 500 requests with {replicas} replicas");
    }
}
