//! The endpoint list: its entries, its updates, and how updates arrive.

use super::ids::{Nanos, ReplicaId, ZoneId, SECOND};

/// Time after a change at which a router counts as notified of it, whether it has received it or not.
pub const NOTIFICATION_LIMIT: Nanos = 6 * SECOND;
/// Minimum and maximum interval between two calls for the endpoint list. The maximum is half of the notification limit:
/// the other half is for a call that was in flight when the list service recovered, and for the answer.
const LIST_CALL_INTERVAL_RANGE: (Nanos, Nanos) = (SECOND * 4 / 5, NOTIFICATION_LIMIT / 2);
/// Maximum rate of calls of all routers of a fleet together; four fifths of an interval pass between two calls on
/// average. Refusing calls takes time that the list service needs for answers.
const MAX_FLEET_CALLS_PER_S: Nanos = 100;

/// Returns the interval between calls of one router for the endpoint list, until a call is answered. It depends on the
/// distance of `now` from `notified_at`, the time at which the router counts as notified of the first change that it
/// may have missed. The interval shrinks as that time approaches and grows again after it, since later changes are due
/// a little later. If the interval grew with each refusal instead, the routers refused most often would fall behind.
pub fn list_call_interval(router_count: u32, now: Nanos, notified_at: Nanos) -> Nanos {
    let (shortest, longest) = LIST_CALL_INTERVAL_RANGE;
    let fleet_interval = Nanos::from(router_count) * SECOND * 5 / (4 * MAX_FLEET_CALLS_PER_S);
    let distance = notified_at.abs_diff(now);
    (distance / 3 * 2).clamp(fleet_interval.clamp(shortest, longest), longest)
}

/// How updates of the endpoint list arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListMode {
    /// Updates arrive unrequested.
    Pushed,
    /// Updates arrive only after a [`Action::WatchEndpoints`](crate::api::Action::WatchEndpoints).
    Polled {
        /// Time after which a router that has neither watched nor polled counts as notified of changes.
        max_poll_interval: Nanos,
    },
}

/// State of a replica by the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The replica takes new work.
    Ready,
    /// The replica finishes its work and takes no new work.
    Draining,
    /// The replica is gone.
    #[default]
    Gone,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointEntry {
    /// Replica that the entry describes.
    pub replica: ReplicaId,
    /// State of the replica.
    pub state: EndpointState,
    /// Time of the replica's last start; 0 if that was long ago.
    pub started_at: Nanos,
    /// Zone of the replica.
    pub zone: ZoneId,
    /// Cell of the replica: a small group of replicas.
    pub cell: u32,
    /// Kind of machine that runs the replica; machines of one kind have similar performance.
    pub kind: u32,
}

/// Content of an update of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta,
    /// The full list.
    Full,
    /// The full list that the router stored before a restart; it may be outdated.
    Cached,
    /// Changed entries only, from an override by this router's operators. An override does not show that the router
    /// receives the list.
    Override,
    /// A poll did not reach the list service, or the service closed the watch. No entries.
    Failed,
    /// The watch fell silent. No entries.
    Silent,
    /// The list service answered a poll without a list: it has too many callers. No entries.
    TurnedAway,
    /// The answer to a poll broke off after it had begun. Unlike a poll that was turned away, a truncated answer shows that
    /// the list service is not overloaded. No entries.
    Truncated,
}

impl ListUpdate {
    /// Whether the update reports a failure and has no entries.
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            ListUpdate::Failed | ListUpdate::Silent | ListUpdate::TurnedAway | ListUpdate::Truncated
        )
    }
}
