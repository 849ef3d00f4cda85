//! Whole days of small fleets.
#![allow(missing_docs)]

use tallypin_simulator::world::{Figures, World};
use tallypin_simulator::{plans, policy};

fn play(plan: &tallypin_simulator::world::Plan, name: &str) -> Figures {
    World::new(plan, policy::by_name(name).expect("a policy")).play()
}

#[test]
fn the_same_seed_is_the_same_day_and_another_is_not() {
    let plan = plans::rough(3, 8, 2, 0.7, 20);
    let one = play(&plan, "tallypin");
    assert_eq!(one, play(&plan, "tallypin"));
    assert_ne!(one, play(&plans::rough(4, 8, 2, 0.7, 20), "tallypin"));
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let plan = plan.clone();
            std::thread::spawn(move || play(&plan, "tallypin"))
        })
        .collect();
    for t in threads {
        assert_eq!(t.join().expect("played"), one, "on another thread, too");
    }
}

#[test]
fn policies_meet_the_same_arrivals_and_each_request_has_one_answer() {
    let plan = plans::rough(5, 8, 2, 0.7, 20);
    let came = play(&plan, "tallypin").came;
    assert!(came > 300);
    for name in policy::NAMES {
        let r = play(&plan, name);
        assert_eq!(r.came, came, "{name}");
        assert_eq!(r.in_time + r.late + r.refused + r.failed, r.came, "{name}: one answer each");
        assert_eq!(r.breaches.len() as u64, r.pushed_over, "{name}: {:?}", r.breaches);
        // Plain policies know nothing of cold nodes.
        assert!(*name != "tallypin" || r.pushed_over == 0, "{:?}", r.breaches);
    }
}

#[test]
fn the_module_serves_more_in_time_than_chance_does() {
    for seed in 1..4 {
        let plan = plans::rough(seed, 10, 2, 0.8, 30);
        let (module, random) = (play(&plan, "tallypin"), play(&plan, "random"));
        assert!(module.in_time > random.in_time, "seed {seed}: {} and {}", module.in_time, random.in_time);
    }
}
