//! Seeds of drawn trials: which are asked for, and how they are played side by side.

use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

/// Another build of the program may be played, at this path.
const PROGRAM: &str = "TALLYPIN_PROGRAM";
/// The seeds that are played by hand are those of this variable, `FIRST..END`.
const SEEDS: &str = "TALLYPIN_SOAK";
/// Played by hand where nothing is asked for.
const DEFAULT_SEEDS: &str = "1000..1050";

/// The program to play: another build where one is asked for.
pub fn program(built: &str) -> PathBuf {
    std::env::var_os(PROGRAM).unwrap_or_else(|| built.into()).into()
}

/// The seeds that are asked for.
///
/// # Panics
/// What is asked for is not `FIRST..END`.
pub fn asked_for() -> Range<u64> {
    let asked = std::env::var(SEEDS).unwrap_or_else(|_| DEFAULT_SEEDS.into());
    let (first, end) = asked.split_once("..").expect("FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Plays each seed once, in so many lanes side by side; `play` gets the lane, from 1, and the seed.
pub fn play_side_by_side(seeds: Range<u64>, lanes: u64, play: impl Fn(u64, u64) + Sync) {
    let next = AtomicU64::new(seeds.start);
    let one_after_the_other = &|lane: u64| loop {
        let seed = next.fetch_add(1, Ordering::SeqCst);
        if seed >= seeds.end {
            return;
        }
        play(lane, seed);
    };
    std::thread::scope(|scope| {
        for lane in 1..=lanes {
            scope.spawn(move || one_after_the_other(lane));
        }
    });
}
