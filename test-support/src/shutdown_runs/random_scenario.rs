//! Scenarios chosen at random from a seed.

use std::time::Duration;

use super::scenario::{
    ms, Change, ChangeKind, Class, Effect, Group, ReplicaBehaviour, ReplicaScenario, Scenario, Signal,
    LONG_MAX_WRITE_PAUSE, MAX_SENT_AHEAD, MAX_SLOWDOWN, MAX_WRITE_PAUSE, SLOW_WRITES_ONE_IN,
};

impl Scenario {
    /// Returns the random scenario of a seed.
    pub fn random(seed: u64) -> Scenario {
        let rng = &mut fastrand::Rng::with_seed(seed);
        let long_deadlines = rng.u8(..6) == 0;
        let classes = random_classes(rng, long_deadlines);
        let replicas = rng.usize(3..8);
        let all_hang = rng.u8(..3) == 0;
        let mut replicas: Vec<_> = (0..replicas).map(|n| random_replica(rng, n, all_hang)).collect();
        let slowdowns = random_slowdowns(seed, replicas.len());
        for (replica, slowdown) in replicas.iter_mut().zip(slowdowns) {
            replica.slowdown = slowdown;
        }
        let signals = (0..rng.usize(..5))
            .map(|_| Signal { name: ["-TERM", "-HUP", "-INT"][rng.usize(..3)], after: ms(rng.u64(1..1500)) });
        let signals = signals.collect();
        let pauses =
            (0..rng.usize(..3) * rng.usize(..2)).map(|_| (ms(rng.u64(..2500)), ms(rng.u64(20..140))));
        let pauses = pauses.collect();
        Scenario {
            seed,
            classes,
            max_attempts: rng.u32(1..5),
            parallel_attempts: rng.bool(),
            cancel: rng.u8(..4) > 0,
            resume: rng.u8(..4) > 0,
            router_count: rng.u32(1..4),
            changes: random_changes(rng, &replicas),
            replicas,
            reloads: rng.bool(),
            clients: rng.usize(8..48),
            slow_writes_one_in: SLOW_WRITES_ONE_IN,
            max_write_pause: random_max_write_pause(seed),
            max_sent_ahead: MAX_SENT_AHEAD,
            idle_clients: if rng.u8(..4) == 0 { rng.usize(50..400) } else { 0 },
            load_time: ms(rng.u64(150..900)),
            idle_period: random_idle_period(seed),
            list_outage: random_list_outage(seed),
            signals,
            pauses,
            kill_delay: ms(rng.u64(..60)),
            socket_faults: None,
        }
    }
}

/// Returns the idle period: one scenario in eight has one, in some of them longer than connections may stay idle.
fn random_idle_period(seed: u64) -> Duration {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1u64.rotate_left(40));
    if rng.u8(..8) == 0 {
        ms(rng.u64(500..4500))
    } else {
        Duration::ZERO
    }
}

/// Returns the upper bound of pauses in writing: it is long in one scenario in three.
fn random_max_write_pause(seed: u64) -> Duration {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1u64.rotate_left(42));
    if rng.u8(..3) == 0 {
        LONG_MAX_WRITE_PAUSE
    } else {
        MAX_WRITE_PAUSE
    }
}

/// Returns the factor by which each of the replicas becomes slower: one in eight does.
fn random_slowdowns(seed: u64, replicas: usize) -> Vec<u32> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1u64.rotate_left(43));
    let slowdown = |_| if rng.u8(..8) == 0 { rng.u32(2..=MAX_SLOWDOWN) } else { 1 };
    (0..replicas).map(slowdown).collect()
}

/// Returns the outage of the endpoint list that one scenario in four has.
fn random_list_outage(seed: u64) -> Option<(Duration, Duration)> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1u64.rotate_left(41));
    (rng.u8(..4) == 0).then(|| (ms(rng.u64(..1500)), ms(rng.u64(300..6000))))
}

fn random_classes(rng: &mut fastrand::Rng, long_deadlines: bool) -> Vec<Class> {
    let group = [Group::All, Group::Zone, Group::Cell][rng.usize(..3)];
    let window = ms(rng.u64(200..1500));
    let effects = [Effect::SideEffect, Effect::Token(group, window), Effect::Pure];
    let deadlines_ms: &[u64] = if long_deadlines { &[1200, 2400, 4000] } else { &[500, 800, 1200] };
    let class =
        |(n, effect)| Class { name: format!("c{n}"), effect, deadline: ms(deadlines_ms[rng.usize(..3)]) };
    effects.into_iter().enumerate().map(class).collect()
}

fn random_changes(rng: &mut fastrand::Rng, replicas: &[ReplicaScenario]) -> Vec<Change> {
    let count = rng.usize(..5);
    let change = |_| {
        let kind = match rng.bool() {
            true => ChangeKind::Drains,
            false => ChangeKind::Fails(ms(rng.u64(5..600))),
        };
        Change { at: ms(rng.u64(..2500)), replica: rng.usize(1..replicas.len()), kind }
    };
    let mut changes: Vec<Change> = (0..count).map(change).collect();
    changes.sort_by_key(|c| c.at);
    changes
}

fn random_replica(rng: &mut fastrand::Rng, number: usize, all_hang: bool) -> ReplicaScenario {
    let serve = |rng: &mut fastrand::Rng| ReplicaBehaviour::Serve {
        first_event_after: ms(rng.u64(1..120)),
        events: rng.u32(1..12),
        gap: ms(rng.u64(1..60)),
    };
    let mut behaviours: Vec<_> = (0..rng.usize(1..6)).map(|_| serve(rng)).collect();
    let faults = [
        ReplicaBehaviour::Hang,
        ReplicaBehaviour::Decline,
        ReplicaBehaviour::Error,
        ReplicaBehaviour::Close,
        ReplicaBehaviour::CloseMidStream,
        ReplicaBehaviour::SecondResponse,
    ];
    behaviours.extend((0..rng.usize(..4)).map(|_| faults[rng.usize(..faults.len())]));
    ReplicaScenario {
        zone: number % 2,
        cell: number / 2,
        behaviours,
        hangs_after: (all_hang || rng.u8(..4) == 0).then(|| ms(rng.u64(..900))),
        slowdown: 1,
        idle_close: ms(rng.u64(50..4000)),
    }
}
