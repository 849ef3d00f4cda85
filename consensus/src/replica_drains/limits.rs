//! Limits on the number of replicas out of service at once.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::{ReplicaEntries, ReplicaStage};

/// A maximum, as a number or as a percentage of the listed replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// A number of replicas.
    Count(usize),
    /// A percentage, rounded down: 10 % of 5 replicas is none.
    Percent(usize),
}

impl Limit {
    /// Returns the limit as a number of replicas, given the number of replicas in the group.
    pub fn of(self, total: usize) -> usize {
        match self {
            Limit::Count(count) => count,
            Limit::Percent(percent) => total * percent / 100,
        }
    }
}

/// Maximum number of replicas out of service at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLimits {
    /// Limit among all listed replicas.
    pub total: Limit,
    /// Limit among the replicas of any one zone.
    pub per_zone: Limit,
    /// Limit among the replicas of any one kind of machine.
    pub per_kind: Limit,
}

/// A listed replica, as the proposing router sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// The replica's zone.
    pub zone: String,
    /// The replica's kind of machine.
    pub kind: String,
    /// Whether the replica counts as out of service for a reason other than an order: it drains, is ejected as an outlier, or
    /// warms up.
    #[serde(rename = "out")]
    pub out_of_service: bool,
}

/// A replica may not leave service, because too many of its group would be out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaLimitExceeded {
    /// Name of the group whose limit is reached: all replicas, a zone or a kind. For a replica that is not listed, the text
    /// names the list instead.
    #[serde(rename = "of")]
    pub group: String,
    /// Maximum number of replicas of the group that may be out of service.
    #[serde(rename = "most")]
    pub limit: usize,
    /// Number of replicas in the group.
    #[serde(rename = "all")]
    pub total: usize,
    /// Ids of the replicas of the group that are out of service.
    #[serde(rename = "out")]
    pub out_of_service: Vec<String>,
}

impl fmt::Display for ReplicaLimitExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ReplicaLimitExceeded { group, limit, total, out_of_service } = self;
        write!(f, "{limit} of {total} model nodes of {group} may be out at once; ")?;
        match out_of_service.is_empty() {
            true => f.write_str("none of them may leave"),
            false => write!(f, "currently out: {}", out_of_service.join(", ")),
        }
    }
}

impl std::error::Error for ReplicaLimitExceeded {}

/// Checks that another replica may leave service, given those that are out of service by order or for another reason.
///
/// # Errors
///
/// Returns the first limit that the replica would exceed (total, zone, kind), or that the replica is not listed.
pub(crate) fn check_limits(
    replica: &str,
    entries: &ReplicaEntries,
    limits: &ReplicaLimits,
    listed: &BTreeMap<String, ReplicaView>,
) -> Result<(), ReplicaLimitExceeded> {
    let Some(this) = listed.get(replica) else {
        let group = "the list, which does not have it".into();
        return Err(ReplicaLimitExceeded { group, limit: 0, total: 0, out_of_service: vec![] });
    };
    let is_ordered_out =
        |id: &str| entries.get(id).is_some_and(|entry| matches!(entry.stage, ReplicaStage::OutOfService(_)));
    let check = |group: String, limit: Limit, contains: &dyn Fn(&ReplicaView) -> bool| {
        let members = listed.iter().filter(|(_, view)| contains(view));
        let out = members
            .clone()
            .filter(|(id, view)| id.as_str() != replica && (view.out_of_service || is_ordered_out(id)));
        let out_of_service: Vec<String> = out.map(|(id, _)| id.clone()).collect();
        let total = members.count();
        let limit = limit.of(total);
        match out_of_service.len() < limit {
            true => Ok(()),
            false => Err(ReplicaLimitExceeded { group, limit, total, out_of_service }),
        }
    };
    check("all".into(), limits.total, &|_| true)?;
    check(format!("zone {}", this.zone), limits.per_zone, &|view| view.zone == this.zone)?;
    check(format!("kind {}", this.kind), limits.per_kind, &|view| view.kind == this.kind)
}
