//! What is rejected or held back under load.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin::api::*;

fn plain(id: u64) -> Request {
    Request { prefix: None, session: None, prefix_tokens: 0, ..request(id) }
}

#[test]
fn under_load_nothing_is_sent_that_would_be_late() {
    let begun = |late_share: f64, wait: Nanos, returned: bool| {
        let mut set = settings(1, 0);
        set.classes[0].late_value_share = late_share;
        let mut w = World::with_replicas(set, 5, 2);
        for n in 0..60 {
            w.submit(plain(n));
            w.run_to(w.now + wait);
            w.first_token(RequestId(n), 0);
            w.end_attempt(RequestId(n), 0, Outcome::Completed);
        }
        // 15,000 tokens to read: within the 4 s that the client waits, not within the aim of 1.45 s.
        let long = Request { prompt_tokens: 15_000, resumes_stream: returned, ..plain(99) };
        World::sent_to(&w.submit(long)).is_some()
    };
    assert!(begun(0.2, 20 * MS, false), "while most begin at once the prediction is not held against it");
    assert!(!begun(0.2, 300 * MS, false));
    assert!(begun(1.0, 300 * MS, false), "late is as good");
    assert!(begun(0.2, 300 * MS, true), "a stream that has begun is finished");
}

#[test]
fn a_request_with_less_time_than_first_tokens_take_is_rejected_at_once() {
    let begun = |wait: Nanos, left: Nanos| {
        let mut w = World::with_replicas(settings(1, 0), 5, 4);
        for n in 0..20 {
            w.submit(plain(n));
            w.run_to(w.now + wait);
            w.first_token(RequestId(n), 0);
            w.end_attempt(RequestId(n), 0, Outcome::Completed);
        }
        // Others take their place: of these no more is known than the reading.
        w.update_list(ListUpdate::Full, (10..14).map(row).collect());
        let asked = Request { time_left: left, prompt_tokens: 100, prefix_tokens: 0, ..plain(99) };
        World::sent_to(&w.submit(asked)).is_some()
    };
    assert!(begun(20 * MS, 200 * MS), "where first tokens take 20 ms there is time");
    assert!(!begun(600 * MS, 200 * MS), "where they take 600 ms there is not");
    assert!(begun(600 * MS, 2 * SECOND));
}

#[test]
fn load_cuts_every_tenant_s_quota_alike() {
    // First tokens at twice the aim: less is admitted than the quota, so that some come in time.
    let mut set = settings(1, 0);
    set.tenants = vec![Tenant { quota_per_s: 20.0 }];
    let admitted = |after: Nanos| {
        let mut w = World::with_replicas(set.clone(), 5, 8);
        let mut count = 0;
        let mut pending = std::collections::VecDeque::new();
        for n in 0..600 {
            w.run_to(w.now + 50 * MS);
            while pending.front().is_some_and(|&(at, _)| w.now >= at) {
                let (_, id) = pending.pop_front().unwrap();
                w.first_token(id, 0);
                w.end_attempt(id, 0, Outcome::Completed);
            }
            if World::sent_to(&w.submit(plain(n))).is_some() {
                count += u32::from(n >= 300);
                pending.push_back((w.now + after, RequestId(n)));
            }
        }
        count
    };
    let (fast, slow) = (admitted(10 * MS), admitted(2 * SECOND));
    assert!(slow * 2 < fast, "{slow} under strain, {fast} without");
}
