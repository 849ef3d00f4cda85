//! What the decisions hold of the replicas, for status lines and health, and to be compared with the traffic
//! that a router sees. Nothing is decided by it.

use crate::api::{EndpointState, Nanos, ReplicaId};
use crate::decode_rate::RelativeDuration;
use crate::state::replica::Replica;
use crate::Balancer;

/// What the decisions hold of a replica that takes work, at one time.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaSnapshot {
    /// Which replica.
    pub replica: ReplicaId,
    /// Own attempts in flight.
    pub in_flight: u32,
    /// Those without a first token yet.
    pub awaiting_first_token: usize,
    /// The smoothed first-token wait, without the prefill of the request's own prompt.
    pub first_token_wait: Nanos,
    /// The age of that wait's last sample; `None` without one.
    pub wait_sample_age: Option<Nanos>,
    /// Ejected for so long yet; 0 if it is not ejected.
    pub ejected_for: Nanos,
    /// It is taken to be warming up.
    pub is_warming_up: bool,
    /// What it is taken to be able to do now, as a share of what it can when warm, 0 to 1.
    pub capacity_share: f64,
    /// How long its streams take against the mean of all replicas, apart from its warming up.
    pub decode_rate: RelativeDuration,
}

impl Balancer {
    /// The replicas that take work, as the decisions see them at `now`.
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
