//! The commands that change the fleet state, in their JSON form on the wire.
//!
//! Names in `serde` attributes are those of the wire and must not change: routers of several versions take part in one
//! fleet.

use serde::{Deserialize, Serialize};
use tallypin_membership::{Incarnation, RouterIndex};

use super::{Rejection, MAX_TEXT_BYTES};
use crate::json_array::json_array;
use crate::register::CouncilMember;
use crate::release::ReleasePlan;
use crate::replica_drains::UnixMs;

/// A requested change of the fleet state.
///
/// Operators' orders carry an id and are executed at most once, however often they are sent. The other commands are sent by
/// routers about themselves, and by members of the council on behalf of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Command {
    /// Changes nothing. A round with this command returns the agreed state.
    #[serde(rename = "look")]
    Read,
    /// Changes nothing in the fleet state. A restarted member of the council joins with its new incarnation.
    #[serde(rename = "join")]
    JoinCouncil(CouncilMember),
    /// Sent by an operator: drain these routers.
    Drain {
        /// Id of the order.
        order: String,
        /// The routers to drain.
        routers: Vec<RouterIndex>,
    },
    /// Sent by an operator: return these routers to service.
    #[serde(rename = "putback")]
    Restore {
        /// Id of the order.
        order: String,
        /// The routers to return to service.
        routers: Vec<RouterIndex>,
    },
    /// Sent by an operator: no drain may begin until `Resume`.
    Halt {
        /// Id of the order.
        order: String,
        /// Cause of the halt, reported with each command that it rejects.
        cause: String,
    },
    /// Sent by an operator: drains may begin again.
    Resume {
        /// Id of the order.
        order: String,
    },
    /// Sent by an operator: take these replicas out of service.
    #[serde(rename = "takeout")]
    DrainReplicas {
        /// Id of the order.
        order: String,
        /// Ids of the replicas.
        #[serde(rename = "nodes")]
        replicas: Vec<String>,
        /// Time at which the replicas return to service without another order; `None` if they never do.
        until: Option<UnixMs>,
    },
    /// Sent by an operator: return these replicas to service.
    #[serde(rename = "putbacknodes")]
    RestoreReplicas {
        /// Id of the order.
        order: String,
        /// Ids of the replicas.
        #[serde(rename = "nodes")]
        replicas: Vec<String>,
    },
    /// Sent by a council member: the replica leaves service if the limits allow it, or returns to service at the end of its
    /// period.
    #[serde(rename = "node")]
    AdvanceReplica(String),
    /// Sent by an operator: release a file, wave by wave.
    #[serde(rename = "release")]
    BeginRelease(ReleaseOrder),
    /// Sent by an operator: roll back the release.
    #[serde(rename = "undo")]
    RollBack {
        /// Id of the order.
        order: String,
        /// Cause of the roll-back, reported with the release.
        cause: String,
    },
    /// Sent by a council member: all routers of this wave are back and its checks pass, so the next wave begins.
    #[serde(rename = "wave")]
    CompleteWave(usize),
    /// Sent by a council member: a check of this wave has failed.
    #[serde(rename = "fail")]
    FailWave(WaveFailure),
    /// Sent by a router: it already runs the released file and need not drain.
    #[serde(rename = "has")]
    ReportUpToDate(RouterIndex),
    /// Sent by a router: it can't run the released file.
    #[serde(rename = "unfit")]
    ReportUnfit(UnfitReport),
    /// Sent by a router: it has restarted in this incarnation without running the released file.
    #[serde(rename = "again")]
    RetryRelease(RouterIncarnation),
    /// Sent by a router: it requests the drain lease for a release.
    #[serde(rename = "leavefrom")]
    AcquireReleaseLease(ReleaseLeaseRequest),
    /// Sent by a router: it requests the drain lease.
    #[serde(rename = "leave")]
    AcquireLease(RouterIncarnation),
    /// Sent by a router: it has begun to drain under its lease.
    #[serde(rename = "going")]
    UseLease(RouterIncarnation),
    /// Sent by a router: it has not used its lease before the expiry.
    #[serde(rename = "giveup")]
    ReturnLease(RouterIncarnation),
    /// Sent by a router: it was out of service and serves again.
    #[serde(rename = "serves")]
    ReportServing(RouterIncarnation),
}

/// An operator's order to release a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseOrder {
    /// Id of the order.
    pub order: String,
    /// The name of the file of each router that is replaced.
    #[serde(rename = "what")]
    pub artifact: String,
    /// The digest of the released file.
    pub digest: String,
    /// The routers of each wave.
    pub waves: Vec<Vec<RouterIndex>>,
    /// The checks that each wave must pass.
    pub plan: ReleasePlan,
}

/// A router in one of its incarnations. On the wire, a JSON array of its two fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(RouterIndex, Incarnation)", into = "(RouterIndex, Incarnation)")]
pub struct RouterIncarnation {
    /// The router.
    pub router: RouterIndex,
    /// The router's incarnation.
    pub incarnation: Incarnation,
}

json_array!(RouterIncarnation { router: RouterIndex, incarnation: Incarnation });

/// A router's request for the drain lease in a release. On the wire, a JSON array of its three fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(RouterIndex, Incarnation, String)", into = "(RouterIndex, Incarnation, String)")]
pub struct ReleaseLeaseRequest {
    /// The router that requests the lease.
    pub router: RouterIndex,
    /// The router's incarnation.
    pub incarnation: Incarnation,
    /// The digest of the file that the router runs now, which a roll-back restores.
    pub running_digest: String,
}

json_array!(ReleaseLeaseRequest { router: RouterIndex, incarnation: Incarnation, running_digest: String });

/// A failed check of a release. On the wire, a JSON array of its two fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, String)", into = "(usize, String)")]
pub struct WaveFailure {
    /// The wave, from 0.
    pub wave: usize,
    /// Description of the failed check. The fleet state stores up to [`super::MAX_CAUSE_CHARS`] characters of it.
    pub cause: String,
}

json_array!(WaveFailure { wave: usize, cause: String });

/// A router's report that it can't run the released file. On the wire, a JSON array of its two fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(RouterIndex, String)", into = "(RouterIndex, String)")]
pub struct UnfitReport {
    /// The router.
    pub router: RouterIndex,
    /// Why the router can't run the file.
    pub cause: String,
}

json_array!(UnfitReport { router: RouterIndex, cause: String });

impl Command {
    /// Whether the command is an operator's order. Orders precede routers' requests: a halt must not wait for a lease.
    pub fn is_operator_order(&self) -> bool {
        self.order_id().is_some()
    }

    /// Returns the id of an operator's order; `None` for other commands.
    pub(super) fn order_id(&self) -> Option<&str> {
        match self {
            Command::Drain { order, .. }
            | Command::Restore { order, .. }
            | Command::Halt { order, .. }
            | Command::Resume { order }
            | Command::DrainReplicas { order, .. }
            | Command::RestoreReplicas { order, .. }
            | Command::RollBack { order, .. } => Some(order),
            Command::BeginRelease(release) => Some(&release.order),
            _ => None,
        }
    }

    /// Checks the lengths of the operator's texts that the fleet state stores.
    pub(super) fn check_texts(&self) -> Result<(), Rejection> {
        let texts = match self {
            Command::Halt { cause, .. } | Command::RollBack { cause, .. } => vec![cause],
            Command::BeginRelease(release) => vec![&release.artifact, &release.digest],
            _ => vec![],
        };
        let mut texts = self.order_id().into_iter().chain(texts.into_iter().map(String::as_str));
        match texts.all(|text| (1..=MAX_TEXT_BYTES).contains(&text.len())) {
            true => Ok(()),
            false => Err(Rejection::InvalidText),
        }
    }
}
