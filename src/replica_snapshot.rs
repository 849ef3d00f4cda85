//! Snapshots of the replicas' state for status output and health, and for comparison with observed traffic. They do not
//! influence decisions.

use crate::api::{EndpointState, Nanos, ReplicaId};
use crate::decode_rate::RelativeDuration;
use crate::state::replica::Replica;
use crate::Balancer;

/// State of a ready replica at one time.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaSnapshot {
    /// Replica that the snapshot describes.
    pub replica: ReplicaId,
    /// Own attempts in flight.
    pub in_flight: u32,
    /// Own attempts without a first token.
    pub awaiting_first_token: usize,
    /// Smoothed first-token wait, without the prefill of the request's own prompt.
    pub first_token_wait: Nanos,
    /// Age of the last sample of the wait; `None` without a sample.
    pub wait_sample_age: Option<Nanos>,
    /// Remaining time of the ejection; 0 if the replica is not ejected.
    pub ejected_for: Nanos,
    /// Whether the replica is warming up.
    pub is_warming_up: bool,
    /// Current capacity as a share of the capacity when warm, 0 to 1.
    pub capacity_share: f64,
    /// Duration of the replica's streams relative to the mean of all replicas, corrected for its warm-up.
    pub decode_rate: RelativeDuration,
}

impl Balancer {
    /// Returns snapshots of the ready replicas at `now`.
    pub fn replica_snapshots(&self, now: Nanos) -> Vec<ReplicaSnapshot> {
        let ready = self.replicas.iter().filter(|replica| replica.entry.state == EndpointState::Ready);
        ready.map(|replica| self.replica_snapshot(now, replica)).collect()
    }

    fn replica_snapshot(&self, now: Nanos, replica: &Replica) -> ReplicaSnapshot {
        let capacity_share = self.capacity_share(now, replica);
        let sampled_at = replica.wait_sampled_at;
        ReplicaSnapshot {
            replica: replica.entry.replica,
            in_flight: replica.in_flight,
            awaiting_first_token: replica.awaiting_first_token.len(),
            first_token_wait: replica.first_token_wait as Nanos,
            wait_sample_age: (sampled_at > 0).then(|| now.saturating_sub(sampled_at)),
            ejected_for: replica.ejected_until.saturating_sub(now),
            is_warming_up: self.is_warming_up(now, replica),
            capacity_share,
            decode_rate: replica.decode_rate.relative_duration(
                now,
                self.statistics.mean_stream_s,
                capacity_share,
            ),
        }
    }
}
