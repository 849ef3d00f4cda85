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
        let mut settings = test_settings(1, 0);
        settings.classes[0].late_value_share = late_share;
        let mut router = TestRouter::with_replicas(settings, 5, 2);
        for n in 0..60 {
            router.submit(plain(n));
            router.run_to(router.now + wait);
            router.first_token(RequestId(n), 0);
            router.end_attempt(RequestId(n), 0, Outcome::Completed);
        }
        // 15,000 tokens to read: within the 4 s that the client waits, not within the aim of 1.45 s.
        let long = Request { prompt_tokens: 15_000, resumes_stream: returned, ..plain(99) };
        TestRouter::sent_to(&router.submit(long)).is_some()
    };
    assert!(begun(0.2, 20 * MS, false), "while most begin at once the prediction is not held against it");
    assert!(!begun(0.2, 300 * MS, false));
    assert!(begun(1.0, 300 * MS, false), "late is as good");
    assert!(begun(0.2, 300 * MS, true), "a stream that has begun is finished");
}

#[test]
fn a_request_with_less_time_than_first_tokens_take_is_rejected_at_once() {
    let begun = |wait: Nanos, left: Nanos| {
        let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 4);
        for n in 0..20 {
            router.submit(plain(n));
            router.run_to(router.now + wait);
            router.first_token(RequestId(n), 0);
            router.end_attempt(RequestId(n), 0, Outcome::Completed);
        }
        // Others take their place: of these no more is known than the reading.
        router.update_list(ListUpdate::Full, (10..14).map(ready_entry).collect());
        let asked = Request { time_left: left, prompt_tokens: 100, prefix_tokens: 0, ..plain(99) };
        TestRouter::sent_to(&router.submit(asked)).is_some()
    };
    assert!(begun(20 * MS, 200 * MS), "where first tokens take 20 ms there is time");
    assert!(!begun(600 * MS, 200 * MS), "where they take 600 ms there is not");
    assert!(begun(600 * MS, 2 * SECOND));
}

#[test]
fn load_cuts_every_tenant_s_quota_alike() {
    // First tokens at twice the aim: less is admitted than the quota, so that some come in time.
    let mut settings = test_settings(1, 0);
    settings.tenants = vec![Tenant { quota_per_s: 20.0 }];
    let admitted = |after: Nanos| {
        let mut router = TestRouter::with_replicas(settings.clone(), 5, 8);
        let mut count = 0;
        let mut pending = std::collections::VecDeque::new();
        for n in 0..600 {
            router.run_to(router.now + 50 * MS);
            while pending.front().is_some_and(|&(at, _)| router.now >= at) {
                let (_, id) = pending.pop_front().unwrap();
                router.first_token(id, 0);
                router.end_attempt(id, 0, Outcome::Completed);
            }
            if TestRouter::sent_to(&router.submit(plain(n))).is_some() {
                count += u32::from(n >= 300);
                pending.push_back((router.now + after, RequestId(n)));
            }
        }
        count
    };
    let (fast, slow) = (admitted(10 * MS), admitted(2 * SECOND));
    assert!(slow * 2 < fast, "{slow} under strain, {fast} without");
}
