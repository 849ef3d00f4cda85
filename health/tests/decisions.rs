//! State and weight, askers, and the plan of a drain: what holds whatever is measured.
#![allow(missing_docs)]

use std::time::Duration;

use proptest::prelude::*;
use tallypin_health::assessment::{
    AssessmentLimits, HealthAssessor, HealthCause, HealthState, OperatorOrder, ReplicaSummary, Signals,
};
use tallypin_health::checkers::{self, CheckProtocol, CheckerId, CheckerRegistry};
use tallypin_health::drain_sequence::{self, DrainGoal, DrainPhase, DrainSequence};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn well() -> Signals {
    Signals {
        max_weight: 100,
        replicas: ReplicaSummary { ready: 10, usable_capacity: 1.0, ..ReplicaSummary::default() },
        capacity: 100,
        clients_free: 1.0,
        bodies_free: 1.0,
        replica_connections_free: 1.0,
        accepted: 3,
        answered: 3,
        ..Signals::default()
    }
}

/// Steps of 100 ms from one point in time to another.
fn steps(a: &mut HealthAssessor, from: u64, to: u64, s: &Signals) -> Vec<(HealthState, u8, HealthCause)> {
    (from / 100..to / 100)
        .map(|i| {
            let told = a.step(ms(i * 100), s);
            (told.state, told.weight, told.cause)
        })
        .collect()
}

#[test]
fn a_router_just_started_raises_its_weight_and_is_then_up() {
    let mut a = HealthAssessor::new(AssessmentLimits::default());
    let told = steps(&mut a, 0, 12_000, &well());
    assert_eq!(told[0], (HealthState::Degraded, 1, HealthCause::SlowStart));
    assert!(told.windows(2).all(|w| w[0].1 <= w[1].1), "{told:?}");
    assert!((45..=55).contains(&told[50].1), "{:?}", told[50]);
    assert_eq!(*told.last().unwrap(), (HealthState::Up, 100, HealthCause::Healthy));
}

#[test]
fn what_is_its_own_lowers_the_weight_and_is_named() {
    for (change, cause) in [
        ((|s| s.event_loop_delay = ms(200)) as fn(&mut Signals), HealthCause::EventLoopLate),
        (|s| s.clients_free = 0.05, HealthCause::ClientSlotsExhausted),
        (|s| s.bodies_free = 0.0, HealthCause::BodyBudgetExhausted),
        (|s| s.replica_connections_free = 0.01, HealthCause::ReplicaConnectionsExhausted),
        (|s| s.replicas.ejected = 8, HealthCause::ReplicasEjected),
        (|s| s.in_flight = 180, HealthCause::AtCapacity),
        (|s| (s.in_flight, s.replicas.usable_capacity) = (60, 0.4), HealthCause::AtCapacity),
    ] {
        let mut a = HealthAssessor::new(AssessmentLimits::default());
        steps(&mut a, 0, 15_000, &well());
        let mut s = well();
        change(&mut s);
        let told = steps(&mut a, 15_000, 30_000, &s);
        let last = *told.last().unwrap();
        assert!(last.2 == cause && last.1 < 50 && last.0 == HealthState::Degraded, "{cause:?}: {last:?}");
        let told = steps(&mut a, 30_000, 45_000, &well());
        assert_eq!(*told.last().unwrap(), (HealthState::Up, 100, HealthCause::Healthy), "{cause:?}");
    }
}

#[test]
fn refusals_count_only_for_want_of_room() {
    for (room, share, cause) in [(3, 0, HealthCause::SheddingLoad), (0, 3, HealthCause::Healthy)] {
        let mut a = HealthAssessor::new(AssessmentLimits {
            slow_start: Duration::ZERO,
            ..AssessmentLimits::default()
        });
        let s = Signals { accepted: 4, rejected_no_capacity: room, rejected_quota: share, ..well() };
        let told = steps(&mut a, 0, 15_000, &s);
        assert_eq!(told.last().unwrap().2, cause);
    }
}

#[test]
fn orders_and_the_end_take_effect_at_once_and_orders_can_be_taken_back() {
    let mut a = HealthAssessor::new(AssessmentLimits::default());
    steps(&mut a, 0, 15_000, &well());
    let mut tell = |at: u64, order, ending, most| {
        let told = a.step(ms(at), &Signals { order, shutting_down: ending, max_weight: most, ..well() });
        (told.state, told.cause)
    };
    assert_eq!(
        tell(15_000, OperatorOrder::Drain, false, 100),
        (HealthState::Draining, HealthCause::OperatorDrain)
    );
    assert_eq!(tell(15_100, OperatorOrder::Ready, false, 100), (HealthState::Up, HealthCause::Healthy));
    assert_eq!(
        tell(15_200, OperatorOrder::Maintenance, false, 100),
        (HealthState::Maintenance, HealthCause::OperatorMaintenance)
    );
    assert_eq!(tell(15_300, OperatorOrder::Ready, false, 40).0, HealthState::Up);
    assert_eq!(
        tell(15_400, OperatorOrder::Ready, true, 100),
        (HealthState::Draining, HealthCause::ShuttingDown)
    );
    assert_eq!(a.step(ms(15_500), &Signals { max_weight: 40, ..well() }).weight, 40);
}

/// All that the routers of a tier share, at once: nodes cold, gone, unreachable, the list lost, and a surge
/// that fills every one of them. None may say `down`, whatever each has heard of the others before.
/// A tier of three under one of these causes for 80 s; true if any of them says that it is down.
fn any_down(cause: u64, figures: AssessmentLimits) -> bool {
    let mut tier: Vec<HealthAssessor> = (0..3).map(|_| HealthAssessor::new(figures)).collect();
    let mut served = [Duration::ZERO; 3];
    let mut any = false;
    for step in 0..1200u64 {
        let now = ms(step * 100);
        let mut s = well();
        if (300..1100).contains(&step) {
            match cause {
                0 => s.replicas.warming_up = s.replicas.ready,
                1 => s.replicas = ReplicaSummary::default(),
                2 => s.replicas.list_silent_for = Some(ms((step - 300) * 100)),
                3 => (s.answered, s.unanswered) = (0, 3),
                4 => (s.answered, s.unanswered, s.replicas.ejected) = (0, 9, s.replicas.ready),
                _ => {
                    (s.event_loop_delay, s.clients_free, s.rejected_no_capacity, s.in_flight) =
                        (ms(900), 0.0, 3, 900)
                }
            }
        }
        let heard = served;
        for (i, router) in tier.iter_mut().enumerate() {
            // Each hears of the other two, 0.4 s late.
            let witness = (0..3).filter(|j| *j != i).map(|j| heard[j] + ms(400)).max();
            let told = router.step(now, &Signals { peer_serving_at: witness.filter(|w| *w <= now), ..s });
            any |= !told.state.serves();
            if s.answered > 0 {
                served[i] = now;
            }
        }
    }
    any
}

/// All that the routers of a tier share, at once: nodes cold, gone, unreachable, the list lost, and a surge
/// that fills every one of them. None may say `down`, whatever each has heard of the others before.
#[test]
fn a_common_cause_makes_no_router_down() {
    for cause in 0..6 {
        assert!(!any_down(cause, AssessmentLimits::default()), "cause {cause}");
    }
    // What guards against it is the age of the witness: without that, they do say so.
    let hasty = AssessmentLimits {
        peer_serving_after: Duration::ZERO,
        max_unanswered: 2,
        ..AssessmentLimits::default()
    };
    assert!(any_down(3, hasty));
}

#[test]
fn trouble_of_one_router_alone_makes_it_down_and_it_tries_again() {
    let mut a = HealthAssessor::new(AssessmentLimits::default());
    steps(&mut a, 0, 15_000, &well());
    let mut states = Vec::new();
    for i in 150..500u64 {
        let s = Signals { answered: 0, unanswered: 2, peer_serving_at: Some(ms(i * 100 - 300)), ..well() };
        states.push(a.step(ms(i * 100), &s).state);
    }
    let first = states.iter().position(|s| *s == HealthState::Down).expect("it is down");
    assert!((50..=80).contains(&first), "not before the witness is worth something: {first}");
    let again = states[first..].iter().position(|s| *s != HealthState::Down).expect("it tries again");
    assert!((90..=130).contains(&again), "{again}");
    // Without messages between routers there is no witness, and it never says so.
    let mut a = HealthAssessor::new(AssessmentLimits::default());
    let s = Signals { answered: 0, unanswered: 9, ..well() };
    assert!(steps(&mut a, 0, 60_000, &s).iter().all(|t| t.0 == HealthState::Degraded));
}

fn any_signals() -> impl Strategy<Value = Signals> {
    let counts = (0u64..50, 0u64..50, 0u64..50, 0u64..50, 0usize..400);
    let shares = (0.0..=1.0, 0.0..=1.0, 0.0..=1.0, 0.0..=1.0);
    let fleet = (0usize..12, 0usize..12, 0usize..12, proptest::option::of(0u64..60_000));
    (counts, shares, fleet, 0u64..2000, 0u8..=120, proptest::option::of(0u64..60_000)).prop_map(
        |(
            (taken, room, answered, unanswered, open),
            (a, b, c, usable),
            (ready, cold, excluded, lost),
            late,
            most,
            w,
        )| Signals {
            max_weight: most,
            accepted: taken,
            rejected_no_capacity: room,
            answered,
            unanswered,
            in_flight: open,
            capacity: 100,
            clients_free: a,
            bodies_free: b,
            replica_connections_free: c,
            event_loop_delay: ms(late),
            replicas: ReplicaSummary {
                ready,
                warming_up: cold,
                ejected: excluded,
                usable_capacity: usable,
                list_silent_for: lost.map(ms),
            },
            peer_serving_at: w.map(ms),
            ..Signals::default()
        },
    )
}

proptest! {
    /// Whatever is measured: within 1 to 100, and no faster than the step allows (1% is the rounding), but for
    /// the operator's bound, which is an order.
    #[test]
    fn the_weight_never_leaps(all in proptest::collection::vec((any_signals(), 10u64..3000), 1..80)) {
        let mut a = HealthAssessor::new(AssessmentLimits { slow_start: Duration::ZERO, ..AssessmentLimits::default() });
        let (mut now, mut before): (Duration, Option<f64>) = (Duration::ZERO, None);
        for (mut s, gap) in all {
            s.max_weight = 100;
            s.replicas.ready += 1;
            now += ms(gap);
            let told = a.step(now, &s);
            prop_assert!((1..=100).contains(&told.weight));
            if let Some(before) = before {
                let most = 25.0 * (gap.min(1000) as f64 / 1000.0) + 1.01;
                prop_assert!((f64::from(told.weight) - before).abs() <= most, "{} to {}", before, told.weight);
            }
            before = Some(f64::from(told.weight));
        }
    }

    /// A constant input with noise: once settled, the weight stays, and so does the state.
    #[test]
    fn noise_moves_nothing(level in 0.02f64..0.25, noise in proptest::collection::vec(-1.0f64..1.0, 600)) {
        let mut a = HealthAssessor::new(AssessmentLimits { slow_start: Duration::ZERO, ..AssessmentLimits::default() });
        let mut weights = Vec::new();
        for (i, n) in noise.iter().enumerate() {
            // A tenth of what is free up and down.
            let free = (level * (1.0 + n / 10.0)).max(0.0);
            let told = a.step(ms(i as u64 * 100), &Signals { clients_free: free, ..well() });
            weights.push((told.weight, told.state));
        }
        let settled = &weights[200..];
        let changes = settled.windows(2).filter(|w| w[0].1 != w[1].1).count();
        let (least, most) = settled.iter().fold((100, 0), |(a, b), (w, _)| (a.min(*w), b.max(*w)));
        prop_assert!(changes <= 1 && most - least <= 6, "{} changes, {} to {}", changes, least, most);
        let turns = settled.windows(3).filter(|w| (w[1].0 > w[0].0) != (w[2].0 > w[1].0) && w[2].0 != w[1].0 && w[1].0 != w[0].0).count();
        prop_assert!(turns <= 2, "{} turns", turns);
    }

    /// Whatever order signals and wishes come in: a drain ends, after the telling; the signal stays.
    #[test]
    fn a_drain_that_is_wished_ends(gaps in proptest::collection::vec((10u64..800, any::<bool>()), 400)) {
        let figures = drain_sequence::DrainTiming::default();
        let mut plan = DrainSequence::new(figures);
        let (mut now, mut phases) = (Duration::ZERO, vec![DrainPhase::Serving]);
        plan.set_goal(now, DrainGoal::Exit);
        for (gap, told) in gaps {
            now += ms(gap);
            prop_assert!(!plan.set_goal(now, DrainGoal::Serve));
            phases.push(plan.advance(now, told));
        }
        prop_assert!(phases.windows(2).all(|w| w[0] <= w[1]));
        prop_assert_eq!(plan.phase(), DrainPhase::ShuttingDown);
    }
}

fn who(last: u8, kind: CheckProtocol) -> CheckerId {
    CheckerId { ip: [127, 0, 0, last].into(), protocol: kind }
}

#[test]
fn a_drain_waits_for_whoever_asks_and_for_nobody_else() {
    let mut askers = CheckerRegistry::new(checkers::CheckerLimits {
        notifications: 2,
        ..checkers::CheckerLimits::default()
    });
    let (quick, slow, gone, watch) = (
        who(1, CheckProtocol::Agent),
        who(2, CheckProtocol::Http),
        who(3, CheckProtocol::Agent),
        who(4, CheckProtocol::Watch),
    );
    askers.record_check(ms(0), watch);
    for t in 0..200u64 {
        let now = ms(t * 100);
        [quick, slow, gone].iter().zip([(5, 200), (40, 200), (10, 100)]).for_each(|(w, (every, until))| {
            if t % every == 0 && t < until {
                askers.record_check(now, *w);
            }
        });
    }
    // 20 s: `gone` has not asked for ten of its intervals.
    askers.begin_drain(ms(20_000));
    let told = |a: &CheckerRegistry, at| a.all_notified(ms(at));
    assert!(!told(&askers, 20_000));
    askers.record_check(ms(20_000), quick);
    askers.record_check(ms(20_010), watch);
    askers.record_check(ms(20_000), slow);
    assert!(!told(&askers, 20_100), "a check over HTTP has to fail twice");
    askers.record_check(ms(24_000), slow);
    assert!(told(&askers, 24_000));
    let shown = askers.statuses(ms(24_000));
    assert_eq!(shown.iter().filter(|s| s.notified).count(), 2, "{shown:?}");
    assert!(shown.iter().all(|s| s.id != gone));
    // One that asks more seldom than is taken for granted is learnt all the same.
    let mut rare = CheckerRegistry::new(checkers::CheckerLimits::default());
    [0, 9000, 18_000].iter().for_each(|at| rare.record_check(ms(*at), slow));
    rare.begin_drain(ms(26_000));
    assert!(
        !rare.all_notified(ms(44_000)) && rare.all_notified(ms(46_000)),
        "{:?}",
        rare.statuses(ms(26_000))
    );
    // Taken back, and begun again: all have to hear once more.
    askers.cancel_drain();
    askers.begin_drain(ms(25_000));
    assert!(!told(&askers, 25_000));
}

#[test]
fn an_asker_that_stops_in_the_drain_is_not_waited_for_and_the_table_is_bounded() {
    let mut askers = CheckerRegistry::new(checkers::CheckerLimits {
        max_checkers: 8,
        ..checkers::CheckerLimits::default()
    });
    (0..10).for_each(|t| askers.record_check(ms(t * 1000), who(1, CheckProtocol::Agent)));
    askers.begin_drain(ms(9500));
    assert!(!askers.all_notified(ms(11_000)));
    assert!(askers.all_notified(ms(12_100)), "three intervals of 1 s after it asked last");
    (0..200).for_each(|i| askers.record_check(ms(20_000 + i), who((i % 250) as u8, CheckProtocol::Http)));
    assert_eq!(askers.statuses(ms(20_200)).len(), 8);
    let mut askers = CheckerRegistry::new(checkers::CheckerLimits::default());
    askers.record_check(ms(0), who(9, CheckProtocol::Watch));
    askers.begin_drain(ms(1));
    assert!(!askers.all_notified(ms(60_000)), "a watcher is there until it leaves");
    askers.remove(who(9, CheckProtocol::Watch));
    assert!(askers.all_notified(ms(60_000)));
}

#[test]
fn a_drain_goes_through_its_phases_and_can_be_taken_back() {
    let f = drain_sequence::DrainTiming::default();
    let mut plan = DrainSequence::new(f);
    assert!(plan.set_goal(ms(0), DrainGoal::Drain));
    assert_eq!(plan.advance(ms(100), true), DrainPhase::Notifying);
    assert_eq!(
        plan.advance(ms(400), true),
        DrainPhase::Notifying,
        "told and settled, but not for the least time"
    );
    assert_eq!(plan.advance(ms(500), true), DrainPhase::ClosingConnections);
    assert!(plan.set_goal(ms(600), DrainGoal::Serve), "taken back half way");
    assert_eq!(plan.advance(ms(10_000), true), DrainPhase::Serving);
    assert!(plan.set_goal(ms(10_000), DrainGoal::Drain));
    plan.advance(ms(10_100), false);
    assert_eq!(plan.advance(ms(24_900), false), DrainPhase::Notifying);
    assert_eq!(
        (plan.advance(ms(25_000), false), plan.notify_timed_out()),
        (DrainPhase::ClosingConnections, true)
    );
    assert_eq!(plan.advance(ms(26_000), false), DrainPhase::Drained);
    assert!(plan.set_goal(ms(30_000), DrainGoal::DrainThenExit));
    assert_eq!(plan.advance(ms(30_000), true), DrainPhase::ShuttingDown);
    assert!(!plan.set_goal(ms(30_000), DrainGoal::Serve), "too late");
}
