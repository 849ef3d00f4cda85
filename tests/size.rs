//! Bounds how the cost of the balancer's work grows from 100 to 3,200 replicas, and its memory for each replica.
#![allow(missing_docs)]

mod common;
#[path = "common/sized_fleet.rs"]
mod sized_fleet;

use std::time::{Duration, Instant};

use common::{ready_entry, test_settings, MS};
use sized_fleet::SizedFleet;
use tallypin::api::*;
use tallypin::Balancer;

const USUAL_REPLICAS: u64 = 100;
const MANY_REPLICAS: u64 = 3_200;
/// Rounds that are measured. The fastest one counts, because other load on the machine slows rounds down.
const ROUNDS: usize = 30;

/// Time that `work` takes in the fastest round, which repeats it `times` times.
fn fastest_time(fleet: &mut SizedFleet, times: u32, mut work: impl FnMut(&mut SizedFleet)) -> Duration {
    let mut round = || {
        let start = Instant::now();
        (0..times).for_each(|_| work(fleet));
        start.elapsed()
    };
    (0..ROUNDS).map(|_| round()).min().expect("at least one round") / times
}

/// A name, repetitions in a round, the largest allowed ratio of the times with 32 times as many replicas, and the work.
/// Work on all replicas may take much less than 32² times as long.
type MeasuredWork = (&'static str, u32, f64, fn(&mut SizedFleet));

const WORK: [MeasuredWork; 4] = [
    ("a request", 50, 5.0, SizedFleet::request),
    ("a list change", 50, 5.0, SizedFleet::drain_and_restore),
    ("a full list", 1, 150.0, SizedFleet::full_list),
    ("the end of a report period", 10, 150.0, SizedFleet::end_report_period),
];

/// Guards against work on all replicas for each request or changed entry, and against a quadratic cost of a full list.
#[test]
fn a_request_hardly_costs_more_in_a_large_fleet_and_a_full_list_less_than_its_square() {
    let (mut usual_fleet, mut large_fleet) =
        (SizedFleet::new(USUAL_REPLICAS), SizedFleet::new(MANY_REPLICAS));
    for (name, times, max_ratio, work) in WORK {
        let (usual_time, large_time) =
            (fastest_time(&mut usual_fleet, times, work), fastest_time(&mut large_fleet, times, work));
        let ratio = large_time.as_secs_f64() / usual_time.as_secs_f64();
        println!("{name}: {usual_time:?} with {USUAL_REPLICAS}, {large_time:?} with {MANY_REPLICAS}: {ratio:.1} of {max_ratio}");
        assert!(
            ratio <= max_ratio,
            "{name}: {usual_time:?} with {USUAL_REPLICAS} and {large_time:?} with {MANY_REPLICAS}"
        );
    }
}

/// Bytes that the balancer may use for a replica: its state, its endpoint entry, its places in hash tables and rings.
const MAX_BYTES_PER_REPLICA: u64 = 512;

#[test]
fn memory_per_replica_is_bounded() {
    for replicas in [USUAL_REPLICAS, 1_000, MANY_REPLICAS, 10_000] {
        let mut balancer = Balancer::new(test_settings(1, 0), 7).expect("the settings are valid");
        let rows = (0..replicas).map(ready_entry).collect();
        let mut actions = Vec::with_capacity(64);
        let allocated = allocation_counter::measure(|| {
            balancer.handle(
                1_000_000 * MS,
                Event::EndpointList { kind: ListUpdate::Full, entries: rows },
                &mut actions,
            );
        });
        // The entries were allocated before the measurement and freed within it.
        let rows = replicas as i64 * size_of::<EndpointEntry>() as i64;
        let bytes_per_replica = (allocated.bytes_current + rows) / replicas as i64;
        println!("{replicas} replicas: {bytes_per_replica} bytes each");
        assert!(
            bytes_per_replica > 0 && bytes_per_replica as u64 <= MAX_BYTES_PER_REPLICA,
            "{replicas} replicas: {bytes_per_replica} bytes each"
        );
    }
}
