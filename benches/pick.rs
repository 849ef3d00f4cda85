//! What a request and a change of the node list cost the decision module, by the size of the fleet.
//! `cargo bench -p tallypin --bench pick`.
#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use common::{request, row, settings, MS};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use tallypin::api::*;
use tallypin::Balancer;

/// A router that knows so many nodes and has had an answer from some.
struct Fleet {
    module: Balancer,
    now: Nanos,
    next: u64,
    actions: Vec<Action>,
}

impl Fleet {
    fn new(nodes: u64) -> Fleet {
        let module = Balancer::new(settings(2, 0), 7).expect("the settings are good");
        let mut fleet = Fleet { module, now: 1_000_000 * MS, next: 0, actions: Vec::new() };
        let rows = (0..nodes).map(row).collect();
        fleet.tell(Event::List { kind: ListKind::Full, rows });
        for _ in 0..200 {
            fleet.request();
        }
        fleet
    }

    fn tell(&mut self, event: Event) {
        self.actions.clear();
        self.module.handle(self.now, event, &mut self.actions);
    }

    /// A request from its arrival to the end of its stream.
    fn request(&mut self) {
        self.next += 1;
        self.now += MS;
        let id = RequestId(self.next);
        // A few hundred sessions on five beginnings.
        let session = Some(SessionKey(self.next % 300));
        self.tell(Event::Request(Request { session, ..request(self.next) }));
        self.tell(Event::FirstToken { request: id, attempt: 0, after: 20 * MS });
        let end = Ended {
            request: id,
            attempt: 0,
            outcome: Outcome::Done,
            after: 400 * MS,
            over: true,
            kept_tokens: Some(800),
            load: Vec::new(),
        };
        self.tell(Event::Ended(end));
    }

    /// A node drains and is ready again.
    fn change(&mut self) {
        self.now += MS;
        for state in [ReplicaState::Draining, ReplicaState::Ready] {
            let rows = vec![ReplicaRow { state, ..row(3) }];
            self.tell(Event::List { kind: ListKind::Delta, rows });
        }
    }
}

fn pick(c: &mut Criterion) {
    let mut group = c.benchmark_group("module");
    group.sample_size(20);
    for nodes in [10u64, 1_000, 10_000] {
        let mut fleet = Fleet::new(nodes);
        group.bench_function(BenchmarkId::new("request", nodes), |b| b.iter(|| fleet.request()));
        group.bench_function(BenchmarkId::new("change", nodes), |b| b.iter(|| fleet.change()));
        group.bench_function(BenchmarkId::new("change and request", nodes), |b| {
            b.iter(|| {
                fleet.change();
                fleet.request();
            })
        });
        group.bench_function(BenchmarkId::new("whole list", nodes), |b| b.iter(|| Fleet::new(nodes).next));
    }
    group.finish();
}

criterion_group!(benches, pick);
criterion_main!(benches);
