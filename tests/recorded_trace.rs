//! Decisions recorded step by step: deployments played event by event give the same actions as when their traces were
//! recorded, to the last digit. `RECORD=1 cargo test -p tallypin --test recorded_trace` writes the traces anew.
#![allow(missing_docs)]

mod common;
#[path = "common/played.rs"]
mod played;
#[path = "common/trace_text.rs"]
mod trace_text;

use std::collections::BTreeMap;
use std::path::PathBuf;

use common::{settings, MS};
use played::{Scenario, Scene};
use tallypin::api::*;

const NAMES: [&str; 10] = [
    "alone",
    "three_gateways",
    "asked_list",
    "no_cancel",
    "no_peers_no_tenants",
    "many_gateways",
    "large_fleet",
    "cold_fleet",
    "small_fleet",
    "few_requests",
];

fn folder() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/trace"))
}

/// Five classes: each effect of a repeat, each group, with and without worth after the objective.
fn classes() -> Vec<Class> {
    let class = |aim: u64, effect, late_share| Class {
        latency_objective: aim * MS,
        latency_objective_per_1000_tokens: 30 * MS,
        token_interval_objective: 50 * MS,
        effect,
        priority_weight: 1.0,
        late_value_share: late_share,
    };
    let keyed = |group, window| Effect::IdempotentByKey { scope: group, window };
    vec![
        class(800, Effect::Idempotent, 0.2),
        class(1500, keyed(DeduplicationScope::AllReplicas, 5 * SECOND), 1.0),
        class(600, keyed(DeduplicationScope::Zone, 2 * SECOND), 0.0),
        class(1000, keyed(DeduplicationScope::Cell, 4 * SECOND), 0.5),
        class(1200, Effect::NotIdempotent, 0.3),
    ]
}

fn usual(name: &'static str) -> Scenario {
    let tenants = [10.0, 5.0, 0.5, 20.0].map(|quota_per_s| Tenant { quota_per_s }).to_vec();
    let report =
        vec![LoadField::Queue, LoadField::Other, LoadField::Utilization, LoadField::PrefillBacklogThousands];
    let settings = Settings {
        tenants,
        classes: classes(),
        concurrent_attempts: true,
        digest: TenantsDigest::from_names(["one", "two", "three", "four"]),
        report_fields: report,
        ..settings(1, 0)
    };
    Scenario {
        name,
        seed: 49,
        settings,
        played: vec![0],
        replicas: 10,
        zones: 1,
        kinds: 2,
        per_10_s: 140,
        first: 10 * MS,
        faults: 25,
        freezes: 4,
        trouble_ms: 900,
        events: 16_000,
    }
}

fn deployment(name: &'static str) -> Scenario {
    let usual = usual(name);
    let set = usual.settings.clone();
    match name {
        "alone" => Scenario { zones: 2, trouble_ms: 2500, freezes: 10, ..usual },
        "three_gateways" => {
            let settings = Settings { router_count: 3, cross_zone_cost: 0.05, ..set };
            Scenario { settings, played: vec![0, 1, 2], zones: 3, per_10_s: 200, seed: 50, ..usual }
        }
        "asked_list" => {
            let list = EndpointListMode::Polled { max_poll_interval: 6 * SECOND };
            let settings = Settings { router_count: 2, list_mode: list, report_fields: vec![], ..set };
            Scenario { settings, played: vec![0, 1], zones: 2, first: 250 * MS, seed: 51, ..usual }
        }
        "no_cancel" => {
            let settings = Settings { can_cancel: false, concurrent_attempts: false, max_attempts: 2, ..set };
            Scenario { settings, kinds: 4, first: 120 * MS, seed: 52, ..usual }
        }
        "no_peers_no_tenants" => {
            let settings =
                Settings { router_count: 2, has_peers: false, tenants: vec![], max_attempts: 1, ..set };
            Scenario { settings, played: vec![1], faults: 60, seed: 53, ..usual }
        }
        _ => fleet(name, usual),
    }
}

/// Deployments that differ by their size or by how replicas start.
fn fleet(name: &str, usual: Scenario) -> Scenario {
    let set = usual.settings.clone();
    match name {
        "many_gateways" => {
            let tenants = [60.0, 500.0, 5.0, 900.0].map(|quota_per_s| Tenant { quota_per_s }).to_vec();
            let settings =
                Settings { router_count: 300, tenants, initial_capacity_share: 0.05, zone: ZoneId(1), ..set };
            let played = vec![0, 150, 299];
            Scenario { settings, played, replicas: 60, zones: 2, first: 80 * MS, seed: 54, ..usual }
        }
        "large_fleet" => {
            let tenants = [30.0, 60.0, 5.0, 90.0].map(|quota_per_s| Tenant { quota_per_s }).to_vec();
            let settings = Settings {
                router_count: 4,
                tenants,
                max_attempts: 4,
                cross_zone_cost: 0.002,
                idle_timeout: SECOND,
                ..set
            };
            let d = Scenario { settings, played: vec![0, 3], replicas: 400, zones: 2, seed: 55, ..usual };
            Scenario { per_10_s: 600, trouble_ms: 120, kinds: 3, ..d }
        }
        "cold_fleet" => {
            let settings = Settings {
                warm_up_time: 25 * SECOND,
                overload_window: SECOND,
                overload_multiple: 1.5,
                initial_capacity_share: 0.3,
                max_retry_after: 0,
                ..set
            };
            Scenario { settings, replicas: 24, trouble_ms: 250, per_10_s: 200, seed: 56, ..usual }
        }
        // Hardly a home for a beginning, and more faults than further attempts are saved for.
        "small_fleet" => {
            let settings = Settings { cross_zone_cost: 0.2, max_attempts: 5, ..set };
            let d = Scenario { settings, replicas: 3, zones: 2, kinds: 1, per_10_s: 60, seed: 57, ..usual };
            Scenario { faults: 60, trouble_ms: 6000, ..d }
        }
        // So few that nearly all of what is saved for replicas that have just started is lost unused.
        "few_requests" => {
            let settings = Settings {
                overload_window: SECOND / 2,
                overload_multiple: 8.0,
                warm_up_time: 30 * SECOND,
                ..set
            };
            let d = Scenario { settings, replicas: 4, per_10_s: 3, seed: 58, ..usual };
            Scenario { trouble_ms: 4000, events: 8000, ..d }
        }
        other => panic!("no deployment is named {other}"),
    }
}

fn recorded(name: &str) -> String {
    let path = folder().join(format!("{name}.txt"));
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn same_as_recorded(name: &'static str) {
    let played = Scene::whole(deployment(name));
    if std::env::var_os("RECORD").is_some() {
        std::fs::write(folder().join(format!("{name}.txt")), &played).expect("written");
    }
    let recorded = recorded(name);
    let mut lines = recorded.lines().zip(played.lines()).enumerate();
    if let Some((n, (then, now))) = lines.find(|(_, (then, now))| then != now) {
        panic!("{name}.txt, line {}:\nrecorded {then}\nplayed   {now}", n + 1);
    }
    assert!(recorded == played, "{name}.txt: one of the two ends before the other");
}

macro_rules! plays {
    ($($name:ident)*) => {
        $(#[test]
        fn $name() {
            same_as_recorded(stringify!($name));
        })*
    };
}

plays!(alone three_gateways asked_list no_cancel no_peers_no_tenants many_gateways large_fleet cold_fleet small_fleet few_requests);

#[test]
fn two_plays_of_one_deployment_are_the_same() {
    let play = || Scene::whole(Scenario { events: 1000, ..deployment("three_gateways") });
    assert!(play() == play());
}

#[test]
fn the_recorded_traces_hold_every_kind_of_action_and_each_reason_of_a_rejection() {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for name in NAMES {
        for line in recorded(name).lines().filter_map(|l| l.strip_prefix("count ")) {
            let (kind, count) = line.split_once(": ").expect("a kind and its count");
            *counts.entry(kind.into()).or_default() += count.parse::<u64>().expect("a number");
        }
    }
    for kind in trace_text::COUNTED {
        assert!(counts.get(kind).copied().unwrap_or(0) > 10, "{kind}: {counts:?}");
    }
    assert_eq!(counts.get("probe"), None, "the module asks for no probes today");
}

#[test]
fn every_recorded_file_belongs_to_a_deployment() {
    let mut files: Vec<String> = std::fs::read_dir(folder())
        .expect("the folder of traces")
        .map(|f| f.expect("a file").file_name().into_string().expect("a plain name"))
        .collect();
    files.sort();
    let mut names = NAMES.map(|n| format!("{n}.txt")).to_vec();
    names.sort();
    assert_eq!(files, names);
}
