//! The register on a simulated network: messages are lost, duplicated, reordered and delayed, members restart without their
//! state, and proposers begin concurrent rounds. A seed that fails always fails.
#![allow(missing_docs)]

mod earlier_promise;
mod network;

use network::{History, Network};
use tallypin_consensus::register::Defect;

/// Number of steps for each seed.
const STEPS: usize = 700;

/// Runs the seeds. Returns the total number of agreements, or the first seed that fails and the reason.
fn run_seeds(seeds: std::ops::Range<u64>, defect: Option<Defect>) -> Result<usize, (u64, String)> {
    let mut agreements = 0;
    for seed in seeds {
        let mut network = Network::new(seed, if seed % 3 == 0 { 5 } else { 3 }, defect);
        for _ in 0..STEPS {
            network.step().map_err(|reason| (seed, reason))?;
        }
        agreements += network.agreements;
    }
    Ok(agreements)
}

#[test]
fn a_chosen_value_is_never_lost_or_replaced() {
    let agreements =
        run_seeds(0..10_000, None).unwrap_or_else(|(seed, reason)| panic!("seed {seed}: {reason}"));
    println!("{agreements} agreements in 10,000 seeds");
    assert!(
        agreements > 10_000,
        "only {agreements} agreements: the network is too lossy for the test to show anything"
    );
}

/// Each guard of the protocol is needed: without any one of them, some seed leads two processes to learn diverging values.
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
        let result = run_seeds(0..20_000, Some(defect));
        let Err((seed, _)) = result else { panic!("{defect:?} is not detected") };
        println!("{defect:?}: detected at seed {seed}");
    }
}
