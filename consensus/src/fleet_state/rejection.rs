//! The causes for which commands are rejected.

use serde::{Deserialize, Serialize};
use tallypin_membership::RouterIndex;

use super::MAX_TEXT_BYTES;
use crate::json_array::json_array;
use crate::release::MAX_WAVES;
use crate::replica_drains::{ReplicaLimitExceeded, MAX_REPLICA_DRAINS};

/// Why a command is rejected. The text becomes the `why` in the answer to an operator's order.
///
/// Serialized names are those of the wire, as in [`super::Command`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// Drains are halted, for the given cause.
    #[error("halted: {0}")]
    Halted(String),
    /// The maximum number of routers out of service in the fleet, which is given, is reached.
    #[serde(rename = "full")]
    #[error("the limit of {0} routers that may be out at once is reached")]
    FleetLimitReached(usize),
    /// The maximum number of routers out of service in a zone, which is given, is reached.
    #[serde(rename = "zone-full")]
    #[error("the limit of {0} routers of a zone that may be out at once is reached")]
    ZoneLimitReached(usize),
    /// The maximum number of council members out of service, which is given, is reached.
    #[serde(rename = "council-full")]
    #[error("the limit of {0} council members that may be out at once is reached")]
    CouncilLimitReached(usize),
    /// Too few members of the council have listened for long enough to know which routers are silent.
    #[serde(rename = "unseen")]
    #[error("too few members of the council know yet which routers are out of service")]
    ViewIncomplete,
    /// The fleet has no router of this index.
    #[serde(rename = "unknown")]
    #[error("no router {0} in this fleet")]
    UnknownRouter(RouterIndex),
    /// The command matches no entry, or one of another incarnation or stage.
    #[serde(rename = "nothing")]
    #[error("the command does not apply to the current fleet state")]
    NothingToChange,
    /// An id or a cause is empty, or longer than [`MAX_TEXT_BYTES`].
    #[serde(rename = "words")]
    #[error("ids and causes must have 1 to {MAX_TEXT_BYTES} bytes")]
    InvalidText,
    /// A limit of replicas is reached.
    #[serde(rename = "nodes-full")]
    #[error(transparent)]
    ReplicaLimitReached(ReplicaLimitExceeded),
    /// The settings allow no replica to leave service by order.
    #[serde(rename = "no-nodes")]
    #[error("the settings allow no drain of model nodes by order: `nodes-out-most` is not set")]
    ReplicaOrdersDisabled,
    /// The router that proposes has no recent endpoint list.
    #[serde(rename = "no-list")]
    #[error("this router has no recent node list")]
    EndpointListStale,
    /// The endpoint list has no replica of this id, or no order has taken the replica out of service.
    #[serde(rename = "unknown-node")]
    #[error("model node `{0}` is neither in the node list nor out of service by order")]
    UnknownReplica(String),
    /// The fleet state would have more than [`MAX_REPLICA_DRAINS`] replica entries.
    #[serde(rename = "too-many")]
    #[error("at most {MAX_REPLICA_DRAINS} model nodes may be out of service by order")]
    TooManyReplicas,
    /// The release of this order is in progress.
    #[serde(rename = "busy")]
    #[error("release {0} is ongoing")]
    ReleaseInProgress(String),
    /// A router is out of service, or about to leave service, by another order.
    #[serde(rename = "taken")]
    #[error("router {} is out of service, or about to leave service, by order {}", .0.router, .0.order)]
    ConflictingOrder(ConflictingDrain),
    /// The waves name a router twice, one of them is empty, or there is none or more than [`MAX_WAVES`].
    #[serde(rename = "waves")]
    #[error("a release must have 1 to {MAX_WAVES} waves, none of them empty, and each router once")]
    InvalidWaves,
    /// A majority of the council has not yet seen the router serve.
    #[serde(rename = "not-seen")]
    #[error("a majority of the council has not seen the router serve yet")]
    NotSeenServing,
}

/// A router that is drained by another order. On the wire, a JSON array of its two fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct ConflictingDrain {
    /// The router's name.
    pub router: String,
    /// The order's id.
    pub order: String,
}

json_array!(ConflictingDrain { router: String, order: String });
