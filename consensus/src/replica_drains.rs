//! Replicas that operators take out of service: the stage of each drain, the limits, and when a replica has no requests
//! left.
//!
//! The documentation and the wire call a replica a "model node". A replica counts towards a limit only while it is listed.

mod clearing;
mod limits;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use clearing::{routers_still_using, AppliedState, ReplicaUse};
pub(crate) use limits::check_limits;
pub use limits::{Limit, ReplicaLimitExceeded, ReplicaLimits, ReplicaView};

/// Maximum number of replica entries in the fleet state, in any stage. It bounds the size of the state.
pub const MAX_REPLICA_DRAINS: usize = 128;
/// Maximum length of a replica's id in an order, in bytes.
pub(crate) const MAX_REPLICA_ID_BYTES: usize = 128;
/// Time for which a restored replica stays in the fleet state, in ms. It exceeds any slow start, so that a router that
/// starts in the meantime applies the slow start as well.
pub(crate) const RESTORED_RETENTION_MS: u64 = 600_000;

/// Unix time in ms, used for points in time in messages between routers. A clock difference of some seconds changes the
/// length of a slow start, and the end of an ordered period, by the same amount.
pub type UnixMs = u64;

/// The stage of a replica's drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaStage {
    /// The replica is to leave service as soon as the limits allow it.
    #[serde(rename = "wanted")]
    Requested,
    /// The replica receives no new requests since this version of the fleet state.
    #[serde(rename = "out")]
    OutOfService(u64),
    /// The replica was returned to service at this time, with a slow start.
    #[serde(rename = "back")]
    Restored(UnixMs),
}

/// The drain of one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// The stage of the drain.
    pub stage: ReplicaStage,
    /// Id of the order that requested the drain.
    pub order: String,
    /// Time at which the replica returns to service without another order; `None` if it never does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until: Option<UnixMs>,
}

/// The replicas of a fleet state, by id.
pub type ReplicaEntries = BTreeMap<String, ReplicaEntry>;

#[cfg(test)]
mod tests;
