//! What attempts and health checks of replicas need of their router.

use std::cell::Cell;
use std::rc::Rc;

use super::pool::ReplicaPool;
use crate::clock::Clock;
use crate::limits::Limits;

/// Idle connections are looked through so many times within the time that they may be idle.
const SWEEPS_PER_IDLE_TIME: u32 = 16;

/// What attempts and health checks of replicas need of their router.
pub struct ReplicaContext {
    /// The replicas and the connections to them.
    pub pool: Rc<ReplicaPool>,
    /// Sizes and times of answers.
    pub limits: Rc<Limits>,
    /// The clock.
    pub clock: Clock,
    /// The fields of load reports that the decisions go by, in their order.
    pub report_fields: Vec<String>,
    /// Events of answers that no dialect names, skipped, since the start.
    pub unknown_events: Cell<u64>,
}

impl ReplicaContext {
    /// No unknown event yet.
    pub fn new(pool: Rc<ReplicaPool>, limits: Rc<Limits>, clock: Clock, report_fields: Vec<String>) -> Self {
        ReplicaContext { pool, limits, clock, report_fields, unknown_events: Cell::new(0) }
    }
}

/// Closes connections that have been idle for too long or that their replicas have closed, again and again. Never ends.
pub async fn close_idle_connections(context: Rc<ReplicaContext>) {
    let mut every = tokio::time::interval(context.limits.replica_idle_timeout / SWEEPS_PER_IDLE_TIME);
    loop {
        every.tick().await;
        context.pool.close_expired();
    }
}
