//! Steps of a router under its drain lease, and the routers that still use a drained replica.

use std::fmt::Write;
use std::time::Duration;

use tallypin_consensus::drain_lease::{
    halt_is_effective, LeaseHolder, LeaseTiming, LocalPhase, NextStep, SubmitOutcome,
};
use tallypin_consensus::fleet_state::{
    Command, DrainEntry, DrainStage, FleetState, ReleaseLeaseRequest, RouterIncarnation,
};
use tallypin_consensus::replica_drains::{routers_still_using, AppliedState, ReplicaUse};

use crate::record::{compare, json, lines, parse};

const S: u64 = 1_000_000_000;
const TIMING: LeaseTiming =
    LeaseTiming { duration: Duration::from_secs(5), drift_divisor: 20, retry_after: Duration::from_secs(1) };
const ROUTER: u16 = 3;
const INCARNATION: u64 = 9;

fn describe(step: NextStep) -> String {
    match step {
        NextStep::Wait => "rest".into(),
        NextStep::Submit(command) => json(&command),
        NextStep::BeginDrain => "goes out".into(),
        NextStep::ResumeService => "serves".into(),
        NextStep::InstallAndRestart(digest) => format!("swaps {digest}"),
    }
}

/// Lease holders for a step at 10 s: one without a request; leases granted well before their expiry, just before it and
/// at it; requests that were rejected recently and long ago; and the outcome of a command that requests no lease.
fn lease_holders() -> Vec<LeaseHolder> {
    let me = RouterIncarnation { router: ROUTER, incarnation: INCARNATION };
    let lease = || Command::AcquireLease(me);
    let release_lease = || {
        Command::AcquireReleaseLease(ReleaseLeaseRequest {
            router: ROUTER,
            incarnation: INCARNATION,
            running_digest: "old".into(),
        })
    };
    let outcomes = [
        Some((6 * S, 7 * S, lease(), SubmitOutcome::Applied)),
        Some((5 * S + 1, 6 * S, release_lease(), SubmitOutcome::Applied)),
        Some((5 * S, 6 * S, lease(), SubmitOutcome::Applied)),
        Some((9 * S, 9 * S + 1, lease(), SubmitOutcome::NotApplied)),
        Some((8 * S, 9 * S, release_lease(), SubmitOutcome::NotApplied)),
        Some((9 * S, 9 * S, Command::UseLease(me), SubmitOutcome::NotApplied)),
    ];
    let holder = |outcome: Option<(u64, u64, Command, SubmitOutcome)>| {
        let mut holder = LeaseHolder::new(TIMING, ROUTER, INCARNATION);
        if let Some((submitted_at, now, command, outcome)) = outcome {
            holder.record_outcome(submitted_at, now, &command, outcome);
        }
        holder
    };
    [None].into_iter().chain(outcomes).map(holder).collect()
}

const STAGES: [&str; 8] = [
    "null",
    r#""wanted""#,
    r#"{"leave":9}"#,
    r#"{"leave":8}"#,
    r#"{"out":9}"#,
    r#"{"out":8}"#,
    r#"{"back":9}"#,
    r#"{"back":8}"#,
];

fn fleet_state(stage: Option<DrainStage>, target: Option<&str>, halted: bool) -> FleetState {
    let entry = |stage| {
        let target_digest = target.map(str::to_string);
        (ROUTER, DrainEntry { stage, order: "d".into(), target_digest, attempts: 0 })
    };
    let halted = halted.then(|| "x".into());
    FleetState { halted, drains: stage.map(entry).into_iter().collect(), ..FleetState::default() }
}

/// Combines each stage of a drain with the router's phase, its running file and the outcome of its lease request.
#[test]
fn a_router_follows_its_drain_lease_as_recorded() {
    let holders = lease_holders();
    let mut transcript = String::new();
    let digests = [
        (None, None),
        (None, Some("old")),
        (Some("new"), None),
        (Some("new"), Some("old")),
        (Some("new"), Some("new")),
    ];
    let phases = [
        (LocalPhase::Serving, false),
        (LocalPhase::Serving, true),
        (LocalPhase::OutOfService, false),
        (LocalPhase::OutOfService, true),
    ];
    for stage in STAGES.map(parse::<Option<DrainStage>>) {
        for (target, running) in digests {
            for (phase, halted) in phases {
                let state = fleet_state(stage, target, halted);
                let stage = json(&stage);
                let serving = if phase == LocalPhase::Serving { "serving" } else { "out" };
                writeln!(transcript, "{stage} to {target:?} runs {running:?} {serving} halted {halted}")
                    .expect("writes to a string");
                let steps =
                    holders.iter().map(|holder| describe(holder.next_step(10 * S, &state, phase, running)));
                writeln!(transcript, "  {}", steps.collect::<Vec<_>>().join(" | "))
                    .expect("writes to a string");
                let elapsed =
                    [Duration::ZERO, TIMING.safe_expiry(), TIMING.safe_expiry() + Duration::from_nanos(1)];
                let effective = elapsed.map(|elapsed| halt_is_effective(&TIMING, elapsed, &state));
                writeln!(transcript, "  {effective:?}").expect("writes to a string");
            }
        }
    }
    let expiry = [TIMING, LeaseTiming { drift_divisor: 0, ..TIMING }];
    let expiry = expiry.map(|timing| timing.safe_expiry().as_nanos());
    writeln!(transcript, "a leave is over after {expiry:?}").expect("writes to a string");
    compare("leave.txt", &transcript);
}

#[test]
fn routers_that_still_use_a_drained_replica_are_as_recorded() {
    let applied: [AppliedState; 3] = [
        parse(r#"{"version":4,"open":[]}"#),
        parse(r#"{"version":5,"open":["n1"]}"#),
        parse(r#"{"version":6,"open":["n2","n3"]}"#),
    ];
    let mut transcript = lines(&applied);
    let reports = applied.iter().map(Some).chain([None]);
    let uses: Vec<ReplicaUse> =
        reports.flat_map(|applied| [false, true].map(|has_left| ReplicaUse { applied, has_left })).collect();
    for (replica, order_version) in [("n1", 5), ("n2", 5), ("n4", 5), ("n4", 7), ("n1", 0)] {
        let routers = routers_still_using(replica, order_version, &uses);
        writeln!(transcript, "{replica} out since {order_version}: {routers:?}").expect("writes to a string");
    }
    compare("unclear.txt", &transcript);
}
