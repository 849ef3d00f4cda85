//! Simulation of whole fleets in virtual time: all routers, council members among them, on a network that loses and delays
//! messages, with routers that crash or pause and links that are cut. The invariants are checked from outside: which routers
//! are out of service, and that no drain begins after an acknowledged halt. A seed that fails always fails.
#![allow(missing_docs)]

mod checks;
mod events;
mod faults;
mod orders;
mod rounds;
mod router;
mod world;

use tallypin_consensus::register::Acceptor;
use world::{World, COUNCIL, S};

/// Counts over all seeds of a test.
#[derive(Default)]
struct Outcome {
    /// Drains that began.
    drains: usize,
    /// Seeds after which all routers knew the same state.
    converged: usize,
    /// Restarts of routers with a released file.
    restarts: usize,
    /// Seeds after which a release was done.
    releases_done: usize,
}

/// Runs the seeds with a fleet of `routers` routers.
fn run_seeds(seeds: std::ops::Range<u64>, routers: usize) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in seeds {
        let mut world = World::new(seed, routers);
        world.run_until(60 * S);
        let converged = world.recover();
        if !converged {
            let joined = |router: &&router::Router| router.acceptor.as_ref().is_some_and(Acceptor::joined);
            let joined_members = world.routers.iter().filter(joined).count();
            println!("seed {seed}: routers know different states; {joined_members} of {COUNCIL} members have joined");
        }
        outcome.converged += usize::from(converged);
        outcome.drains += world.counts.drains;
        outcome.restarts += world.counts.restarts;
        outcome.releases_done += world.counts.releases_done;
    }
    outcome
}

#[test]
fn limits_and_halts_hold_under_faults_and_all_routers_agree_after_recovery() {
    for (routers, seeds) in [(5, 60), (50, 2)] {
        let Outcome { drains, converged, restarts, releases_done } = run_seeds(0..seeds, routers);
        println!(
            "{routers} routers, {seeds} seeds: {drains} drains began, {restarts} for a release; \
             {converged} seeds converged, {releases_done} with a release done"
        );
        assert!(
            restarts > 0 && releases_done > 0,
            "{restarts} restarts for a release, {releases_done} releases done: the test covers too little"
        );
        assert!(
            drains as u64 > seeds,
            "{drains} drains in {seeds} seeds of {routers} routers: the test covers too little"
        );
        assert_eq!(converged as u64, seeds, "{routers} routers: all must know the same state after recovery");
    }
}

/// Runs `SEEDS` seeds with fleets of `FLEET` routers, both taken from the environment. Run by hand.
#[test]
#[ignore = "takes minutes"]
fn routers_of_a_fleet_of_any_size_agree_after_recovery() {
    let number =
        |name: &str, default| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default);
    let (routers, seeds) = (number("FLEET", 300) as usize, number("SEEDS", 4));
    let Outcome { drains, converged, restarts, releases_done } = run_seeds(0..seeds, routers);
    println!(
        "{routers} routers, {seeds} seeds: {drains} drains began, {restarts} for a release; \
             {converged} seeds converged, {releases_done} with a release done"
    );
    assert_eq!(converged as u64, seeds);
}
