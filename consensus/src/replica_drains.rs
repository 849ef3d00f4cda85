//! Model nodes that operators take out: how far each has come, and how many may be out at once. What fails, is cold,
//! leaving or taken out all counts; a node counts only while it is listed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tallypin_membership::RouterIndex;

/// Model nodes that may be out by order, or are to come back, at once. DrainLimits the document.
pub const MAX_REPLICA_DRAINS: usize = 128;
/// The longest id of a model node that is taken, bytes.
pub const MAX_REPLICA_ID_BYTES: usize = 128;
/// How long a node that was put back is remembered, ms: beyond any time for which one is cold, so that a router that
/// starts meanwhile takes it for cold as well.
pub const RESTORED_RETENTION_MS: u64 = 600_000;

/// Unix time, ms: what routers tell each other of times. Clocks that differ by seconds make a node cold for seconds less
/// or more, and end a stated time out by as much sooner or later.
pub type UnixMs = u64;

/// How far a model node has come on its way out and back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaStage {
    /// It is to go out when there is room.
    #[serde(rename = "wanted")]
    Requested,
    /// Nothing new is sent there, since this version of the document.
    #[serde(rename = "out")]
    OutOfService(u64),
    /// It was put back then, and is cold.
    #[serde(rename = "back")]
    Restored(UnixMs),
}

/// A model node's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// How far it has come.
    pub stage: ReplicaStage,
    /// The order that it goes by.
    pub order: String,
    /// When it is put back without an order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until: Option<UnixMs>,
}

/// How many, as a number or a share of those there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// So many.
    Count(usize),
    /// So many of 100, rounded down: 10% of 5 is none.
    Percent(usize),
}

impl Limit {
    /// How many of so many.
    pub fn of(self, all: usize) -> usize {
        match self {
            Limit::Count(n) => n,
            Limit::Percent(share) => all * share / 100,
        }
    }
}

/// How many model nodes may be out at once; `None`: none may by order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLimits {
    /// In all.
    pub total: Limit,
    /// In a zone.
    pub per_zone: Limit,
    /// Of a kind.
    pub per_kind: Limit,
}

/// A listed model node as a router sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// It takes no work, is excluded for its failures, or cold.
    #[serde(rename = "out")]
    pub out_of_service: bool,
}

/// Why a model node may not go out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaLimitExceeded {
    /// Of which it would be one too many: of all, of a zone, of a kind.
    #[serde(rename = "of")]
    pub group: String,
    /// How many may be out.
    #[serde(rename = "most")]
    pub limit: usize,
    /// How many there are.
    #[serde(rename = "all")]
    pub total: usize,
    /// Those that are out.
    #[serde(rename = "out")]
    pub out_of_service: Vec<String>,
}

/// The nodes of a document.
pub type ReplicaEntries = BTreeMap<String, ReplicaEntry>;

/// Whether one more may go out, by what is listed and by what is out by order.
pub fn check_limits(
    node: &str,
    entries: &ReplicaEntries,
    bounds: &ReplicaLimits,
    seen: &BTreeMap<String, ReplicaView>,
) -> Result<(), ReplicaLimitExceeded> {
    let Some(this) = seen.get(node) else {
        return Err(ReplicaLimitExceeded {
            group: "the list, which does not have it".into(),
            limit: 0,
            total: 0,
            out_of_service: vec![],
        });
    };
    let ordered =
        |id: &str| entries.get(id).is_some_and(|e| matches!(e.stage, ReplicaStage::OutOfService(_)));
    let of = |what: String, most: Limit, like: &dyn Fn(&ReplicaView) -> bool| {
        let alike = seen.iter().filter(|(_, s)| like(s));
        let out = alike.clone().filter(|(id, s)| id.as_str() != node && (s.out_of_service || ordered(id)));
        let out: Vec<String> = out.map(|(id, _)| id.clone()).collect();
        let all = alike.count();
        match out.len() < most.of(all) {
            true => Ok(()),
            false => Err(ReplicaLimitExceeded {
                group: what,
                limit: most.of(all),
                total: all,
                out_of_service: out,
            }),
        }
    };
    of("all".into(), bounds.total, &|_| true)?;
    of(format!("zone {}", this.zone), bounds.per_zone, &|s| s.zone == this.zone)?;
    of(format!("kind {}", this.kind), bounds.per_kind, &|s| s.kind == this.kind)
}

/// What one router says of the nodes that are out by order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AppliedState {
    /// The version of the document that it goes by.
    pub version: u64,
    /// Nodes out by it where it has requests open.
    #[serde(rename = "open")]
    pub in_flight: Vec<String>,
}

/// Who keeps a node that went out with `since` from being clear: those that have not said that they go by that version and
/// have nothing open. By router: what it said last in its present life, and whether it is known to be gone.
pub fn routers_not_clear(node: &str, since: u64, said: &[(Option<&AppliedState>, bool)]) -> Vec<RouterIndex> {
    let holds = |(said, gone): &(Option<&AppliedState>, bool)| {
        !gone && said.is_none_or(|f| f.version < since || f.in_flight.iter().any(|id| id == node))
    };
    (0..).zip(said).filter(|(_, s)| holds(s)).map(|(place, _)| place).collect()
}

#[cfg(test)]
mod tests;
