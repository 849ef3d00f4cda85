//! Buckets and reports: the paper's example with this module's own figures, hostile reports, losses.
#![allow(missing_docs)]

mod common;

use common::*;
use tallypin::api::*;
use tallypin::served_report;

fn pair(quota: f64) -> Vec<World> {
    (0..2)
        .map(|me| {
            let mut set = settings(2, me);
            set.tenants = vec![Tenant { quota_per_s: quota }];
            World::with_replicas(set, u64::from(me), 6)
        })
        .collect()
}

/// Delivers what either router told the other since the last call.
fn exchange(pair: &mut [World]) {
    for me in 0..2 {
        let told = std::mem::take(&mut pair[me].gossip);
        for bytes in told {
            let other = &mut pair[1 - me];
            other.handle(Event::PeerMessage { from: PeerId(me as u32), bytes });
        }
    }
}

#[test]
fn the_paper_s_example_of_two_routers() {
    // A client sends 17 requests at once, 9 to A and 8 to B, at a quota of one a second: both grant
    // their burst, the reports tell each of the other's hits, and both refuse until the debt is gone.
    let mut ab = pair(1.0);
    for w in &mut ab {
        w.run_to(w.now + 60 * SECOND); // time enough for a full bucket
    }
    let mut id = 0;
    let mut ask = |w: &mut World| {
        id += 1;
        w.serve(request(id))
    };
    let granted = (0..9).filter(|_| ask(&mut ab[0])).count() + (0..8).filter(|_| ask(&mut ab[1])).count();
    assert!((6..=16).contains(&granted), "each grants its burst, no more: {granted}");
    for _ in 0..2 {
        for w in &mut ab {
            w.run_to(w.now + 300 * MS);
        }
        exchange(&mut ab);
    }
    assert!(!ask(&mut ab[0]) && !ask(&mut ab[1]), "both know of the other's hits");
    // In the long run both together grant about one a second, headroom included.
    let mut served = 0;
    for _ in 0..600 {
        for w in &mut ab {
            w.run_to(w.now + 100 * MS);
            served += u32::from(ask(w));
        }
        exchange(&mut ab);
    }
    assert!((40..=100).contains(&served), "{served} in 60 s at a quota of 1/s and up to half more");
}

#[test]
fn a_rejection_says_when_there_will_be_a_token() {
    let mut set = settings(1, 0);
    set.tenants = vec![Tenant { quota_per_s: 2.0 }];
    let mut w = World::with_replicas(set, 3, 4);
    let mut n = 0;
    let wait = loop {
        n += 1;
        let out = w.submit(request(n));
        if let Some(wait) = World::retry_after_of(&out) {
            break wait;
        }
    };
    assert!(n < 20, "a bucket of 2 a second does not last");
    assert!(wait > 0 && wait <= 500 * MS, "the deficit below one token over the rate: {wait} at {n}");
    w.run_to(w.now + wait);
    n += 1;
    assert!(World::sent_to(&w.submit(request(n))).is_some());
}

#[test]
fn an_admitted_request_that_ends_unserved_returns_its_token() {
    let mut set = settings(1, 0);
    set.tenants = vec![Tenant { quota_per_s: 1.0 }];
    set.max_attempts = 1;
    let mut w = World::with_replicas(set, 3, 4);
    // Far more than any burst, all at one moment: each gives back what it took.
    for n in 1..100 {
        if World::sent_to(&w.submit(request(n))).is_some() {
            w.end_attempt(RequestId(n), 0, Outcome::Rejected);
        }
    }
    assert!(World::sent_to(&w.submit(request(1000))).is_some());
}

#[test]
fn a_resumed_stream_is_not_charged_twice() {
    let mut set = settings(1, 0);
    set.tenants = vec![Tenant { quota_per_s: 1.0 }];
    let mut w = World::with_replicas(set, 3, 4);
    let mut n = 1;
    while World::sent_to(&w.submit(request(n))).is_some() {
        n += 1;
    }
    let back = Request { resumes_stream: true, ..request(n + 1) };
    assert!(World::sent_to(&w.submit(back)).is_some());
}

#[test]
fn without_tenants_or_peers_everything_is_admitted_and_nothing_reported() {
    let mut set = settings(3, 0);
    set.tenants.clear();
    let mut w = World::with_replicas(set, 3, 4);
    for n in 0..500 {
        assert!(w.serve(request(n)));
    }
    w.run_to(w.now + 10 * SECOND);
    assert!(w.gossip.is_empty());
}

#[test]
fn a_restarted_router_starts_with_its_share() {
    // 40 routers, 40 requests a second: each may grant about its own part of the fleet's burst.
    let mut granted = 0;
    for me in 0..40 {
        let mut set = settings(40, me);
        set.tenants = vec![Tenant { quota_per_s: 40.0 }];
        let mut w = World::with_replicas(set, u64::from(me), 10);
        granted += (1..300).filter(|&n| w.serve(request(n))).count();
    }
    assert!(granted > 40 && granted < 40 * 10, "{granted} of all together, not 40 full bursts of 160");
}

#[test]
fn reports_round_trip_largest_first_within_256_bytes() {
    let counts: Vec<_> = (0..500).map(|tenant| served(1000 - tenant, tenant)).collect();
    let messages = served_report::encode(TenantsDigest::default(), 250, &counts);
    assert!(messages.len() > 1 && messages.iter().all(|m| m.len() <= 256));
    let mut back = vec![];
    for m in &messages {
        let report = served_report::decode(TenantsDigest::default(), m).expect("own messages decode");
        assert_eq!(report.span_ms, 250);
        back.extend(report.served);
    }
    assert_eq!(back, counts);
    assert_eq!(served_report::encode(TenantsDigest::default(), 250, &[]), Vec::<Vec<u8>>::new());
}

#[test]
fn hostile_reports_change_nothing() {
    let good = served_report::encode(TenantsDigest::default(), 1000, &[served(5, 0)]).remove(0);
    let mut bad: Vec<Vec<u8>> = vec![vec![], vec![9], vec![0; 257], vec![1; 300], vec![1, 0xff, 0xff, 0xff]];
    for cut in 1..good.len() {
        if cut != 5 {
            bad.push(good[..cut].to_vec()); // in the midst of a number or a pair
        }
    }
    bad.push([&good[..3], &[255; 20]].concat());
    bad.push(served_report::encode(TenantsDigest::default(), 1000, &[served(u32::MAX, 0)]).remove(0)); // an absurd count
    for b in &bad {
        assert!(served_report::decode(TenantsDigest::default(), b).is_err(), "{b:?}");
    }
    // An unknown tenant, an unknown peer, and oneself as a peer, in numbers that would empty any bucket.
    let mut w = World::with_replicas(settings(2, 0), 1, 4);
    let huge =
        |tenant| served_report::encode(TenantsDigest::default(), 1000, &[served(900_000, tenant)]).remove(0);
    w.handle(Event::PeerMessage { from: PeerId(1), bytes: huge(7) });
    w.handle(Event::PeerMessage { from: PeerId(2), bytes: huge(0) });
    w.handle(Event::PeerMessage { from: PeerId(0), bytes: huge(0) });
    for b in bad {
        w.handle(Event::PeerMessage { from: PeerId(1), bytes: b });
    }
    assert!(w.serve(request(1)));
    w.handle(Event::PeerMessage { from: PeerId(1), bytes: huge(0) });
    assert!(!w.serve(request(2)), "the same from a peer about a tenant counts");
}

/// Guards against tenants' hits that drain the buckets of others while a change of the settings is being rolled out.
#[test]
fn reports_of_routers_with_other_tenants_drain_no_bucket() {
    let digest = |names: &[&str]| TenantsDigest::from_names(names.iter().copied());
    let mine = digest(&["alpha", "beta"]);
    let others = [
        ("another order", digest(&["beta", "alpha"])),
        ("one more", digest(&["alpha", "beta", "gamma"])),
        ("one less", digest(&["alpha"])),
        ("another name", digest(&["alpha", "betb"])),
        ("the same text cut elsewhere", digest(&["alp", "habeta"])),
        ("none", digest(&[])),
    ];
    let mut set = settings(2, 0);
    set.tenants = vec![Tenant { quota_per_s: 1000.0 }; 2];
    set.digest = mine;
    let mut router = World::with_replicas(set, 1, 4);
    for (what, other) in others {
        let bytes = served_report::encode(other, 1000, &[served(900_000, 0), served(900_000, 1)]).remove(0);
        assert_eq!(
            served_report::decode(mine, &bytes),
            Err(served_report::ReportError::ForeignDigest),
            "{what}"
        );
        router.handle(Event::PeerMessage { from: PeerId(1), bytes });
    }
    // The form of the version before, whose first byte was 1.
    router.handle(Event::PeerMessage { from: PeerId(1), bytes: vec![1, 100, 0, 0xa0, 0xf7, 0x36] });
    assert!(router.serve(request(1)), "nobody's hits were counted");
    let bytes = served_report::encode(mine, 1000, &[served(900_000, 0)]).remove(0);
    router.handle(Event::PeerMessage { from: PeerId(1), bytes });
    assert!(!router.serve(request(2)), "those of a router with the same tenants are");
}

#[test]
fn a_silent_peer_s_forecast_fades() {
    let mut set = settings(2, 0);
    set.tenants = vec![Tenant { quota_per_s: 10.0 }];
    let mut w = World::with_replicas(set, 1, 4);
    // The peer serves all of the quota for a while, then falls silent.
    for _ in 0..80 {
        w.run_to(w.now + 250 * MS);
        w.handle(Event::PeerMessage {
            from: PeerId(1),
            bytes: served_report::encode(TenantsDigest::default(), 250, &[served(3, 0)]).remove(0),
        });
    }
    let mut n = 0;
    let mut served = |w: &mut World| {
        let mut count = 0;
        for _ in 0..100 {
            w.run_to(w.now + 50 * MS);
            n += 1;
            count += u32::from(w.serve(request(n)));
        }
        count
    };
    let (first, _, third) = (served(&mut w), served(&mut w), served(&mut w));
    assert!(first < third, "{first} while the peer is remembered, {third} later");
    assert!(third >= 45, "{third} in 5 s: the whole quota of 10 a second");
}

#[test]
fn unusable_settings_are_rejected_with_a_typed_error() {
    let bad = |change: &dyn Fn(&mut Settings)| {
        let mut set = settings(2, 0);
        change(&mut set);
        tallypin::Balancer::new(set, 1).err()
    };
    assert_eq!(bad(&|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(bad(&|s| s.tenants[0].quota_per_s = 0.0), Some(SettingsError::InvalidNumber("quota_per_s")));
    assert_eq!(
        bad(&|s| s.tenants[0].quota_per_s = f64::NAN),
        Some(SettingsError::InvalidNumber("quota_per_s"))
    );
    assert_eq!(
        bad(&|s| s.initial_capacity_share = f64::INFINITY),
        Some(SettingsError::InvalidNumber("cold_share"))
    );
    assert_eq!(bad(&|s| s.classes[0].latency_objective = 0), Some(SettingsError::InvalidNumber("aim")));
    assert_eq!(bad(&|s| s.max_attempts = 0), Some(SettingsError::InvalidNumber("try_limit")));
    assert_eq!(bad(&|s| s.own_index = PeerId(2)), Some(SettingsError::InvalidRouterIndex));
    assert_eq!(bad(&|s| s.router_count = 0), Some(SettingsError::InvalidRouterIndex));
    assert_eq!(bad(&|_| ()), None);
}

#[test]
fn a_lost_report_stays_uncounted() {
    // Two routers hear the same peer at the same rate; one misses every third report. What it missed is
    // forecast and then handed back, so it grants no less than the other.
    let granted = |lossy: bool| {
        let mut set = settings(2, 0);
        set.tenants = vec![Tenant { quota_per_s: 20.0 }];
        let mut w = World::with_replicas(set, 1, 4);
        let (mut n, mut count) = (0, 0);
        for period in 0..120 {
            for _ in 0..10 {
                w.run_to(w.now + 25 * MS);
                n += 1;
                count += u32::from(w.serve(request(n)));
            }
            if !(lossy && period % 3 == 0) {
                w.handle(Event::PeerMessage {
                    from: PeerId(1),
                    bytes: served_report::encode(TenantsDigest::default(), 250, &[served(3, 0)]).remove(0),
                });
            }
        }
        count
    };
    let (all, lossy) = (granted(false), granted(true));
    assert!(lossy >= all, "{lossy} with losses, {all} without");
    assert!(lossy <= all * 2, "but no flood: {lossy} against {all}");
}

#[test]
fn requests_rejected_together_get_different_retry_times() {
    let mut w =
        World::with_replicas(Settings { tenants: vec![Tenant { quota_per_s: 2.0 }], ..settings(1, 0) }, 3, 4);
    let advice: Vec<Nanos> = (0..200)
        .flat_map(|n| w.submit(request(n)))
        .filter_map(|a| match a {
            Action::Reject { retry_after, reason: RejectReason::QuotaExceeded, .. } => Some(retry_after),
            _ => None,
        })
        .collect();
    let (least, most) = (advice.iter().min().expect("refused"), advice.iter().max().expect("refused"));
    assert!(advice.len() > 150 && *least > 0 && *most <= w.settings.max_retry_after);
    let mut apart = advice.clone();
    apart.sort_unstable();
    apart.dedup();
    assert!(apart.len() * 10 > advice.len() * 9, "{} times of {}", apart.len(), advice.len());
    assert!(*most as f64 > 1.8 * *least as f64, "from {least} to {most}");
}
