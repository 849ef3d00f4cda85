//! Simulated deployments give exactly the actions of their recorded traces.
//! `RECORD=1 cargo test -p tallypin --test recorded_trace` writes the traces of this kind of machine again.
#![allow(missing_docs)]

mod common;
#[path = "common/simulated_deployment.rs"]
mod simulated_deployment;
#[path = "common/trace_text.rs"]
mod trace_text;

use std::collections::BTreeMap;
use std::path::PathBuf;

use common::{test_settings, MS};
use simulated_deployment::{Scenario, Simulation};
use tallypin::api::*;

/// Names of the deployments and of the files with their traces.
const DEPLOYMENTS: [&str; 10] = [
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

/// Kinds of machine, and the folders with the traces recorded there. The C library of each rounds `ln`, `exp` or `powf`
/// its own way in the last bit, which shows in the `times` of a replica and so in the digests.
const FOLDERS: [(&str, &str); 2] = [("x86_64", "trace"), ("aarch64", "trace_aarch64")];

fn path_of(folder: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded")).join(folder)
}

/// The folder with the traces of the kind of machine that the test was built for.
fn folder() -> PathBuf {
    let architecture = std::env::consts::ARCH;
    let (_, folder) = FOLDERS
        .iter()
        .find(|(recorded_on, _)| *recorded_on == architecture)
        .unwrap_or_else(|| panic!("no traces are recorded for {architecture}"));
    path_of(folder)
}

/// Five classes with every effect and deduplication scope, and with different values of a late answer.
fn classes() -> Vec<Class> {
    let class = |latency_objective_ms: u64, effect, late_value_share| Class {
        latency_objective: latency_objective_ms * MS,
        latency_objective_per_1000_tokens: 30 * MS,
        token_interval_objective: 50 * MS,
        effect,
        priority_weight: 1.0,
        late_value_share,
    };
    let keyed = |scope, window| Effect::IdempotentByKey { scope, window };
    vec![
        class(800, Effect::Idempotent, 0.2),
        class(1500, keyed(DeduplicationScope::AllReplicas, 5 * SECOND), 1.0),
        class(600, keyed(DeduplicationScope::Zone, 2 * SECOND), 0.0),
        class(1000, keyed(DeduplicationScope::Cell, 4 * SECOND), 0.5),
        class(1200, Effect::NotIdempotent, 0.3),
    ]
}

fn default_scenario(name: &'static str) -> Scenario {
    let tenants = [10.0, 5.0, 0.5, 20.0].map(|quota_per_s| Tenant { quota_per_s }).to_vec();
    let report_fields =
        vec![LoadField::Queue, LoadField::Other, LoadField::Utilization, LoadField::PrefillBacklogThousands];
    let settings = Settings {
        tenants,
        classes: classes(),
        concurrent_attempts: true,
        tenants_digest: TenantsDigest::from_names(["one", "two", "three", "four"]),
        report_fields,
        ..test_settings(1, 0)
    };
    Scenario {
        name,
        seed: 49,
        settings,
        routers: vec![0],
        replicas: 10,
        zones: 1,
        kinds: 2,
        per_10_s: 140,
        first_token: 10 * MS,
        faults_per_mille: 25,
        freezes_per_mille: 4,
        disruption_ms: 900,
        events: 16_000,
    }
}

fn deployment(name: &'static str) -> Scenario {
    let base = default_scenario(name);
    let settings = base.settings.clone();
    match name {
        "alone" => Scenario { zones: 2, disruption_ms: 2500, freezes_per_mille: 10, ..base },
        "three_gateways" => {
            let settings = Settings { router_count: 3, cross_zone_cost: 0.05, ..settings };
            Scenario { settings, routers: vec![0, 1, 2], zones: 3, per_10_s: 200, seed: 50, ..base }
        }
        "asked_list" => {
            let list_mode = EndpointListMode::Polled { max_poll_interval: 6 * SECOND };
            let settings = Settings { router_count: 2, list_mode, report_fields: vec![], ..settings };
            Scenario { settings, routers: vec![0, 1], zones: 2, first_token: 250 * MS, seed: 51, ..base }
        }
        "no_cancel" => {
            let settings =
                Settings { can_cancel: false, concurrent_attempts: false, max_attempts: 2, ..settings };
            Scenario { settings, kinds: 4, first_token: 120 * MS, seed: 52, ..base }
        }
        "no_peers_no_tenants" => {
            let settings =
                Settings { router_count: 2, has_peers: false, tenants: vec![], max_attempts: 1, ..settings };
            Scenario { settings, routers: vec![1], faults_per_mille: 60, seed: 53, ..base }
        }
        _ => sized_deployment(name, base),
    }
}

/// Deployments that differ by their size or by how replicas start.
fn sized_deployment(name: &str, base: Scenario) -> Scenario {
    let set = base.settings.clone();
    match name {
        "many_gateways" => {
            let tenants = [60.0, 500.0, 5.0, 900.0].map(|quota_per_s| Tenant { quota_per_s }).to_vec();
            let settings =
                Settings { router_count: 300, tenants, initial_capacity_share: 0.05, zone: ZoneId(1), ..set };
            let routers = vec![0, 150, 299];
            Scenario { settings, routers, replicas: 60, zones: 2, first_token: 80 * MS, seed: 54, ..base }
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
            let d = Scenario { settings, routers: vec![0, 3], replicas: 400, zones: 2, seed: 55, ..base };
            Scenario { per_10_s: 600, disruption_ms: 120, kinds: 3, ..d }
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
            Scenario { settings, replicas: 24, disruption_ms: 250, per_10_s: 200, seed: 56, ..base }
        }
        // Few preferred replicas for a prefix, and more faults than the retry budget covers.
        "small_fleet" => {
            let settings = Settings { cross_zone_cost: 0.2, max_attempts: 5, ..set };
            let d = Scenario { settings, replicas: 3, zones: 2, kinds: 1, per_10_s: 60, seed: 57, ..base };
            Scenario { faults_per_mille: 60, disruption_ms: 6000, ..d }
        }
        // So few requests that most of the credit for warming replicas expires unused.
        "few_requests" => {
            let settings = Settings {
                overload_window: SECOND / 2,
                overload_multiple: 8.0,
                warm_up_time: 30 * SECOND,
                ..set
            };
            let d = Scenario { settings, replicas: 4, per_10_s: 3, seed: 58, ..base };
            Scenario { disruption_ms: 4000, events: 8000, ..d }
        }
        other => panic!("no deployment is named {other}"),
    }
}

fn recorded(name: &str) -> String {
    let path = folder().join(format!("{name}.txt"));
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn compare_with_recording(name: &'static str) {
    let current = Simulation::run(deployment(name));
    if std::env::var_os("RECORD").is_some() {
        std::fs::write(folder().join(format!("{name}.txt")), &current).expect("written");
    }
    let recorded = recorded(name);
    let mut lines = recorded.lines().zip(current.lines()).enumerate();
    if let Some((n, (recorded_line, current_line))) =
        lines.find(|(_, (recorded_line, current_line))| recorded_line != current_line)
    {
        panic!("{name}.txt, line {}:\nrecorded {recorded_line}\nrun      {current_line}", n + 1);
    }
    assert!(recorded == current, "{name}.txt: the recorded trace and the run differ in length");
}

macro_rules! deployments {
    ($($name:ident)*) => {
        $(#[test]
        fn $name() {
            compare_with_recording(stringify!($name));
        })*
    };
}

deployments!(
    alone three_gateways asked_list no_cancel no_peers_no_tenants many_gateways large_fleet cold_fleet small_fleet few_requests
);

#[test]
fn two_runs_of_a_deployment_give_the_same_trace() {
    let run = || Simulation::run(Scenario { events: 1000, ..deployment("three_gateways") });
    assert!(run() == run());
}

#[test]
fn recorded_traces_cover_every_kind_of_action_and_reason_of_a_rejection() {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for name in DEPLOYMENTS {
        for line in recorded(name).lines().filter_map(|l| l.strip_prefix("count ")) {
            let (kind, count) = line.split_once(": ").expect("a line holds a kind and its count");
            *counts.entry(kind.into()).or_default() += count.parse::<u64>().expect("a number");
        }
    }
    for kind in trace_text::COUNTED_KINDS {
        assert!(counts.get(kind).copied().unwrap_or(0) > 10, "{kind}: {counts:?}");
    }
    assert_eq!(counts.get("probe"), None, "the balancer sends no probes");
}

#[test]
fn every_recorded_trace_belongs_to_a_deployment() {
    let mut names = DEPLOYMENTS.map(|n| format!("{n}.txt")).to_vec();
    names.sort();
    for (_, folder) in FOLDERS {
        let mut files: Vec<String> = std::fs::read_dir(path_of(folder))
            .expect("the folder of traces exists")
            .map(|f| f.expect("the entry can be read").file_name().into_string().expect("the name is UTF-8"))
            .collect();
        files.sort();
        assert_eq!(files, names, "{folder}");
    }
}
