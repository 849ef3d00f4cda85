//! Default plans for a given fleet size and load.

use crate::engine::NodeKind;
use crate::world::Plan;
use tallypin::api::{Class, Effect, Tenant, SECOND};

const MS: u64 = SECOND / 1000;

/// Returns two kinds of nodes, of which the first is about 1.5 times as fast as the second. Both are within the ranges that
/// the operators state for their nodes.
pub fn default_kinds() -> Vec<NodeKind> {
    let slow = default_kind();
    let fast =
        NodeKind { max_batch_size: 24, step_base_ns: 11e6, per_prefill_token_ns: 45_000.0, ..slow.clone() };
    vec![fast, slow.clone(), slow]
}

/// Returns the slower kind of node. Its values are the defaults of a fleet file.
pub fn default_kind() -> NodeKind {
    NodeKind {
        max_batch_size: 20,
        max_waiting: 40,
        memory_tokens: 250_000,
        block_tokens: 32,
        prefill_chunk_tokens: 2_048,
        step_base_ns: 15e6,
        per_request_ns: 0.2e6,
        per_context_token_ns: 40.0,
        per_prefill_token_ns: 60_000.0,
        caches_answers: true,
        crowding_threshold: 1.0,
    }
}

/// Returns the plan of a fleet whose arrival rate is the share `load` of its approximate capacity, for `duration_s` seconds.
pub fn fleet(seed: u64, nodes: u32, routers: u32, load: f64, duration_s: u64) -> Plan {
    let class = |objective_ms: u64| Class {
        latency_objective: objective_ms * MS,
        latency_objective_per_1000_tokens: 45 * MS,
        token_interval_objective: 80 * MS,
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_value_share: 0.0,
    };
    // Requests per second that nodes of the slower kind serve within the objectives when sessions find their prompts cached.
    let capacity_per_s = 4.0 * f64::from(nodes);
    let quota = |share: f64| Tenant { quota_per_s: share * capacity_per_s };
    Plan {
        seed,
        routers,
        nodes,
        kinds: default_kinds(),
        tenants: vec![quota(0.5), quota(0.3), quota(0.2)],
        classes: vec![class(1_200), class(1_500)],
        deadlines: vec![4 * SECOND, 6 * SECOND],
        rate_per_s: load * capacity_per_s,
        duration: duration_s * SECOND,
        sessions: nodes * 30,
        prefixes: (nodes * 2).clamp(10, 400),
        prefix_tokens: 2_000,
        median_turn_tokens: 300.0,
        median_answer_tokens: 120.0,
        max_prompt_tokens: 8_000,
        latency: MS / 2,
        list_delay: 2 * SECOND,
        peer_latency: 4 * MS,
        peer_loss: 0.01,
        initial_speed_share: 0.15,
        warm_up_time: 23 * SECOND,
        deploy: None,
        drain_time: 4 * SECOND,
        slow_period: None,
    }
}

/// Returns the plan of [`fleet`] with a rolling deploy of half of the nodes, and a period in which an eighth of the nodes is
/// five times as slow.
pub fn fleet_with_faults(seed: u64, nodes: u32, routers: u32, load: f64, duration_s: u64) -> Plan {
    let at = |share: f64| (duration_s as f64 * share * SECOND as f64) as u64;
    Plan {
        deploy: Some((at(0.1), at(0.7), 0.5)),
        slow_period: Some((at(0.3), at(0.6), 0.125, 5.0)),
        ..fleet(seed, nodes, routers, load, duration_s)
    }
}
