//! Model nodes that operators take out: how far each has come, and how many may be out at once. What fails, is cold,
//! leaving or taken out all counts; a node counts only while it is listed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tallypin_membership::Place;

/// Model nodes that may be out by order, or are to come back, at once. Bounds the document.
pub const MOST_NODES: usize = 128;
/// The longest id of a model node that is taken, bytes.
pub const LONGEST_NODE: usize = 128;
/// How long a node that was put back is remembered, ms: beyond any time for which one is cold, so that a router that
/// starts meanwhile takes it for cold as well.
pub const REMEMBERED_MS: u64 = 600_000;

/// Unix time, ms: what routers tell each other of times. Clocks that differ by seconds make a node cold for seconds less
/// or more, and end a stated time out by as much sooner or later.
pub type UnixMs = u64;

/// How far a model node has come on its way out and back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeStage {
    /// It is to go out when there is room.
    Wanted,
    /// Nothing new is sent there, since this version of the document.
    Out(u64),
    /// It was put back then, and is cold.
    Back(UnixMs),
}

/// A model node's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// How far it has come.
    pub stage: NodeStage,
    /// The order that it goes by.
    pub order: String,
    /// When it is put back without an order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until: Option<UnixMs>,
}

/// How many, as a number or a share of those there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Most {
    /// So many.
    Number(usize),
    /// So many of 100, rounded down: 10% of 5 is none.
    Share(usize),
}

impl Most {
    /// How many of so many.
    pub fn of(self, all: usize) -> usize {
        match self {
            Most::Number(n) => n,
            Most::Share(share) => all * share / 100,
        }
    }
}

/// How many model nodes may be out at once; `None`: none may by order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeBounds {
    /// In all.
    pub all: Most,
    /// In a zone.
    pub zone: Most,
    /// Of a kind.
    pub kind: Most,
}

/// A listed model node as a router sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSeen {
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// It takes no work, is excluded for its failures, or cold.
    pub out: bool,
}

/// Why a model node may not go out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodesFull {
    /// Of which it would be one too many: of all, of a zone, of a kind.
    pub of: String,
    /// How many may be out.
    pub most: usize,
    /// How many there are.
    pub all: usize,
    /// Those that are out.
    pub out: Vec<String>,
}

/// The nodes of a document.
pub type Entries = BTreeMap<String, NodeEntry>;

/// Whether one more may go out, by what is listed and by what is out by order.
pub fn room(
    node: &str,
    entries: &Entries,
    bounds: &NodeBounds,
    seen: &BTreeMap<String, NodeSeen>,
) -> Result<(), NodesFull> {
    let Some(this) = seen.get(node) else {
        return Err(NodesFull {
            of: "the list, which does not have it".into(),
            most: 0,
            all: 0,
            out: vec![],
        });
    };
    let ordered = |id: &str| entries.get(id).is_some_and(|e| matches!(e.stage, NodeStage::Out(_)));
    let of = |what: String, most: Most, like: &dyn Fn(&NodeSeen) -> bool| {
        let alike = seen.iter().filter(|(_, s)| like(s));
        let out = alike.clone().filter(|(id, s)| id.as_str() != node && (s.out || ordered(id)));
        let out: Vec<String> = out.map(|(id, _)| id.clone()).collect();
        let all = alike.count();
        match out.len() < most.of(all) {
            true => Ok(()),
            false => Err(NodesFull { of: what, most: most.of(all), all, out }),
        }
    };
    of("all".into(), bounds.all, &|_| true)?;
    of(format!("zone {}", this.zone), bounds.zone, &|s| s.zone == this.zone)?;
    of(format!("kind {}", this.kind), bounds.kind, &|s| s.kind == this.kind)
}

/// What one router says of the nodes that are out by order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Follows {
    /// The version of the document that it goes by.
    pub version: u64,
    /// Nodes out by it where it has requests open.
    pub open: Vec<String>,
}

/// Who keeps a node that went out with `since` from being clear: those that have not said that they go by that version and
/// have nothing open. By router: what it said last in its present life, and whether it is known to be gone.
pub fn unclear(node: &str, since: u64, said: &[(Option<&Follows>, bool)]) -> Vec<Place> {
    let holds = |(said, gone): &(Option<&Follows>, bool)| {
        !gone && said.is_none_or(|f| f.version < since || f.open.iter().any(|id| id == node))
    };
    (0..).zip(said).filter(|(_, s)| holds(s)).map(|(place, _)| place).collect()
}

#[cfg(test)]
mod tests;
