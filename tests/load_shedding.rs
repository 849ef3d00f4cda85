//! Requests that are rejected under load.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin::api::*;

/// A request without a session or a prefix.
fn request_without_affinity(id: u64) -> Request {
    Request { prefix: None, session: None, prefix_tokens: 0, ..request(id) }
}

#[test]
fn under_load_a_request_predicted_to_be_late_is_rejected() {
    let is_sent = |late_value_share: f64, wait: Nanos, resumes_stream: bool| {
        let mut settings = test_settings(1, 0);
        settings.classes[0].late_value_share = late_value_share;
        let mut router = TestRouter::with_replicas(settings, 5, 2);
        for n in 0..60 {
            router.submit(request_without_affinity(n));
            router.run_to(router.now + wait);
            router.first_token(RequestId(n), 0);
            router.end_attempt(RequestId(n), 0, Outcome::Completed);
        }
        // A prefill of 15,000 tokens ends within the deadline of 4 s, but not within the latency objective of 1.45 s.
        let long_request = Request { prompt_tokens: 15_000, resumes_stream, ..request_without_affinity(99) };
        TestRouter::sent_to(&router.submit(long_request)).is_some()
    };
    assert!(
        is_sent(0.2, 20 * MS, false),
        "a predicted delay is accepted while most first tokens come at once"
    );
    assert!(!is_sent(0.2, 300 * MS, false));
    assert!(is_sent(1.0, 300 * MS, false), "a late answer has its full value");
    assert!(is_sent(0.2, 300 * MS, true), "a resumed stream is not rejected");
}

#[test]
fn a_request_with_less_time_than_first_tokens_take_is_rejected_at_once() {
    let is_sent = |wait: Nanos, time_left: Nanos| {
        let mut router = TestRouter::with_replicas(test_settings(1, 0), 5, 4);
        for n in 0..20 {
            router.submit(request_without_affinity(n));
            router.run_to(router.now + wait);
            router.first_token(RequestId(n), 0);
            router.end_attempt(RequestId(n), 0, Outcome::Completed);
        }
        // Other replicas replace them. Of these only the prefill speed is known.
        router.update_list(ListUpdate::Full, (10..14).map(ready_entry).collect());
        let short_request =
            Request { time_left, prompt_tokens: 100, prefix_tokens: 0, ..request_without_affinity(99) };
        TestRouter::sent_to(&router.submit(short_request)).is_some()
    };
    assert!(is_sent(20 * MS, 200 * MS), "200 ms are enough if first tokens take 20 ms");
    assert!(!is_sent(600 * MS, 200 * MS), "200 ms are not enough if first tokens take 600 ms");
    assert!(is_sent(600 * MS, 2 * SECOND));
}

#[test]
fn load_reduces_the_admitted_rate_below_the_quota() {
    // First tokens take longer than the latency objective, so less than the quota is admitted for some to be in time.
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
            if TestRouter::sent_to(&router.submit(request_without_affinity(n))).is_some() {
                count += u32::from(n >= 300);
                pending.push_back((router.now + after, RequestId(n)));
            }
        }
        count
    };
    let (fast, slow) = (admitted(10 * MS), admitted(2 * SECOND));
    assert!(slow * 2 < fast, "{slow} admitted under load, {fast} without");
}
