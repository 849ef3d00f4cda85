//! Measures the time that the balancer takes for a request, a list change, a full list and the end of a report period, by
//! the number of replicas. `tests/size.rs` bounds how these times grow.
//! Run with `cargo bench -p tallypin --bench pick`.
#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/sized_fleet.rs"]
mod sized_fleet;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use sized_fleet::SizedFleet;

fn balancer_work(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("module");
    group.sample_size(20);
    for replicas in [100u64, 1_000, 3_200] {
        let mut fleet = SizedFleet::new(replicas);
        group.bench_function(BenchmarkId::new("request", replicas), |bencher| {
            bencher.iter(|| fleet.request())
        });
        group.bench_function(BenchmarkId::new("change", replicas), |bencher| {
            bencher.iter(|| fleet.drain_and_restore())
        });
        group.bench_function(BenchmarkId::new("change and request", replicas), |bencher| {
            bencher.iter(|| {
                fleet.drain_and_restore();
                fleet.request();
            })
        });
        group.bench_function(BenchmarkId::new("whole list", replicas), |bencher| {
            bencher.iter(|| fleet.full_list())
        });
        group.bench_function(BenchmarkId::new("tick", replicas), |bencher| {
            bencher.iter(|| fleet.end_report_period())
        });
    }
    group.finish();
}

criterion_group!(benches, balancer_work);
criterion_main!(benches);
