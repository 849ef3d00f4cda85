//! The endpoint list: its entries, what changes them, and how changes come.

use super::ids::{Nanos, ReplicaId, ZoneId, SECOND};

/// A router counts as notified of a change so long after it, whether it has heard of it or not.
pub const NOTIFICATION_LIMIT: Nanos = 6 * SECOND;
/// The shortest and the longest interval between two calls for the endpoint list. The longest is half of the time
/// after which a router counts as notified: the other half is for a call that was under way when the list came
/// back, and for the answer.
const LIST_CALL_INTERVALS: (Nanos, Nanos) = (SECOND * 4 / 5, NOTIFICATION_LIMIT / 2);
/// Routers of one fleet call so often together at the most; four fifths of an interval pass between two calls on
/// the average. Refusing calls takes the list service time that it needs for answers.
const FLEET_CALLS_PER_S: Nanos = 100;

/// The interval at which one of so many routers calls for the endpoint list until it is answered, by how far `now` is
/// from `notified_at`, when it counts as notified of the first change that it may have missed. The less time is
/// left, the sooner it calls again; then it slows down as it sped up, since the changes behind the first one count
/// a little later. An interval that grew with refusals instead would leave behind who was refused most often.
pub fn list_call_interval(router_count: u32, now: Nanos, notified_at: Nanos) -> Nanos {
    let (shortest, longest) = LIST_CALL_INTERVALS;
    let of_the_fleet = Nanos::from(router_count) * SECOND * 5 / (4 * FLEET_CALLS_PER_S);
    let distance = notified_at.abs_diff(now);
    (distance / 3 * 2).clamp(of_the_fleet.clamp(shortest, longest), longest)
}

/// How the endpoint list comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListMode {
    /// Changes arrive unprompted.
    Pushed,
    /// Changes arrive after a [`Action::WatchEndpoints`](crate::api::Action::WatchEndpoints) only.
    Polled {
        /// A router that has neither watched nor polled for this long counts as notified all the same.
        max_poll_interval: Nanos,
    },
}

/// What the endpoint list says of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Finishes its work; nothing new.
    Draining,
    /// Is gone; nothing new.
    #[default]
    Gone,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointEntry {
    /// Which replica.
    pub replica: ReplicaId,
    /// Its state.
    pub state: EndpointState,
    /// When it last started; 0 if long ago.
    pub started_at: Nanos,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell: a small set of replicas.
    pub cell: u32,
    /// Its kind of machine: machines of one kind are about alike.
    pub kind: u32,
}

/// What an update of the endpoint list holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last held before a restart, perhaps old.
    Cached,
    /// Changed entries only, by an order of this router's operators: it says nothing of whether the list is heard.
    Override,
    /// A poll has failed, or the watch has ended. No entries.
    Failed,
    /// The answer to a poll has begun and stops in its middle: unlike one that is refused, it shows that the service has
    /// room. No entries.
    Truncated,
}
