//! Admission by leaky buckets and served reports: quotas shared by several routers, malformed and lost reports.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin::api::*;
use tallypin::served_report;

fn two_routers(quota: f64) -> Vec<TestRouter> {
    (0..2)
        .map(|own_index| {
            let mut settings = test_settings(2, own_index);
            settings.tenants = vec![Tenant { quota_per_s: quota }];
            TestRouter::with_replicas(settings, u64::from(own_index), 6)
        })
        .collect()
}

/// Delivers the reports that each router has sent since the last call to the other router.
fn exchange_reports(routers: &mut [TestRouter]) {
    for sender in 0..2 {
        let reports = std::mem::take(&mut routers[sender].gossip);
        for bytes in reports {
            let other = &mut routers[1 - sender];
            other.handle(Event::PeerMessage { from: PeerId(sender as u32), bytes });
        }
    }
}

#[test]
fn two_routers_together_grant_about_one_quota() {
    // A client sends 17 requests at once, 9 to router A and 8 to router B, at a quota of 1/s. Both grant their burst. Reports
    // then charge each bucket with the requests that the other served, and both reject until their buckets have refilled.
    let mut routers = two_routers(1.0);
    for router in &mut routers {
        router.run_to(router.now + 60 * SECOND); // long enough to fill the buckets
    }
    let mut id = 0;
    let mut serve_next = |router: &mut TestRouter| {
        id += 1;
        router.serve(request(id))
    };
    let granted = (0..9).filter(|_| serve_next(&mut routers[0])).count()
        + (0..8).filter(|_| serve_next(&mut routers[1])).count();
    assert!((6..=16).contains(&granted), "each router grants only its burst: {granted}");
    for _ in 0..2 {
        for router in &mut routers {
            router.run_to(router.now + 300 * MS);
        }
        exchange_reports(&mut routers);
    }
    assert!(
        !serve_next(&mut routers[0]) && !serve_next(&mut routers[1]),
        "each router counts the requests that the other served"
    );
    // Over 60 s both together grant about 1/s, plus the headroom of the buckets.
    let mut served = 0;
    for _ in 0..600 {
        for router in &mut routers {
            router.run_to(router.now + 100 * MS);
            served += u32::from(serve_next(router));
        }
        exchange_reports(&mut routers);
    }
    assert!(
        (40..=100).contains(&served),
        "{served} served in 60 s at a quota of 1/s with up to half as much headroom"
    );
}

#[test]
fn a_rejection_carries_the_time_until_the_next_token() {
    let mut settings = test_settings(1, 0);
    settings.tenants = vec![Tenant { quota_per_s: 2.0 }];
    let mut router = TestRouter::with_replicas(settings, 3, 4);
    let mut id = 0;
    let wait = loop {
        id += 1;
        let actions = router.submit(request(id));
        if let Some(wait) = TestRouter::retry_after_of(&actions) {
            break wait;
        }
    };
    assert!(id < 20, "the burst of a quota of 2/s is used up");
    assert!(wait > 0 && wait <= 500 * MS, "the time to refill one token at 2/s: {wait} ns at request {id}");
    router.run_to(router.now + wait);
    id += 1;
    assert!(TestRouter::sent_to(&router.submit(request(id))).is_some());
}

#[test]
fn an_admitted_request_that_ends_unserved_returns_its_token() {
    let mut settings = test_settings(1, 0);
    settings.tenants = vec![Tenant { quota_per_s: 1.0 }];
    settings.max_attempts = 1;
    let mut router = TestRouter::with_replicas(settings, 3, 4);
    // Far more requests than any burst, all at the same time: each returns its token.
    for id in 1..100 {
        if TestRouter::sent_to(&router.submit(request(id))).is_some() {
            router.end_attempt(RequestId(id), 0, Outcome::Rejected);
        }
    }
    assert!(TestRouter::sent_to(&router.submit(request(1000))).is_some());
}

#[test]
fn a_resumed_stream_is_not_charged_twice() {
    let mut settings = test_settings(1, 0);
    settings.tenants = vec![Tenant { quota_per_s: 1.0 }];
    let mut router = TestRouter::with_replicas(settings, 3, 4);
    let mut id = 1;
    while TestRouter::sent_to(&router.submit(request(id))).is_some() {
        id += 1;
    }
    let resumed = Request { resumes_stream: true, ..request(id + 1) };
    assert!(TestRouter::sent_to(&router.submit(resumed)).is_some());
}

#[test]
fn without_tenants_every_request_is_admitted_and_nothing_is_reported() {
    let mut settings = test_settings(3, 0);
    settings.tenants.clear();
    let mut router = TestRouter::with_replicas(settings, 3, 4);
    for n in 0..500 {
        assert!(router.serve(request(n)));
    }
    router.run_to(router.now + 10 * SECOND);
    assert!(router.gossip.is_empty());
}

#[test]
fn a_restarted_router_starts_with_its_share_of_the_burst() {
    // 40 routers and a quota of 40/s: each router may grant about a fortieth of the fleet's burst.
    let mut granted = 0;
    for own_index in 0..40 {
        let mut settings = test_settings(40, own_index);
        settings.tenants = vec![Tenant { quota_per_s: 40.0 }];
        let mut router = TestRouter::with_replicas(settings, u64::from(own_index), 10);
        granted += (1..300).filter(|&n| router.serve(request(n))).count();
    }
    assert!(
        granted > 40 && granted < 40 * 10,
        "{granted} granted by 40 routers together, less than 40 full bursts of 160"
    );
}

#[test]
fn reports_round_trip_largest_first_within_256_bytes() {
    let counts: Vec<_> = (0..500).map(|tenant| served(1000 - tenant, tenant)).collect();
    let messages = served_report::encode(TenantsDigest::default(), 250, &counts);
    assert!(messages.len() > 1 && messages.iter().all(|message| message.len() <= 256));
    let mut decoded = vec![];
    for message in &messages {
        let report =
            served_report::decode(TenantsDigest::default(), message).expect("an encoded report decodes");
        assert_eq!(report.span_ms, 250);
        decoded.extend(report.served);
    }
    assert_eq!(decoded, counts);
    assert_eq!(served_report::encode(TenantsDigest::default(), 250, &[]), Vec::<Vec<u8>>::new());
}

#[test]
fn malformed_reports_and_those_of_unknown_senders_or_tenants_are_ignored() {
    let valid = served_report::encode(TenantsDigest::default(), 1000, &[served(5, 0)]).remove(0);
    let mut malformed: Vec<Vec<u8>> =
        vec![vec![], vec![9], vec![0; 257], vec![1; 300], vec![1, 0xff, 0xff, 0xff]];
    for length in 1..valid.len() {
        if length != 5 {
            malformed.push(valid[..length].to_vec()); // ends within a number or between a tenant and its count
        }
    }
    malformed.push([&valid[..3], &[255; 20]].concat());
    malformed.push(served_report::encode(TenantsDigest::default(), 1000, &[served(u32::MAX, 0)]).remove(0)); // count too large
    for bytes in &malformed {
        assert!(served_report::decode(TenantsDigest::default(), bytes).is_err(), "{bytes:?}");
    }
    // Reports of an unknown tenant, of an unknown peer and of the router itself, with counts that would empty any bucket.
    let mut router = TestRouter::with_replicas(test_settings(2, 0), 1, 4);
    let huge_report =
        |tenant| served_report::encode(TenantsDigest::default(), 1000, &[served(900_000, tenant)]).remove(0);
    router.handle(Event::PeerMessage { from: PeerId(1), bytes: huge_report(7) });
    router.handle(Event::PeerMessage { from: PeerId(2), bytes: huge_report(0) });
    router.handle(Event::PeerMessage { from: PeerId(0), bytes: huge_report(0) });
    for bytes in malformed {
        router.handle(Event::PeerMessage { from: PeerId(1), bytes });
    }
    assert!(router.serve(request(1)));
    router.handle(Event::PeerMessage { from: PeerId(1), bytes: huge_report(0) });
    assert!(!router.serve(request(2)), "a valid report of a peer on a known tenant is counted");
}

/// Reports name tenants by their position. While new settings are rolled out, routers with different tenants must not charge
/// the requests of one tenant to the bucket of another.
#[test]
fn reports_of_routers_with_other_tenants_are_ignored() {
    let digest = |names: &[&str]| TenantsDigest::from_names(names.iter().copied());
    let mine = digest(&["alpha", "beta"]);
    let others = [
        ("another order", digest(&["beta", "alpha"])),
        ("one more", digest(&["alpha", "beta", "gamma"])),
        ("one less", digest(&["alpha"])),
        ("another name", digest(&["alpha", "betb"])),
        ("the same text split elsewhere", digest(&["alp", "habeta"])),
        ("none", digest(&[])),
    ];
    let mut settings = test_settings(2, 0);
    settings.tenants = vec![Tenant { quota_per_s: 1000.0 }; 2];
    settings.tenants_digest = mine;
    let mut router = TestRouter::with_replicas(settings, 1, 4);
    for (difference, other) in others {
        let bytes = served_report::encode(other, 1000, &[served(900_000, 0), served(900_000, 1)]).remove(0);
        assert_eq!(
            served_report::decode(mine, &bytes),
            Err(served_report::ReportError::ForeignDigest),
            "{difference}"
        );
        router.handle(Event::PeerMessage { from: PeerId(1), bytes });
    }
    // A report in the previous format, whose first byte is 1.
    router.handle(Event::PeerMessage { from: PeerId(1), bytes: vec![1, 100, 0, 0xa0, 0xf7, 0x36] });
    assert!(router.serve(request(1)), "no report with another digest is counted");
    let bytes = served_report::encode(mine, 1000, &[served(900_000, 0)]).remove(0);
    router.handle(Event::PeerMessage { from: PeerId(1), bytes });
    assert!(!router.serve(request(2)), "a report of a router with the same tenants is counted");
}

#[test]
fn the_forecast_for_a_silent_peer_decays() {
    let mut settings = test_settings(2, 0);
    settings.tenants = vec![Tenant { quota_per_s: 10.0 }];
    let mut router = TestRouter::with_replicas(settings, 1, 4);
    // The peer serves the whole quota for 20 s and then sends no more reports.
    for _ in 0..80 {
        router.run_to(router.now + 250 * MS);
        router.handle(Event::PeerMessage {
            from: PeerId(1),
            bytes: served_report::encode(TenantsDigest::default(), 250, &[served(3, 0)]).remove(0),
        });
    }
    let mut id = 0;
    let mut served = |router: &mut TestRouter| {
        let mut count = 0;
        for _ in 0..100 {
            router.run_to(router.now + 50 * MS);
            id += 1;
            count += u32::from(router.serve(request(id)));
        }
        count
    };
    let (first, _, third) = (served(&mut router), served(&mut router), served(&mut router));
    assert!(first < third, "{first} served while the forecast for the peer lasts, {third} later");
    assert!(third >= 45, "{third} served in 5 s, about the whole quota of 10/s");
}

#[test]
fn unusable_settings_are_rejected_with_a_typed_error() {
    let error_of = |change: &dyn Fn(&mut Settings)| {
        let mut settings = test_settings(2, 0);
        change(&mut settings);
        tallypin::Balancer::new(settings, 1).err()
    };
    assert_eq!(error_of(&|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(
        error_of(&|s| s.tenants[0].quota_per_s = 0.0),
        Some(SettingsError::InvalidNumber("quota_per_s"))
    );
    assert_eq!(
        error_of(&|s| s.tenants[0].quota_per_s = f64::NAN),
        Some(SettingsError::InvalidNumber("quota_per_s"))
    );
    assert_eq!(
        error_of(&|s| s.initial_capacity_share = f64::INFINITY),
        Some(SettingsError::InvalidNumber("cold_share"))
    );
    assert_eq!(error_of(&|s| s.classes[0].latency_objective = 0), Some(SettingsError::InvalidNumber("aim")));
    assert_eq!(error_of(&|s| s.max_attempts = 0), Some(SettingsError::InvalidNumber("try_limit")));
    assert_eq!(error_of(&|s| s.own_index = PeerId(2)), Some(SettingsError::InvalidRouterIndex));
    assert_eq!(error_of(&|s| s.router_count = 0), Some(SettingsError::InvalidRouterIndex));
    assert_eq!(error_of(&|_| ()), None);
}

#[test]
fn lost_reports_do_not_reduce_what_a_router_grants() {
    // Two routers get reports of the same peer, and one misses every third report. The router forecasts the missed counts and
    // returns them to the bucket later, so it grants no less than the other.
    let granted = |lossy: bool| {
        let mut settings = test_settings(2, 0);
        settings.tenants = vec![Tenant { quota_per_s: 20.0 }];
        let mut router = TestRouter::with_replicas(settings, 1, 4);
        let (mut id, mut count) = (0, 0);
        for period in 0..120 {
            for _ in 0..10 {
                router.run_to(router.now + 25 * MS);
                id += 1;
                count += u32::from(router.serve(request(id)));
            }
            if !(lossy && period % 3 == 0) {
                router.handle(Event::PeerMessage {
                    from: PeerId(1),
                    bytes: served_report::encode(TenantsDigest::default(), 250, &[served(3, 0)]).remove(0),
                });
            }
        }
        count
    };
    let (without_losses, lossy) = (granted(false), granted(true));
    assert!(lossy >= without_losses, "{lossy} granted with losses, {without_losses} without");
    assert!(
        lossy <= without_losses * 2,
        "losses do not double what is granted: {lossy} with losses, {without_losses} without"
    );
}

#[test]
fn requests_rejected_together_get_different_retry_times() {
    let mut router = TestRouter::with_replicas(
        Settings { tenants: vec![Tenant { quota_per_s: 2.0 }], ..test_settings(1, 0) },
        3,
        4,
    );
    let retry_times: Vec<Nanos> = (0..200)
        .flat_map(|id| router.submit(request(id)))
        .filter_map(|action| match action {
            Action::Reject { retry_after, reason: RejectReason::QuotaExceeded, .. } => Some(retry_after),
            _ => None,
        })
        .collect();
    let (shortest, longest) = (
        retry_times.iter().min().expect("some requests were rejected"),
        retry_times.iter().max().expect("some requests were rejected"),
    );
    assert!(retry_times.len() > 150 && *shortest > 0 && *longest <= router.settings.max_retry_after);
    let mut distinct = retry_times.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(
        distinct.len() * 10 > retry_times.len() * 9,
        "{} different retry times of {} rejections",
        distinct.len(),
        retry_times.len()
    );
    assert!(*longest as f64 > 1.8 * *shortest as f64, "retry times from {shortest} to {longest} ns");
}
