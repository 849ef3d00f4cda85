//! What the core tells of its state.

use tallypin::api::{EndpointEntry, Nanos};
use tallypin::replica_snapshot::ReplicaSnapshot;

use super::answer::RequestCounts;
use super::Core;

impl Core {
    /// Number of streams that began after more than half of the time to their deadline had passed.
    pub fn late_streams(&self) -> u64 {
        self.late_streams
    }

    /// The entries of the endpoint list as received, without operator overrides.
    pub fn listed_replicas(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.endpoints.entries()
    }

    /// Counts of requests and attempts since the router started.
    pub fn counts(&self) -> &RequestCounts {
        &self.counts
    }

    /// Number of requests that have no final answer or still have attempts in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether requests may be sent by the known endpoint list at `now`; false if it may be outdated for too long.
    pub fn may_send_by_list(&self, now: Nanos) -> bool {
        self.balancer.may_send_by_list(now)
    }

    /// The decision module's view of the replicas that accept requests.
    pub fn replica_snapshots(&self, now: Nanos) -> Vec<ReplicaSnapshot> {
        self.balancer.replica_snapshots(now)
    }

    /// Number of scheduled timers, obsolete ones included.
    pub fn scheduled_timers(&self) -> usize {
        self.timers.len()
    }
}
