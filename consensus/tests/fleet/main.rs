//! Complete fleets in virtual time: every router, the council among them, on a network that loses and delays, with routers
//! that crash, stop and continue, and links that are cut. What must never happen is checked from outside: who is out of
//! service, and whether any drain began after a halt was answered. A seed that fails fails again.
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

/// What seeds came to.
#[derive(Default)]
struct Outcome {
    /// Drains that began.
    drained: usize,
    /// Seeds in which all routers knew the same state in the end.
    settled: usize,
    /// Routers that restarted with a released file.
    restarted: usize,
    /// Seeds in which a release was done in the end.
    released: usize,
}

/// Runs seeds of a fleet of so many routers.
fn play(seeds: std::ops::Range<u64>, routers: usize) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in seeds {
        let mut world = World::new(seed, routers);
        world.play(60 * S);
        let same = world.settle();
        if !same {
            let joined = |router: &&router::Router| router.acceptor.as_ref().is_some_and(Acceptor::joined);
            let remember = world.routers.iter().filter(joined).count();
            println!("seed {seed}: not one document; {remember} of {COUNCIL} members take part");
        }
        outcome.settled += usize::from(same);
        outcome.drained += world.tally.drained;
        outcome.restarted += world.tally.restarted;
        outcome.released += world.tally.released;
    }
    outcome
}

#[test]
fn limits_and_halts_hold_under_faults_and_all_routers_agree_once_they_are_mended() {
    for (routers, seeds) in [(5, 60), (50, 2)] {
        let Outcome { drained, settled, restarted, released } = play(0..seeds, routers);
        println!("{routers} routers, {seeds} seeds: {drained} went out, {restarted} for a release; {settled} came to one document, {released} with a release done");
        assert!(
            restarted > 0 && released > 0,
            "{restarted} went for a release, {released} were done: nothing was shown"
        );
        assert!(drained as u64 > seeds, "{drained} of {seeds} seeds of {routers}: nothing was shown");
        assert_eq!(settled as u64, seeds, "{routers} routers: all say the same in the end");
    }
}

/// `SEEDS` of fleets of `FLEET`, by hand.
#[test]
#[ignore = "minutes"]
fn the_same_at_any_size() {
    let number =
        |name: &str, otherwise| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(otherwise);
    let (routers, seeds) = (number("FLEET", 300) as usize, number("SEEDS", 4));
    let Outcome { drained, settled, restarted, released } = play(0..seeds, routers);
    println!(
        "{routers} routers, {seeds} seeds: {drained} went out, {restarted} for a release; {settled} came to one document, {released} with a release done"
    );
    assert_eq!(settled as u64, seeds);
}
