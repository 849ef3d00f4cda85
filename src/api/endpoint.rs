//! The endpoint list: its entries, what changes them, and how changes come.

use super::ids::{Nanos, ReplicaId, ZoneId, SECOND};

/// The longest backoff before the next poll of the endpoint list: half of the 6 s after which a router counts
/// as notified. The other half is for a poll that was under way when the list came back, and for the answer.
pub const MAX_LIST_POLL_DELAY: Nanos = 3 * SECOND;

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
    /// A poll has failed, or the watch has ended. No entries.
    Failed,
}
