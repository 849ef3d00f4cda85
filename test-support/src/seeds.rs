//! Seeds of randomized runs: which ones are requested, and how they run in parallel.

use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

/// Environment variable with the path of another build of the program to test.
const PROGRAM: &str = "TALLYPIN_PROGRAM";
/// Environment variable with the seeds of manual runs, `FIRST..END`.
const SEEDS: &str = "TALLYPIN_SOAK";
/// Seeds of manual runs without that variable.
const DEFAULT_SEEDS: &str = "1000..1050";

/// Returns the program to test: `built` unless another build is requested.
pub fn program(built: &str) -> PathBuf {
    std::env::var_os(PROGRAM).unwrap_or_else(|| built.into()).into()
}

/// Returns the requested seeds.
///
/// # Panics
/// The variable is not of the form `FIRST..END`.
pub fn requested() -> Range<u64> {
    let requested = std::env::var(SEEDS).unwrap_or_else(|_| DEFAULT_SEEDS.into());
    let (first, end) = requested.split_once("..").expect("TALLYPIN_SOAK has the form FIRST..END");
    first.parse().expect("FIRST is a number")..end.parse().expect("END is a number")
}

/// Runs each seed once on `lanes` threads; `run_seed` gets the number of the lane, from 1, and the seed.
pub fn run_in_parallel(seeds: Range<u64>, lanes: u64, run_seed: impl Fn(u64, u64) + Sync) {
    let next = AtomicU64::new(seeds.start);
    let run_remaining_seeds = &|lane: u64| loop {
        let seed = next.fetch_add(1, Ordering::SeqCst);
        if seed >= seeds.end {
            return;
        }
        run_seed(lane, seed);
    };
    std::thread::scope(|scope| {
        for lane in 1..=lanes {
            scope.spawn(move || run_remaining_seeds(lane));
        }
    });
}
