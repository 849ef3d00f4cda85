//! What a router does about its drain, and which routers keep a replica from being clear.

use std::fmt::Write;
use std::time::Duration;

use tallypin_consensus::drain_lease::{
    halt_is_effective, LeaseHolder, LeaseTiming, LocalPhase, NextStep, SubmitOutcome,
};
use tallypin_consensus::fleet_state::{
    Command, DrainEntry, DrainStage, FleetState, ReleaseLeaseRequest, RouterIncarnation,
};
use tallypin_consensus::replica_drains::{routers_not_clear, AppliedState, ReplicaUse};

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

/// Holders that are looked at after 10 s: one that has not asked; leases that were granted in time, just within it and at
/// its very end; requests that were rejected recently and long ago; and an outcome that is not of a lease.
fn holders() -> Vec<LeaseHolder> {
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

fn state(stage: Option<DrainStage>, target: Option<&str>, halted: bool) -> FleetState {
    let entry = |stage| {
        let target_digest = target.map(str::to_string);
        (ROUTER, DrainEntry { stage, order: "d".into(), target_digest, attempts: 0 })
    };
    let halted = halted.then(|| "x".into());
    FleetState { halted, drains: stage.map(entry).into_iter().collect(), ..FleetState::default() }
}

/// Each stage of a drain, by what the router does and runs and what became of its lease.
#[test]
fn a_router_follows_its_drain_lease_as_recorded() {
    let holders = holders();
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
                let state = state(stage, target, halted);
                let stage = json(&stage);
                let serving = if phase == LocalPhase::Serving { "serving" } else { "out" };
                writeln!(transcript, "{stage} to {target:?} runs {running:?} {serving} halted {halted}")
                    .expect("text");
                let steps =
                    holders.iter().map(|holder| describe(holder.next_step(10 * S, &state, phase, running)));
                writeln!(transcript, "  {}", steps.collect::<Vec<_>>().join(" | ")).expect("text");
                let since =
                    [Duration::ZERO, TIMING.safe_expiry(), TIMING.safe_expiry() + Duration::from_nanos(1)];
                let effective = since.map(|since| halt_is_effective(&TIMING, since, &state));
                writeln!(transcript, "  {effective:?}").expect("text");
            }
        }
    }
    let expiry = [TIMING, LeaseTiming { drift_divisor: 0, ..TIMING }];
    let expiry = expiry.map(|timing| timing.safe_expiry().as_nanos());
    writeln!(transcript, "a leave is over after {expiry:?}").expect("text");
    compare("leave.txt", &transcript);
}

#[test]
fn routers_that_keep_a_replica_from_being_clear_are_as_recorded() {
    let applied: [AppliedState; 3] = [
        parse(r#"{"version":4,"open":[]}"#),
        parse(r#"{"version":5,"open":["n1"]}"#),
        parse(r#"{"version":6,"open":["n2","n3"]}"#),
    ];
    let mut transcript = lines(&applied);
    let reports = applied.iter().map(Some).chain([None]);
    let uses: Vec<ReplicaUse> =
        reports.flat_map(|applied| [false, true].map(|has_left| ReplicaUse { applied, has_left })).collect();
    for (replica, since) in [("n1", 5), ("n2", 5), ("n4", 5), ("n4", 7), ("n1", 0)] {
        let routers = routers_not_clear(replica, since, &uses);
        writeln!(transcript, "{replica} out since {since}: {routers:?}").expect("text");
    }
    compare("unclear.txt", &transcript);
}
