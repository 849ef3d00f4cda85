//! Complete simulated runs of small fleets.
#![allow(missing_docs)]

use tallypin_simulator::world::{Figures, World};
use tallypin_simulator::{plans, policy};

fn run(plan: &tallypin_simulator::world::Plan, policy_name: &str) -> Figures {
    World::new(plan, policy::by_name(policy_name).expect("the policy exists")).run()
}

#[test]
fn a_run_depends_only_on_its_seed() {
    let plan = plans::fleet_with_faults(3, 8, 2, 0.7, 20);
    let expected = run(&plan, "tallypin");
    assert_eq!(expected, run(&plan, "tallypin"));
    assert_ne!(expected, run(&plans::fleet_with_faults(4, 8, 2, 0.7, 20), "tallypin"));
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let plan = plan.clone();
            std::thread::spawn(move || run(&plan, "tallypin"))
        })
        .collect();
    for t in threads {
        assert_eq!(
            t.join().expect("the run completes"),
            expected,
            "a run on another thread gives the same figures"
        );
    }
}

#[test]
fn all_policies_get_the_same_arrivals_and_each_request_has_one_answer() {
    let plan = plans::fleet_with_faults(5, 8, 2, 0.7, 20);
    let requests = run(&plan, "tallypin").requests;
    assert!(requests > 300);
    for name in policy::NAMES {
        let r = run(&plan, name);
        assert_eq!(r.requests, requests, "{name}");
        assert_eq!(
            r.in_time + r.late + r.rejected + r.failed,
            r.requests,
            "{name}: each request has one answer"
        );
        assert_eq!(r.violations.len() as u64, r.overloaded_nodes, "{name}: {:?}", r.violations);
        // The baseline policies do not consider the warm-up of nodes.
        assert!(*name != "tallypin" || r.overloaded_nodes == 0, "{:?}", r.violations);
    }
}

#[test]
fn the_decision_module_serves_more_in_time_than_random_choice() {
    for seed in 1..4 {
        let plan = plans::fleet_with_faults(seed, 10, 2, 0.8, 30);
        let (module, random) = (run(&plan, "tallypin"), run(&plan, "random"));
        assert!(module.in_time > random.in_time, "seed {seed}: {} and {}", module.in_time, random.in_time);
    }
}
