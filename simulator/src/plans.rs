//! Plans to begin with, in sizes of one's choice.

use crate::engine::Kind;
use crate::world::Plan;
use tallypin::api::{Class, Effect, Tenant, SECOND};

const MS: u64 = SECOND / 1000;

/// Two kinds of nodes, the first about half as fast again as the second, within the ranges that the operators state of
/// theirs.
pub fn kinds() -> Vec<Kind> {
    let old = usual_kind();
    let new = Kind { slots: 24, step: 11e6, per_read: 45_000.0, ..old.clone() };
    vec![new, old.clone(), old]
}

/// A node of the older kind; what a fleet file leaves out is as here.
pub fn usual_kind() -> Kind {
    Kind {
        slots: 20,
        queue: 40,
        memory: 250_000,
        block: 32,
        chunk: 2_048,
        step: 15e6,
        per_request: 0.2e6,
        per_context: 40.0,
        per_read: 60_000.0,
        keeps_made: true,
        crowded: 1.0,
    }
}

/// A fleet of so many nodes behind so many routers, asked for `load` of what it can about bear, for `length` s.
pub fn fleet(seed: u64, nodes: u32, routers: u32, load: f64, length: u64) -> Plan {
    let class = |aim: u64| Class {
        latency_objective: aim * MS,
        latency_objective_per_1000_tokens: 45 * MS,
        token_interval_objective: 80 * MS,
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_value_share: 0.0,
    };
    // About what a node of the older kind serves with a batch that keeps the pace, sessions finding what they left.
    let bears = 4.0 * f64::from(nodes);
    let quota = |share: f64| Tenant { quota_per_s: share * bears };
    Plan {
        seed,
        routers,
        nodes,
        kinds: kinds(),
        tenants: vec![quota(0.5), quota(0.3), quota(0.2)],
        classes: vec![class(1_200), class(1_500)],
        deadlines: vec![4 * SECOND, 6 * SECOND],
        rate: load * bears,
        length: length * SECOND,
        sessions: nodes * 30,
        prefixes: (nodes * 2).clamp(10, 400),
        prefix_tokens: 2_000,
        turn_tokens: 300.0,
        answer_tokens: 120.0,
        most_prompt: 8_000,
        latency: MS / 2,
        list_late: 2 * SECOND,
        peer_latency: 4 * MS,
        peer_loss: 0.01,
        cold_share: 0.15,
        cold: 23 * SECOND,
        deploy: None,
        drain: 4 * SECOND,
        slow: None,
    }
}

/// The same with half of the fleet replaced, and an eighth of the nodes five times as slow for a while.
pub fn rough(seed: u64, nodes: u32, routers: u32, load: f64, length: u64) -> Plan {
    let at = |part: f64| (length as f64 * part * SECOND as f64) as u64;
    Plan {
        deploy: Some((at(0.1), at(0.7), 0.5)),
        slow: Some((at(0.3), at(0.6), 0.125, 5.0)),
        ..fleet(seed, nodes, routers, load, length)
    }
}
