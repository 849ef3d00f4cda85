//! What an ordinary request allocates in the module: nothing, whatever the size of the fleet.
#![allow(missing_docs)]

mod common;

use common::{request, row, settings, MS};
use tallypin::api::*;
use tallypin::Balancer;

/// Requests from their arrival to the end of their streams, a few at a time, of sessions that have been here before.
fn requests(module: &mut Balancer, now: &mut Nanos, first: u64, many: u64, out: &mut Vec<Action>) -> u64 {
    let mut sent = 0;
    for n in first..first + many {
        *now += MS;
        let session = Some(SessionKey(n % 300));
        out.clear();
        module.handle(*now, Event::Request(Request { session, ..request(n) }), out);
        sent += out.iter().filter(|a| matches!(a, Action::Send { .. })).count() as u64;
        let id = RequestId(n - 8);
        module.handle(*now, Event::FirstToken { request: id, attempt: 0, elapsed: 8 * MS }, out);
        let end = AttemptEnded {
            request: id,
            attempt: 0,
            outcome: Outcome::Completed,
            elapsed: 8 * MS,
            request_over: true,
            cached_tokens: Some(800),
            load: Vec::new(),
        };
        module.handle(*now, Event::AttemptEnded(end), out);
    }
    sent
}

#[test]
fn an_ordinary_request_allocates_nothing_in_fleets_of_any_size() {
    for nodes in [10, 300, 10_000] {
        let mut module = Balancer::new(settings(1, 0), 7).expect("the settings are good");
        let (mut now, mut out) = (1_000_000 * MS, Vec::with_capacity(64));
        let rows = (0..nodes).map(row).collect();
        module.handle(now, Event::EndpointList { kind: ListUpdate::Full, rows }, &mut out);
        // Tables grow to their sizes, and sessions' homes are found.
        requests(&mut module, &mut now, 8, 20_000, &mut out);
        let mut sent = 0;
        let spent = allocation_counter::measure(|| {
            sent = requests(&mut module, &mut now, 20_008, 500, &mut out);
        });
        assert!(sent > 400, "{sent} of 500 sent: these are to be ordinary requests");
        assert_eq!(spent.count_total, 0, "allocations of 500 requests with {nodes} replicas");
    }
}
