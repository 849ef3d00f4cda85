//! Invariants of the health assessment, the checker registry and the drain sequence.
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

fn healthy_signals() -> Signals {
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

/// Runs the assessor with constant signals in steps of 100 ms and returns the assessments. Times are in ms.
fn run_steps(
    assessor: &mut HealthAssessor,
    from: u64,
    to: u64,
    signals: &Signals,
) -> Vec<(HealthState, u8, HealthCause)> {
    (from / 100..to / 100)
        .map(|i| {
            let assessment = assessor.step(ms(i * 100), signals);
            (assessment.state, assessment.weight, assessment.cause)
        })
        .collect()
}

#[test]
fn a_started_router_raises_its_weight_and_is_up_after_slow_start() {
    let mut assessor = HealthAssessor::new(AssessmentLimits::default());
    let assessments = run_steps(&mut assessor, 0, 12_000, &healthy_signals());
    assert_eq!(assessments[0], (HealthState::Degraded, 1, HealthCause::SlowStart));
    assert!(assessments.windows(2).all(|w| w[0].1 <= w[1].1), "{assessments:?}");
    assert!((45..=55).contains(&assessments[50].1), "{:?}", assessments[50]);
    assert_eq!(*assessments.last().unwrap(), (HealthState::Up, 100, HealthCause::Healthy));
}

#[test]
fn an_overload_of_the_router_itself_lowers_its_weight_and_names_the_cause() {
    for (change, cause) in [
        ((|s| s.event_loop_delay = ms(200)) as fn(&mut Signals), HealthCause::EventLoopLate),
        (|s| s.clients_free = 0.05, HealthCause::ClientSlotsExhausted),
        (|s| s.bodies_free = 0.0, HealthCause::BodyBudgetExhausted),
        (|s| s.replica_connections_free = 0.01, HealthCause::ReplicaConnectionsExhausted),
        (|s| s.replicas.ejected = 8, HealthCause::ReplicasEjected),
        (|s| s.in_flight = 180, HealthCause::AtCapacity),
        (|s| (s.in_flight, s.replicas.usable_capacity) = (60, 0.4), HealthCause::AtCapacity),
    ] {
        let mut assessor = HealthAssessor::new(AssessmentLimits::default());
        run_steps(&mut assessor, 0, 15_000, &healthy_signals());
        let mut signals = healthy_signals();
        change(&mut signals);
        let assessments = run_steps(&mut assessor, 15_000, 30_000, &signals);
        let last = *assessments.last().unwrap();
        assert!(last.2 == cause && last.1 < 50 && last.0 == HealthState::Degraded, "{cause:?}: {last:?}");
        let assessments = run_steps(&mut assessor, 30_000, 45_000, &healthy_signals());
        assert_eq!(*assessments.last().unwrap(), (HealthState::Up, 100, HealthCause::Healthy), "{cause:?}");
    }
}

#[test]
fn only_rejections_for_lack_of_capacity_count_as_load_shedding() {
    for (rejected_no_capacity, rejected_quota, cause) in
        [(3, 0, HealthCause::SheddingLoad), (0, 3, HealthCause::Healthy)]
    {
        let mut assessor = HealthAssessor::new(AssessmentLimits {
            slow_start: Duration::ZERO,
            ..AssessmentLimits::default()
        });
        let signals = Signals { accepted: 4, rejected_no_capacity, rejected_quota, ..healthy_signals() };
        let assessments = run_steps(&mut assessor, 0, 15_000, &signals);
        assert_eq!(assessments.last().unwrap().2, cause);
    }
}

#[test]
fn orders_and_shutdown_take_effect_at_once_and_orders_can_be_reverted() {
    let mut assessor = HealthAssessor::new(AssessmentLimits::default());
    run_steps(&mut assessor, 0, 15_000, &healthy_signals());
    let mut assess = |at: u64, order, shutting_down, max_weight| {
        let assessment =
            assessor.step(ms(at), &Signals { order, shutting_down, max_weight, ..healthy_signals() });
        (assessment.state, assessment.cause)
    };
    assert_eq!(
        assess(15_000, OperatorOrder::Drain, false, 100),
        (HealthState::Draining, HealthCause::OperatorDrain)
    );
    assert_eq!(assess(15_100, OperatorOrder::Ready, false, 100), (HealthState::Up, HealthCause::Healthy));
    assert_eq!(
        assess(15_200, OperatorOrder::Maintenance, false, 100),
        (HealthState::Maintenance, HealthCause::OperatorMaintenance)
    );
    assert_eq!(assess(15_300, OperatorOrder::Ready, false, 40).0, HealthState::Up);
    assert_eq!(
        assess(15_400, OperatorOrder::Ready, true, 100),
        (HealthState::Draining, HealthCause::ShuttingDown)
    );
    assert_eq!(assessor.step(ms(15_500), &Signals { max_weight: 40, ..healthy_signals() }).weight, 40);
}

/// Simulates three routers that share one cause of failure for 80 s. Returns whether any of them ever reports `down`.
fn any_down(cause: u64, limits: AssessmentLimits) -> bool {
    let mut routers: Vec<HealthAssessor> = (0..3).map(|_| HealthAssessor::new(limits)).collect();
    let mut last_served = [Duration::ZERO; 3];
    let mut any_down = false;
    for step in 0..1200u64 {
        let now = ms(step * 100);
        let mut s = healthy_signals();
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
        let reported = last_served;
        for (i, router) in routers.iter_mut().enumerate() {
            // The reports of the other two routers arrive 0.4 s late.
            let peer_serving_at = (0..3).filter(|j| *j != i).map(|j| reported[j] + ms(400)).max();
            let assessment =
                router.step(now, &Signals { peer_serving_at: peer_serving_at.filter(|t| *t <= now), ..s });
            any_down |= !assessment.state.serves();
            if s.answered > 0 {
                last_served[i] = now;
            }
        }
    }
    any_down
}

/// Causes that all routers share: nodes warming up, without entries, unreachable or ejected, a lost endpoint list, and a load
/// peak that fills every router. No router may report `down` for them, whatever it knew of its peers before.
#[test]
fn a_common_cause_makes_no_router_down() {
    for cause in 0..6 {
        assert!(!any_down(cause, AssessmentLimits::default()), "cause {cause}");
    }
    // A peer's report counts as evidence only if it arrives at least `peer_serving_after` after this router's own last
    // answer. This minimum is what keeps a router from reporting `down` for a common cause: with a minimum of zero, one does.
    let without_age_limit = AssessmentLimits {
        peer_serving_after: Duration::ZERO,
        max_unanswered: 2,
        ..AssessmentLimits::default()
    };
    assert!(any_down(3, without_age_limit));
}

#[test]
fn a_failure_of_one_router_alone_makes_it_down_and_it_retries() {
    let mut assessor = HealthAssessor::new(AssessmentLimits::default());
    run_steps(&mut assessor, 0, 15_000, &healthy_signals());
    let mut states = Vec::new();
    for i in 150..500u64 {
        let s = Signals {
            answered: 0,
            unanswered: 2,
            peer_serving_at: Some(ms(i * 100 - 300)),
            ..healthy_signals()
        };
        states.push(assessor.step(ms(i * 100), &s).state);
    }
    let first = states.iter().position(|s| *s == HealthState::Down).expect("the router becomes down");
    assert!(
        (50..=80).contains(&first),
        "the router is down only after the peer's report has the required age: {first}"
    );
    let retry = states[first..].iter().position(|s| *s != HealthState::Down).expect("the router retries");
    assert!((90..=130).contains(&retry), "{retry}");
    // Without reports of peers, the router never becomes down.
    let mut assessor = HealthAssessor::new(AssessmentLimits::default());
    let s = Signals { answered: 0, unanswered: 9, ..healthy_signals() };
    assert!(run_steps(&mut assessor, 0, 60_000, &s).iter().all(|t| t.0 == HealthState::Degraded));
}

fn any_signals() -> impl Strategy<Value = Signals> {
    let counts = (0u64..50, 0u64..50, 0u64..50, 0u64..50, 0usize..400);
    let shares = (0.0..=1.0, 0.0..=1.0, 0.0..=1.0, 0.0..=1.0);
    let fleet = (0usize..12, 0usize..12, 0usize..12, proptest::option::of(0u64..60_000));
    (counts, shares, fleet, 0u64..2000, 0u8..=120, proptest::option::of(0u64..60_000)).prop_map(
        |(
            (accepted_count, rejected_count, answered, unanswered, in_flight_count),
            (clients, bodies, connections, usable),
            (ready, warming_up_count, ejected_count, list_silence_ms),
            delay_ms,
            weight_limit,
            peer_serving_ms,
        )| Signals {
            max_weight: weight_limit,
            accepted: accepted_count,
            rejected_no_capacity: rejected_count,
            answered,
            unanswered,
            in_flight: in_flight_count,
            capacity: 100,
            clients_free: clients,
            bodies_free: bodies,
            replica_connections_free: connections,
            event_loop_delay: ms(delay_ms),
            replicas: ReplicaSummary {
                ready,
                warming_up: warming_up_count,
                ejected: ejected_count,
                usable_capacity: usable,
                list_silent_for: list_silence_ms.map(ms),
            },
            peer_serving_at: peer_serving_ms.map(ms),
            ..Signals::default()
        },
    )
}

proptest! {
    /// For any signals, the weight is from 1 to 100 and changes no faster than the step limit allows, plus 1% for rounding. The
    /// operator's limit is excepted: it takes effect at once.
    #[test]
    fn the_weight_changes_no_faster_than_its_step_limit(all in proptest::collection::vec((any_signals(), 10u64..3000), 1..80)) {
        let mut assessor = HealthAssessor::new(AssessmentLimits { slow_start: Duration::ZERO, ..AssessmentLimits::default() });
        let (mut now, mut before): (Duration, Option<f64>) = (Duration::ZERO, None);
        for (mut signals, gap) in all {
            signals.max_weight = 100;
            signals.replicas.ready += 1;
            now += ms(gap);
            let assessment = assessor.step(now, &signals);
            prop_assert!((1..=100).contains(&assessment.weight));
            if let Some(before) = before {
                let max_change = 25.0 * (gap.min(1000) as f64 / 1000.0) + 1.01;
                prop_assert!((f64::from(assessment.weight) - before).abs() <= max_change, "{} to {}", before, assessment.weight);
            }
            before = Some(f64::from(assessment.weight));
        }
    }

    /// With a constant signal plus noise, weight and state are stable after the settling time.
    #[test]
    fn noise_does_not_change_weight_or_state(level in 0.02f64..0.25, noise in proptest::collection::vec(-1.0f64..1.0, 600)) {
        let mut assessor = HealthAssessor::new(AssessmentLimits { slow_start: Duration::ZERO, ..AssessmentLimits::default() });
        let mut weights = Vec::new();
        for (i, n) in noise.iter().enumerate() {
            // The noise is up to a tenth of the free share.
            let free = (level * (1.0 + n / 10.0)).max(0.0);
            let assessment = assessor.step(ms(i as u64 * 100), &Signals { clients_free: free, ..healthy_signals() });
            weights.push((assessment.weight, assessment.state));
        }
        let settled = &weights[200..];
        let changes = settled.windows(2).filter(|w| w[0].1 != w[1].1).count();
        let (min, max) = settled.iter().fold((100, 0), |(a, b), (w, _)| (a.min(*w), b.max(*w)));
        prop_assert!(changes <= 1 && max - min <= 6, "{} state changes, weight {} to {}", changes, min, max);
        let reversals = settled
            .windows(3)
            .filter(|w| (w[1].0 > w[0].0) != (w[2].0 > w[1].0) && w[2].0 != w[1].0 && w[1].0 != w[0].0)
            .count();
        prop_assert!(reversals <= 2, "{} reversals", reversals);
    }

    /// A drain with shutdown completes for any times of its notifications, and cannot be cancelled.
    #[test]
    fn a_drain_with_shutdown_always_completes(steps in proptest::collection::vec((10u64..800, any::<bool>()), 400)) {
        let timing = drain_sequence::DrainTiming::default();
        let mut sequence = DrainSequence::new(timing);
        let (mut now, mut phases) = (Duration::ZERO, vec![DrainPhase::Serving]);
        sequence.set_goal(now, DrainGoal::Exit);
        for (gap, all_notified) in steps {
            now += ms(gap);
            prop_assert!(!sequence.set_goal(now, DrainGoal::Serve));
            phases.push(sequence.advance(now, all_notified));
        }
        prop_assert!(phases.windows(2).all(|w| w[0] <= w[1]));
        prop_assert_eq!(sequence.phase(), DrainPhase::ShuttingDown);
    }
}

fn checker(last_octet: u8, protocol: CheckProtocol) -> CheckerId {
    CheckerId { ip: [127, 0, 0, last_octet].into(), protocol }
}

#[test]
fn a_drain_waits_for_active_checkers_only() {
    let mut registry = CheckerRegistry::new(checkers::CheckerLimits {
        notifications: 2,
        ..checkers::CheckerLimits::default()
    });
    let (fast, slow, stopped, watch) = (
        checker(1, CheckProtocol::Agent),
        checker(2, CheckProtocol::Http),
        checker(3, CheckProtocol::Agent),
        checker(4, CheckProtocol::Watch),
    );
    registry.record_check(ms(0), watch);
    for t in 0..200u64 {
        let now = ms(t * 100);
        [fast, slow, stopped].iter().zip([(5, 200), (40, 200), (10, 100)]).for_each(|(c, (every, until))| {
            if t % every == 0 && t < until {
                registry.record_check(now, *c);
            }
        });
    }
    // At 20 s, `stopped` has sent no check for ten of its intervals.
    registry.begin_drain(ms(20_000));
    let all_notified = |registry: &CheckerRegistry, at| registry.all_notified(ms(at));
    assert!(!all_notified(&registry, 20_000));
    registry.record_check(ms(20_000), fast);
    registry.record_check(ms(20_010), watch);
    registry.record_check(ms(20_000), slow);
    assert!(!all_notified(&registry, 20_100), "an HTTP check must fail twice");
    registry.record_check(ms(24_000), slow);
    assert!(all_notified(&registry, 24_000));
    let statuses = registry.statuses(ms(24_000));
    assert_eq!(statuses.iter().filter(|s| s.notified).count(), 2, "{statuses:?}");
    assert!(statuses.iter().all(|s| s.id != stopped));
    // The interval of a checker is learnt even if it is longer than the assumed one.
    let mut infrequent = CheckerRegistry::new(checkers::CheckerLimits::default());
    [0, 9000, 18_000].iter().for_each(|at| infrequent.record_check(ms(*at), slow));
    infrequent.begin_drain(ms(26_000));
    assert!(
        !infrequent.all_notified(ms(44_000)) && infrequent.all_notified(ms(46_000)),
        "{:?}",
        infrequent.statuses(ms(26_000))
    );
    // After a cancelled drain, the next one notifies all checkers again.
    registry.cancel_drain();
    registry.begin_drain(ms(25_000));
    assert!(!all_notified(&registry, 25_000));
}

#[test]
fn a_drain_does_not_wait_for_a_checker_that_stops_and_the_registry_is_bounded() {
    let mut registry = CheckerRegistry::new(checkers::CheckerLimits {
        max_checkers: 8,
        ..checkers::CheckerLimits::default()
    });
    (0..10).for_each(|t| registry.record_check(ms(t * 1000), checker(1, CheckProtocol::Agent)));
    registry.begin_drain(ms(9500));
    assert!(!registry.all_notified(ms(11_000)));
    assert!(registry.all_notified(ms(12_100)), "three intervals of 1 s after its last check");
    (0..200)
        .for_each(|i| registry.record_check(ms(20_000 + i), checker((i % 250) as u8, CheckProtocol::Http)));
    assert_eq!(registry.statuses(ms(20_200)).len(), 8);
    let mut registry = CheckerRegistry::new(checkers::CheckerLimits::default());
    registry.record_check(ms(0), checker(9, CheckProtocol::Watch));
    registry.begin_drain(ms(1));
    assert!(!registry.all_notified(ms(60_000)), "a watch counts until it is removed");
    registry.remove(checker(9, CheckProtocol::Watch));
    assert!(registry.all_notified(ms(60_000)));
}

#[test]
fn a_drain_passes_through_its_phases_and_can_be_cancelled() {
    let timing = drain_sequence::DrainTiming::default();
    let mut sequence = DrainSequence::new(timing);
    assert!(sequence.set_goal(ms(0), DrainGoal::Drain));
    assert_eq!(sequence.advance(ms(100), true), DrainPhase::Notifying);
    assert_eq!(
        sequence.advance(ms(400), true),
        DrainPhase::Notifying,
        "checkers are notified, but the minimum time has not passed"
    );
    assert_eq!(sequence.advance(ms(500), true), DrainPhase::ClosingConnections);
    assert!(sequence.set_goal(ms(600), DrainGoal::Serve), "a drain can be cancelled while connections close");
    assert_eq!(sequence.advance(ms(10_000), true), DrainPhase::Serving);
    assert!(sequence.set_goal(ms(10_000), DrainGoal::Drain));
    sequence.advance(ms(10_100), false);
    assert_eq!(sequence.advance(ms(24_900), false), DrainPhase::Notifying);
    assert_eq!(
        (sequence.advance(ms(25_000), false), sequence.notify_timed_out()),
        (DrainPhase::ClosingConnections, true)
    );
    assert_eq!(sequence.advance(ms(26_000), false), DrainPhase::Drained);
    assert!(sequence.set_goal(ms(30_000), DrainGoal::DrainThenExit));
    assert_eq!(sequence.advance(ms(30_000), true), DrainPhase::ShuttingDown);
    assert!(!sequence.set_goal(ms(30_000), DrainGoal::Serve), "shutdown cannot be cancelled");
}
