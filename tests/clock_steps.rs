//! Wall clocks that are stepped: starts of replicas are told by them, and whoever has just started stays cold for as long.

mod common;

use common::*;
use proptest::prelude::*;
use tallypin::api::*;

const HOUR: Nanos = 3600 * SECOND;
const REPLICAS: u64 = 6;
/// Between two requests.
const GAP: Nanos = 20 * MS;
const REQUESTS: u64 = 1_000;
/// So many streams are under way.
const OUT: u64 = 20;
/// Where the clock stands at first: more than a step from its zero.
const BEGIN: Nanos = 10 * HOUR;
/// The replica that restarts, and at which request.
const RESTARTED: u64 = 3;
const RESTART_AT: u64 = 100;

/// How the list tells of the restart.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Told {
    /// As a change.
    Change,
    /// In a whole list, while changes follow it.
    Whole,
}

/// Plays a restart that is told with such a start; all actions, and what the restarted replica was sent in each second
/// after it.
fn play(told: Told, start_told: impl Fn(Nanos) -> Nanos) -> (Vec<Action>, Vec<usize>) {
    let mut world = World::new(settings(1, 0), 11);
    world.now = BEGIN;
    // All have started some minutes ago: a clock that is set back by an hour tells an earlier start than that.
    let started = |n| EndpointEntry { started_at: BEGIN - 300 * SECOND, ..row(n) };
    world.update_list(ListUpdate::Full, (0..REPLICAS).map(started).collect());
    let (begun, mut sent) = (world.now, vec![0; 20]);
    for n in 0..REQUESTS {
        world.run_to(begun + n * GAP);
        if n == RESTART_AT {
            let restarted = EndpointEntry { started_at: start_told(world.now), ..started(RESTARTED) };
            let all = (0..REPLICAS).filter(|r| *r != RESTARTED).map(started).chain([restarted.clone()]);
            match told {
                Told::Change => world.update_list(ListUpdate::Delta, vec![restarted]),
                Told::Whole => world.update_list(ListUpdate::Full, all.collect()),
            };
        }
        let replica = World::sent_to(&world.submit(request(n))).expect("there is room for all");
        if n >= RESTART_AT && replica == ReplicaId(RESTARTED) {
            sent[((n - RESTART_AT) * GAP / SECOND) as usize] += 1;
        }
        world.first_token(RequestId(n), 0);
        if n >= OUT {
            world.end_attempt(RequestId(n - OUT), 0, Outcome::Completed);
        }
    }
    (world.actions, sent)
}

/// Guards against a start that lies ahead, which made a replica cold for the whole step, and one that seems long gone,
/// which made it warm at once.
#[test]
fn a_stepped_clock_changes_no_decision_on_a_restarted_replica() {
    for told in [Told::Change, Told::Whole] {
        let (as_it_is, sent) = play(told, |now| now);
        assert!(sent[0] < sent[15] / 2, "cold, then warm: {sent:?}");
        for (step, start) in [
            ("an hour ahead", (|now| now + HOUR) as fn(Nanos) -> Nanos),
            ("an hour back", |now| now.saturating_sub(HOUR)),
            ("half a minute ahead", |now| now + 30 * SECOND),
            ("half a minute back", |now| now - 30 * SECOND),
        ] {
            let (stepped, sent) = play(told, start);
            assert!(stepped == as_it_is, "{told:?}, {step}: sent in each second {sent:?}");
        }
    }
}

/// A replica's warmth once the list tells, after an outage of so long, that it started at `start(now)`.
fn capacity_share_after_outage(outage: Nanos, start: impl Fn(Nanos) -> Nanos) -> f64 {
    let mut world = World::new(settings(1, 0), 3);
    world.now = BEGIN;
    world.update_list(ListUpdate::Full, vec![row(0)]);
    world.run_to(world.now + 30 * SECOND);
    world.update_list(ListUpdate::Failed, Vec::new());
    world.run_to(world.now + outage);
    world.update_list(ListUpdate::Full, vec![EndpointEntry { started_at: start(world.now), ..row(0) }]);
    world.balancer.replica_snapshots(world.now)[0].capacity_share
}

/// After an outage a start may be as old as the outage, with the silence before it, and no older.
#[test]
fn a_start_learnt_after_an_outage_is_no_older_than_the_last_list() {
    assert_eq!(capacity_share_after_outage(0, |now| now - HOUR), 0.2 + 0.8 * 0.4, "4 s of 10");
    assert_eq!(capacity_share_after_outage(3 * SECOND, |now| now - HOUR), 0.2 + 0.8 * 0.7, "7 s of 10");
    assert_eq!(
        capacity_share_after_outage(9 * SECOND, |now| now - 8 * SECOND),
        0.2 + 0.8 * 0.8,
        "as it is told"
    );
    assert_eq!(capacity_share_after_outage(9 * SECOND, |now| now + HOUR), 0.2, "not before it started");
}

proptest! {
    /// Whatever a row says of its start, a replica is cold no longer than the settings tell.
    #[test]
    fn no_start_keeps_a_replica_warming_up_for_longer_than_its_time(start in any::<u64>()) {
        let mut world = World::new(settings(1, 0), 3);
        world.update_list(ListUpdate::Full, vec![row(0)]);
        world.update_list(ListUpdate::Delta, vec![EndpointEntry { started_at: start, ..row(0) }]);
        world.run_to(world.now + world.settings.warm_up_time);
        let seen = world.balancer.replica_snapshots(world.now).into_iter().next().expect("it is ready");
        prop_assert_eq!(seen.capacity_share, 1.0);
    }
}
