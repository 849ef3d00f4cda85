//! The shared state that attempts and health checks use.

use std::cell::Cell;
use std::rc::Rc;

use super::pool::ReplicaPool;
use crate::clock::Clock;
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;

/// Number of sweeps for expired idle connections within one idle timeout.
const SWEEPS_PER_IDLE_TIMEOUT: u32 = 16;

/// The shared state that attempts and health checks use.
pub struct ReplicaContext {
    /// The replicas and the connections to them.
    pub pool: Rc<ReplicaPool>,
    /// The memory budget for the parts of answers that have not been written to their clients.
    pub answer_budget: MemoryBudget,
    /// The limits on the size and time of responses.
    pub limits: Rc<Limits>,
    /// The clock.
    pub clock: Clock,
    /// The names of the load report fields that the decision module uses, in its order.
    pub report_fields: Vec<String>,
    /// Number of events of a type unknown to the dialect since the router started. They are skipped.
    pub unknown_events: Cell<u64>,
}

impl ReplicaContext {
    /// Creates the context of a router.
    pub fn new(
        pool: Rc<ReplicaPool>,
        answer_budget: MemoryBudget,
        limits: Rc<Limits>,
        clock: Clock,
        report_fields: Vec<String>,
    ) -> Self {
        ReplicaContext { pool, answer_budget, limits, clock, report_fields, unknown_events: Cell::new(0) }
    }
}

/// Periodically closes connections that have exceeded the idle timeout or that their replicas have closed. Never returns.
pub async fn close_idle_connections(context: Rc<ReplicaContext>) {
    let mut interval = tokio::time::interval(context.limits.replica_idle_timeout / SWEEPS_PER_IDLE_TIMEOUT);
    loop {
        interval.tick().await;
        context.pool.close_expired();
    }
}
