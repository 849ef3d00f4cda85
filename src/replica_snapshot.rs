//! What the module holds of its replicas, to be set beside the traffic that a router sees. Nothing is
//! decided by it.

use crate::api::{EndpointState, Nanos, ReplicaId};
use crate::decode_rate::RelativeDuration;
use crate::Balancer;

/// What the module holds of a replica that takes work.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaSnapshot {
    /// Which replica.
    pub replica: ReplicaId,
    /// Own attempts out.
    pub in_flight: u32,
    /// Those without a first token yet.
    pub awaiting_first_token: usize,
    /// The smoothed wait for a first token, and how old its last sample is, if there is one.
    pub first_token_wait: Nanos,
    /// The age of that wait's last sample; `None` without one.
    pub wait_sample_age: Option<Nanos>,
    /// Excluded for so long yet; 0: not excluded.
    pub ejected_for: Nanos,
    /// Taken for cold.
    pub is_warming_up: bool,
    /// What it is taken to be able to do at the moment, as a share of what it can when warm: from the cold
    /// share evenly to 1, 0 to 1.
    pub capacity_share: f64,
    /// How long its streams take, against the fleet's and apart from its warmth.
    pub decode_rate: RelativeDuration,
}

impl Balancer {
    /// The replicas that take work, as the module sees them at `now`.
    pub fn replica_snapshots(&self, now: Nanos) -> Vec<ReplicaSnapshot> {
        let ready = self.replicas.iter().filter(|r| r.entry.state == EndpointState::Ready);
        ready
            .map(|r| ReplicaSnapshot {
                replica: r.entry.replica,
                in_flight: r.in_flight,
                awaiting_first_token: r.awaiting_first_token.len(),
                first_token_wait: r.first_token_wait as Nanos,
                wait_sample_age: (r.wait_sampled_at > 0).then(|| now.saturating_sub(r.wait_sampled_at)),
                ejected_for: r.ejected_until.saturating_sub(now),
                is_warming_up: self.is_warming_up(now, r),
                capacity_share: self.capacity_share(now, r),
                decode_rate: r.decode_rate.relative_duration(
                    now,
                    self.statistics.mean_stream_s,
                    self.capacity_share(now, r),
                ),
            })
            .collect()
    }
}
