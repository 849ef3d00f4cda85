//! State and weight, askers, and the plan of a drain: what holds whatever is measured.
#![allow(missing_docs)]

use std::time::Duration;

use proptest::prelude::*;
use tallypin_health::askers::{self, Askers, Kind, Who};
use tallypin_health::plan::{self, Phase, Plan, Wish};
use tallypin_health::state::{Assessor, Cause, Figures, Fleet, Order, Signals, State};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn well() -> Signals {
    Signals {
        most: 100,
        fleet: Fleet { ready: 10, usable: 1.0, ..Fleet::default() },
        room: 100,
        clients_free: 1.0,
        bodies_free: 1.0,
        links_free: 1.0,
        taken: 3,
        answered: 3,
        ..Signals::default()
    }
}

/// Steps of 100 ms from one point in time to another.
fn steps(a: &mut Assessor, from: u64, to: u64, s: &Signals) -> Vec<(State, u8, Cause)> {
    (from / 100..to / 100)
        .map(|i| {
            let told = a.step(ms(i * 100), s);
            (told.state, told.weight, told.cause)
        })
        .collect()
}

#[test]
fn a_router_just_started_raises_its_weight_and_is_then_up() {
    let mut a = Assessor::new(Figures::default());
    let told = steps(&mut a, 0, 12_000, &well());
    assert_eq!(told[0], (State::Degraded, 1, Cause::Started));
    assert!(told.windows(2).all(|w| w[0].1 <= w[1].1), "{told:?}");
    assert!((45..=55).contains(&told[50].1), "{:?}", told[50]);
    assert_eq!(*told.last().unwrap(), (State::Up, 100, Cause::Well));
}

#[test]
fn what_is_its_own_lowers_the_weight_and_is_named() {
    for (change, cause) in [
        ((|s| s.late = ms(200)) as fn(&mut Signals), Cause::Late),
        (|s| s.clients_free = 0.05, Cause::Clients),
        (|s| s.bodies_free = 0.0, Cause::Bodies),
        (|s| s.links_free = 0.01, Cause::Links),
        (|s| s.fleet.excluded = 8, Cause::Excluded),
        (|s| s.open = 180, Cause::Crowded),
        (|s| (s.open, s.fleet.usable) = (60, 0.4), Cause::Crowded),
    ] {
        let mut a = Assessor::new(Figures::default());
        steps(&mut a, 0, 15_000, &well());
        let mut s = well();
        change(&mut s);
        let told = steps(&mut a, 15_000, 30_000, &s);
        let last = *told.last().unwrap();
        assert!(last.2 == cause && last.1 < 50 && last.0 == State::Degraded, "{cause:?}: {last:?}");
        let told = steps(&mut a, 30_000, 45_000, &well());
        assert_eq!(*told.last().unwrap(), (State::Up, 100, Cause::Well), "{cause:?}");
    }
}

#[test]
fn refusals_count_only_for_want_of_room() {
    for (room, share, cause) in [(3, 0, Cause::Refusing), (0, 3, Cause::Well)] {
        let mut a = Assessor::new(Figures { slow_start: Duration::ZERO, ..Figures::default() });
        let s = Signals { taken: 4, refused_room: room, refused_share: share, ..well() };
        let told = steps(&mut a, 0, 15_000, &s);
        assert_eq!(told.last().unwrap().2, cause);
    }
}

#[test]
fn orders_and_the_end_take_effect_at_once_and_orders_can_be_taken_back() {
    let mut a = Assessor::new(Figures::default());
    steps(&mut a, 0, 15_000, &well());
    let mut tell = |at: u64, order, ending, most| {
        let told = a.step(ms(at), &Signals { order, ending, most, ..well() });
        (told.state, told.cause)
    };
    assert_eq!(tell(15_000, Order::Drain, false, 100), (State::Drain, Cause::Draining));
    assert_eq!(tell(15_100, Order::Ready, false, 100), (State::Up, Cause::Well));
    assert_eq!(tell(15_200, Order::Maint, false, 100), (State::Maint, Cause::Maintained));
    assert_eq!(tell(15_300, Order::Ready, false, 40).0, State::Up);
    assert_eq!(tell(15_400, Order::Ready, true, 100), (State::Drain, Cause::Ending));
    assert_eq!(a.step(ms(15_500), &Signals { most: 40, ..well() }).weight, 40);
}

/// All that the routers of a tier share, at once: nodes cold, gone, unreachable, the list lost, and a surge
/// that fills every one of them. None may say `down`, whatever each has heard of the others before.
/// A tier of three under one of these causes for 80 s; true if any of them says that it is down.
fn any_down(cause: u64, figures: Figures) -> bool {
    let mut tier: Vec<Assessor> = (0..3).map(|_| Assessor::new(figures)).collect();
    let mut served = [Duration::ZERO; 3];
    let mut any = false;
    for step in 0..1200u64 {
        let now = ms(step * 100);
        let mut s = well();
        if (300..1100).contains(&step) {
            match cause {
                0 => s.fleet.cold = s.fleet.ready,
                1 => s.fleet = Fleet::default(),
                2 => s.fleet.list_lost = Some(ms((step - 300) * 100)),
                3 => (s.answered, s.unanswered) = (0, 3),
                4 => (s.answered, s.unanswered, s.fleet.excluded) = (0, 9, s.fleet.ready),
                _ => (s.late, s.clients_free, s.refused_room, s.open) = (ms(900), 0.0, 3, 900),
            }
        }
        let heard = served;
        for (i, router) in tier.iter_mut().enumerate() {
            // Each hears of the other two, 0.4 s late.
            let witness = (0..3).filter(|j| *j != i).map(|j| heard[j] + ms(400)).max();
            let told = router.step(now, &Signals { witness: witness.filter(|w| *w <= now), ..s });
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
        assert!(!any_down(cause, Figures::default()), "cause {cause}");
    }
    // What guards against it is the age of the witness: without that, they do say so.
    let hasty = Figures { witness_after: Duration::ZERO, failures: 2, ..Figures::default() };
    assert!(any_down(3, hasty));
}

#[test]
fn trouble_of_one_router_alone_makes_it_down_and_it_tries_again() {
    let mut a = Assessor::new(Figures::default());
    steps(&mut a, 0, 15_000, &well());
    let mut states = Vec::new();
    for i in 150..500u64 {
        let s = Signals { answered: 0, unanswered: 2, witness: Some(ms(i * 100 - 300)), ..well() };
        states.push(a.step(ms(i * 100), &s).state);
    }
    let first = states.iter().position(|s| *s == State::Down).expect("it is down");
    assert!((50..=80).contains(&first), "not before the witness is worth something: {first}");
    let again = states[first..].iter().position(|s| *s != State::Down).expect("it tries again");
    assert!((90..=130).contains(&again), "{again}");
    // Without messages between routers there is no witness, and it never says so.
    let mut a = Assessor::new(Figures::default());
    let s = Signals { answered: 0, unanswered: 9, ..well() };
    assert!(steps(&mut a, 0, 60_000, &s).iter().all(|t| t.0 == State::Degraded));
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
            most,
            taken,
            refused_room: room,
            answered,
            unanswered,
            open,
            room: 100,
            clients_free: a,
            bodies_free: b,
            links_free: c,
            late: ms(late),
            fleet: Fleet { ready, cold, excluded, usable, list_lost: lost.map(ms) },
            witness: w.map(ms),
            ..Signals::default()
        },
    )
}

proptest! {
    /// Whatever is measured: within 1 to 100, and no faster than the step allows (1% is the rounding), but for
    /// the operator's bound, which is an order.
    #[test]
    fn the_weight_never_leaps(all in proptest::collection::vec((any_signals(), 10u64..3000), 1..80)) {
        let mut a = Assessor::new(Figures { slow_start: Duration::ZERO, ..Figures::default() });
        let (mut now, mut before): (Duration, Option<f64>) = (Duration::ZERO, None);
        for (mut s, gap) in all {
            s.most = 100;
            s.fleet.ready += 1;
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
        let mut a = Assessor::new(Figures { slow_start: Duration::ZERO, ..Figures::default() });
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
        let figures = plan::Figures::default();
        let mut plan = Plan::new(figures);
        let (mut now, mut phases) = (Duration::ZERO, vec![Phase::Serving]);
        plan.want(now, Wish::End);
        for (gap, told) in gaps {
            now += ms(gap);
            prop_assert!(!plan.want(now, Wish::Serve));
            phases.push(plan.step(now, told));
        }
        prop_assert!(phases.windows(2).all(|w| w[0] <= w[1]));
        prop_assert_eq!(plan.phase(), Phase::Closing);
    }
}

fn who(last: u8, kind: Kind) -> Who {
    Who { ip: [127, 0, 0, last].into(), kind }
}

#[test]
fn a_drain_waits_for_whoever_asks_and_for_nobody_else() {
    let mut askers = Askers::new(askers::Figures { times: 2, ..askers::Figures::default() });
    let (quick, slow, gone, watch) =
        (who(1, Kind::Agent), who(2, Kind::Http), who(3, Kind::Agent), who(4, Kind::Watch));
    askers.asked(ms(0), watch);
    for t in 0..200u64 {
        let now = ms(t * 100);
        [quick, slow, gone].iter().zip([(5, 200), (40, 200), (10, 100)]).for_each(|(w, (every, until))| {
            if t % every == 0 && t < until {
                askers.asked(now, *w);
            }
        });
    }
    // 20 s: `gone` has not asked for ten of its intervals.
    askers.drain(ms(20_000));
    let told = |a: &Askers, at| a.all_told(ms(at));
    assert!(!told(&askers, 20_000));
    askers.asked(ms(20_000), quick);
    askers.asked(ms(20_010), watch);
    askers.asked(ms(20_000), slow);
    assert!(!told(&askers, 20_100), "a check over HTTP has to fail twice");
    askers.asked(ms(24_000), slow);
    assert!(told(&askers, 24_000));
    let shown = askers.show(ms(24_000));
    assert_eq!(shown.iter().filter(|s| s.told).count(), 2, "{shown:?}");
    assert!(shown.iter().all(|s| s.who != gone));
    // One that asks more seldom than is taken for granted is learnt all the same.
    let mut rare = Askers::new(askers::Figures::default());
    [0, 9000, 18_000].iter().for_each(|at| rare.asked(ms(*at), slow));
    rare.drain(ms(26_000));
    assert!(!rare.all_told(ms(44_000)) && rare.all_told(ms(46_000)), "{:?}", rare.show(ms(26_000)));
    // Taken back, and begun again: all have to hear once more.
    askers.undrain();
    askers.drain(ms(25_000));
    assert!(!told(&askers, 25_000));
}

#[test]
fn an_asker_that_stops_in_the_drain_is_not_waited_for_and_the_table_is_bounded() {
    let mut askers = Askers::new(askers::Figures { most: 8, ..askers::Figures::default() });
    (0..10).for_each(|t| askers.asked(ms(t * 1000), who(1, Kind::Agent)));
    askers.drain(ms(9500));
    assert!(!askers.all_told(ms(11_000)));
    assert!(askers.all_told(ms(12_100)), "three intervals of 1 s after it asked last");
    (0..200).for_each(|i| askers.asked(ms(20_000 + i), who((i % 250) as u8, Kind::Http)));
    assert_eq!(askers.show(ms(20_200)).len(), 8);
    let mut askers = Askers::new(askers::Figures::default());
    askers.asked(ms(0), who(9, Kind::Watch));
    askers.drain(ms(1));
    assert!(!askers.all_told(ms(60_000)), "a watcher is there until it leaves");
    askers.left(who(9, Kind::Watch));
    assert!(askers.all_told(ms(60_000)));
}

#[test]
fn a_drain_goes_through_its_phases_and_can_be_taken_back() {
    let f = plan::Figures::default();
    let mut plan = Plan::new(f);
    assert!(plan.want(ms(0), Wish::Drain));
    assert_eq!(plan.step(ms(100), true), Phase::Telling);
    assert_eq!(plan.step(ms(400), true), Phase::Telling, "told and settled, but not for the least time");
    assert_eq!(plan.step(ms(500), true), Phase::Parting);
    assert!(plan.want(ms(600), Wish::Serve), "taken back half way");
    assert_eq!(plan.step(ms(10_000), true), Phase::Serving);
    assert!(plan.want(ms(10_000), Wish::Drain));
    plan.step(ms(10_100), false);
    assert_eq!(plan.step(ms(24_900), false), Phase::Telling);
    assert_eq!((plan.step(ms(25_000), false), plan.untold()), (Phase::Parting, true));
    assert_eq!(plan.step(ms(26_000), false), Phase::Drained);
    assert!(plan.want(ms(30_000), Wish::DrainAndEnd));
    assert_eq!(plan.step(ms(30_000), true), Phase::Closing);
    assert!(!plan.want(ms(30_000), Wish::Serve), "too late");
}
