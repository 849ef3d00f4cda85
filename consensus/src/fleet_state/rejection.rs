//! Why a command is rejected.

use serde::{Deserialize, Serialize};
use tallypin_membership::RouterIndex;

use super::MAX_TEXT_BYTES;
use crate::json_array::json_array;
use crate::release::MAX_WAVES;
use crate::replica_drains::{ReplicaLimitExceeded, MAX_REPLICA_DRAINS};

/// Why a command is rejected. Its text is the `why` in the answer to an operator's order.
///
/// Serialized names are those of the wire, as with [`super::Command`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// Drains are halted, for this cause.
    #[error("halted: {0}")]
    Halted(String),
    /// The limit of the fleet, this many routers, is reached.
    #[serde(rename = "full")]
    #[error("{0} may be out at once, and as many are")]
    FleetLimitReached(usize),
    /// The limit of the router's zone, this many routers, is reached.
    #[serde(rename = "zone-full")]
    #[error("{0} of a zone may be out at once, and as many are")]
    ZoneLimitReached(usize),
    /// The limit of the council, this many members, is reached.
    #[serde(rename = "council-full")]
    #[error("{0} of the council may be out at once, and as many are")]
    CouncilLimitReached(usize),
    /// Too few members of the council have listened for long enough to know which routers are silent.
    #[serde(rename = "unseen")]
    #[error("too few of the council know yet who is out")]
    ViewIncomplete,
    /// The fleet has no router of this index.
    #[serde(rename = "unknown")]
    #[error("no router {0} in this fleet")]
    UnknownRouter(RouterIndex),
    /// Nothing matches the command: no entry, or one of another incarnation or stage.
    #[serde(rename = "nothing")]
    #[error("there is nothing to change")]
    NothingToChange,
    /// An id or a cause is empty, or longer than [`MAX_TEXT_BYTES`].
    #[serde(rename = "words")]
    #[error("an id or a cause has 1 to {MAX_TEXT_BYTES} bytes")]
    InvalidText,
    /// A limit of replicas is reached.
    #[serde(rename = "nodes-full")]
    #[error(transparent)]
    ReplicaLimitReached(ReplicaLimitExceeded),
    /// The settings allow no replica to leave service by order.
    #[serde(rename = "no-nodes")]
    #[error("the settings let no model node out by order: `nodes-out-most` is not set")]
    ReplicaOrdersDisabled,
    /// The router that proposes has no recent endpoint list.
    #[serde(rename = "no-list")]
    #[error("this router has not heard the node list of late")]
    EndpointListStale,
    /// The endpoint list has no such replica, or no order holds it.
    #[serde(rename = "unknown-node")]
    #[error("no model node `{0}` is listed, or out by order")]
    UnknownReplica(String),
    /// More replicas than [`MAX_REPLICA_DRAINS`].
    #[serde(rename = "too-many")]
    #[error("more than {MAX_REPLICA_DRAINS} model nodes")]
    TooManyReplicas,
    /// The release of this order is in progress.
    #[serde(rename = "busy")]
    #[error("release {0} is on")]
    ReleaseInProgress(String),
    /// A router is out of service, or about to be, by another order.
    #[serde(rename = "taken")]
    #[error("{} is out, or to go, by order {}", .0.router, .0.order)]
    HeldByOtherOrder(HeldRouter),
    /// The waves name a router twice, or there is none, an empty one or more than [`MAX_WAVES`].
    #[serde(rename = "waves")]
    #[error("a release has 1 to {MAX_WAVES} waves, none empty, each router once")]
    InvalidWaves,
    /// A majority of the council has not yet seen the router serve.
    #[serde(rename = "not-seen")]
    #[error("a majority of the council has not seen it serve yet")]
    NotSeenServing,
}

/// A router that another order holds; a JSON array of the two on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct HeldRouter {
    /// The router's name.
    pub router: String,
    /// The order's id.
    pub order: String,
}

json_array!(HeldRouter { router: String, order: String });
