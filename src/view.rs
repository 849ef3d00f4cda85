//! What the module holds of its replicas, to be set beside the traffic that a gateway sees. Nothing is
//! decided by it.

use crate::api::{EndpointState, Nanos, ReplicaId};
use crate::decode_rate::RelativeDuration;
use crate::Balancer;

/// What the module holds of a replica that takes work.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// Which replica.
    pub replica: ReplicaId,
    /// Own attempts out.
    pub open: u32,
    /// Those without a first token yet.
    pub waiting: usize,
    /// The smoothed wait for a first token, and how old its last sample is, if there is one.
    pub wait: Nanos,
    /// The age of that wait's last sample; `None` without one.
    pub sampled: Option<Nanos>,
    /// Excluded for so long yet; 0: not excluded.
    pub excluded: Nanos,
    /// Taken for cold.
    pub cold: bool,
    /// What it is taken to be able to do at the moment, as a share of what it can when warm: from the cold share
    /// evenly to 1, 0 to 1.
    pub warmth: f64,
    /// How long its streams take, against the fleet's and apart from its warmth.
    pub pace: RelativeDuration,
}

impl Balancer {
    /// The replicas that take work, as the module sees them at `now`.
    pub fn view(&self, now: Nanos) -> Vec<Seen> {
        let ready = self.replicas.iter().filter(|r| r.entry.state == EndpointState::Ready);
        ready
            .map(|r| Seen {
                replica: r.entry.replica,
                open: r.in_flight,
                waiting: r.awaiting_first_token.len(),
                wait: r.first_token_wait as Nanos,
                sampled: (r.wait_sampled_at > 0).then(|| now.saturating_sub(r.wait_sampled_at)),
                excluded: r.ejected_until.saturating_sub(now),
                cold: self.is_warming_up(now, r),
                warmth: self.capacity_share(now, r),
                pace: r.decode_rate.relative_duration(
                    now,
                    self.statistics.mean_stream_s,
                    self.capacity_share(now, r),
                ),
            })
            .collect()
    }
}
