//! Replicas that operators take out of service: how far each has come, how many may be out at once, and when one is free
//! of requests.
//!
//! The pages and the wire call a replica a "model node". A replica counts towards a limit only while it is listed.

mod clearing;
mod limits;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use clearing::{routers_not_clear, AppliedState, ReplicaUse};
pub(crate) use limits::check_limits;
pub use limits::{Limit, ReplicaLimitExceeded, ReplicaLimits, ReplicaView};

/// How many replicas may be out by order, or be about to leave or to return, at once. Bounds the fleet state.
pub const MAX_REPLICA_DRAINS: usize = 128;
/// The longest id of a replica that an order may name, in bytes.
pub(crate) const MAX_REPLICA_ID_BYTES: usize = 128;
/// How long a replica that was put back stays in the fleet state, in ms: longer than any slow start, so that a router that
/// starts meanwhile warms it up as well.
pub(crate) const RESTORED_RETENTION_MS: u64 = 600_000;

/// Unix time in ms, in which routers tell each other points in time. Clocks that differ by seconds make a slow start last
/// seconds less or more, and end a stated period by as much sooner or later.
pub type UnixMs = u64;

/// How far a replica has come on its way out of service and back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaStage {
    /// It is to leave service as soon as the limits allow it.
    #[serde(rename = "wanted")]
    Requested,
    /// It receives no new request, since this version of the fleet state.
    #[serde(rename = "out")]
    OutOfService(u64),
    /// It was put back at this time, and warms up.
    #[serde(rename = "back")]
    Restored(UnixMs),
}

/// The drain of one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// How far it has come.
    pub stage: ReplicaStage,
    /// The id of the order that it follows.
    pub order: String,
    /// When it returns to service without another order; `None`: never.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until: Option<UnixMs>,
}

/// The replicas of a fleet state, by id.
pub type ReplicaEntries = BTreeMap<String, ReplicaEntry>;

#[cfg(test)]
mod tests;
