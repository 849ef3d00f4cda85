//! The register on a simulated network: messages are lost, doubled, reordered and very late, members restart and remember
//! nothing, proposers begin one round over the other. A seed that fails fails again.
#![allow(missing_docs)]

mod earlier_promise;
mod network;

use network::{History, Network};
use tallypin_consensus::register::Defect;

/// Steps of a seed's run.
const STEPS: usize = 700;

/// Runs seeds; the agreements in all, or the first seed that fails and why.
fn play(seeds: std::ops::Range<u64>, defect: Option<Defect>) -> Result<usize, (u64, String)> {
    let mut agreements = 0;
    for seed in seeds {
        let mut network = Network::new(seed, if seed % 3 == 0 { 5 } else { 3 }, defect);
        for _ in 0..STEPS {
            network.step().map_err(|why| (seed, why))?;
        }
        agreements += network.agreements;
    }
    Ok(agreements)
}

#[test]
fn nothing_that_was_agreed_on_is_ever_lost_or_replaced() {
    let agreements = play(0..10_000, None).unwrap_or_else(|(seed, why)| panic!("seed {seed}: {why}"));
    println!("{agreements} agreements in 10,000 seeds");
    assert!(agreements > 10_000, "only {agreements}: the net is too bad to show anything");
}

/// Each guard of a promise is needed: without any one of them the same seeds find two processes that learn diverging values.
#[test]
fn each_deliberate_defect_is_detected() {
    for defect in [
        Defect::OneShortOfMajority,
        Defect::ForgetsPromise,
        Defect::BuildsOnOldest,
        Defect::JoinsAtOnce,
        Defect::AcceptsOlder,
        Defect::CountsDuplicates,
    ] {
        let found = play(0..20_000, Some(defect));
        let Err((seed, _)) = found else { panic!("{defect:?} is not found") };
        println!("{defect:?}: found at seed {seed}");
    }
}
