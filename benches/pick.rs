//! What a request, a change of the node list, a whole list and a tick cost the decision module, by the size of the fleet.
//! `tests/size.rs` bounds how they may grow.
//! `cargo bench -p tallypin --bench pick`.
#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/sized.rs"]
mod sized;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use sized::SizedFleet;

fn pick(c: &mut Criterion) {
    let mut group = c.benchmark_group("module");
    group.sample_size(20);
    for nodes in [100u64, 1_000, 3_200] {
        let mut fleet = SizedFleet::new(nodes);
        group.bench_function(BenchmarkId::new("request", nodes), |b| b.iter(|| fleet.request()));
        group.bench_function(BenchmarkId::new("change", nodes), |b| b.iter(|| fleet.change()));
        group.bench_function(BenchmarkId::new("change and request", nodes), |b| {
            b.iter(|| {
                fleet.change();
                fleet.request();
            })
        });
        group.bench_function(BenchmarkId::new("whole list", nodes), |b| b.iter(|| fleet.whole_list()));
        group.bench_function(BenchmarkId::new("tick", nodes), |b| b.iter(|| fleet.tick()));
    }
    group.finish();
}

criterion_group!(benches, pick);
criterion_main!(benches);
