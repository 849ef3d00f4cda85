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
    /// Changes nothing: a round with this command returns the agreed state.
    #[serde(rename = "look")]
    Read,
    /// Changes nothing in the fleet state: a restarted member of the council joins with its new incarnation.
    #[serde(rename = "join")]
    JoinCouncil(CouncilMember),
    /// Operator: drain these routers.
    Drain {
        /// The order's id.
        order: String,
        /// The routers.
        routers: Vec<RouterIndex>,
    },
    /// Operator: return these routers to service.
    #[serde(rename = "putback")]
    Restore {
        /// The order's id.
        order: String,
        /// The routers.
        routers: Vec<RouterIndex>,
    },
    /// Operator: no drain may begin until `Resume`.
    Halt {
        /// The order's id.
        order: String,
        /// Cause of the halt, reported with each command that it rejects.
        cause: String,
    },
    /// Operator: drains may begin again.
    Resume {
        /// The order's id.
        order: String,
    },
    /// Operator: take these replicas out of service.
    #[serde(rename = "takeout")]
    DrainReplicas {
        /// The order's id.
        order: String,
        /// The replicas' ids.
        #[serde(rename = "nodes")]
        replicas: Vec<String>,
        /// When the replicas return to service without another order; `None` means never.
        until: Option<UnixMs>,
    },
    /// Operator: return these replicas to service.
    #[serde(rename = "putbacknodes")]
    RestoreReplicas {
        /// The order's id.
        order: String,
        /// The replicas' ids.
        #[serde(rename = "nodes")]
        replicas: Vec<String>,
    },
    /// Council: the replica leaves service if the limits allow it, or returns to service at the end of its period.
    #[serde(rename = "node")]
    AdvanceReplica(String),
    /// Operator: release a file, wave by wave.
    #[serde(rename = "release")]
    BeginRelease(ReleaseOrder),
    /// Operator: roll back the release.
    #[serde(rename = "undo")]
    RollBack {
        /// The order's id.
        order: String,
        /// Cause of the roll-back, reported with the release.
        cause: String,
    },
    /// Council: all routers of this wave are back and its checks pass, so the next wave begins.
    #[serde(rename = "wave")]
    CompleteWave(usize),
    /// Council: a check of this wave has failed.
    #[serde(rename = "fail")]
    FailWave(WaveFailure),
    /// Router: the sender already runs the released file and need not drain.
    #[serde(rename = "has")]
    ReportUpToDate(RouterIndex),
    /// Router: the sender can't run the released file.
    #[serde(rename = "unfit")]
    ReportUnfit(UnfitReport),
    /// Router: the sender has restarted in this incarnation without running the released file.
    #[serde(rename = "again")]
    RetryRelease(RouterIncarnation),
    /// Router: the sender requests the drain lease for a release.
    #[serde(rename = "leavefrom")]
    AcquireReleaseLease(ReleaseLeaseRequest),
    /// Router: the sender requests the drain lease.
    #[serde(rename = "leave")]
    AcquireLease(RouterIncarnation),
    /// Router: the sender has begun to drain under its lease.
    #[serde(rename = "going")]
    UseLease(RouterIncarnation),
    /// Router: the sender has not used its lease before the expiry.
    #[serde(rename = "giveup")]
    ReturnLease(RouterIncarnation),
    /// Router: the sender was out of service and serves again.
    #[serde(rename = "serves")]
    ReportServing(RouterIncarnation),
}

/// An operator's order to release a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseOrder {
    /// The order's id.
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

/// A router in one of its incarnations; a JSON array of the two on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(RouterIndex, Incarnation)", into = "(RouterIndex, Incarnation)")]
pub struct RouterIncarnation {
    /// The router.
    pub router: RouterIndex,
    /// The router's incarnation.
    pub incarnation: Incarnation,
}

json_array!(RouterIncarnation { router: RouterIndex, incarnation: Incarnation });

/// A router's request for the drain lease in a release; a JSON array of the three on the wire.
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

/// A failed check of a release; a JSON array of the two on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, String)", into = "(usize, String)")]
pub struct WaveFailure {
    /// The wave, from 0.
    pub wave: usize,
    /// The failed check. The fleet state stores up to [`super::MAX_CAUSE_CHARS`] characters of it.
    pub cause: String,
}

json_array!(WaveFailure { wave: usize, cause: String });

/// A router's report that it can't run the released file; a JSON array of the two on the wire.
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
