//! What the routers agree on: which of them are out of service by order, and whether anything may begin to go out.
//! Every change is decided here, where it commits, against what a majority of the council has heard of each router.
//!
//! Invariants, each tested in `tests/net.rs` or below:
//!
//! 1. A leave is granted only if with it no more routers are out than the bounds allow, in all and in the router's zone,
//!    counting those that are out by order and those that a majority of the council does not all hear.
//! 2. While it is halted no leave is granted.
//! 3. An order runs once, whoever sends it how often.
//! 4. What does not change the document changes nothing: a refusal leaves nothing half done.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};
use tallypin_members::Place;

/// Orders that are remembered, so that one that is sent again does not run again.
pub const MOST_ORDERS: usize = 64;
/// The longest id of an order, and the longest cause of a halt, bytes.
pub const LONGEST_WORD: usize = 64;

/// How far a router has come on its way out and back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// It is to go out when there is room.
    Wanted,
    /// It has leave to go, in this life, and has not said that it does.
    Leave(u64),
    /// It is out, or on its way, by this life's word.
    Out(u64),
    /// It is to come back, and counts as out until it has said that it serves.
    Back(u64),
}

/// A router's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// How far it has come.
    pub stage: Stage,
    /// The order that it goes by.
    pub order: String,
}

/// What is agreed on.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Document {
    /// One more with each change.
    pub version: u64,
    /// Why nothing may begin to go out; `None`: it may.
    pub halted: Option<String>,
    /// Routers that are out by order, or are to go. At most one entry each.
    pub entries: BTreeMap<Place, Entry>,
    /// The latest orders.
    pub orders: VecDeque<String>,
}

/// How many may be out at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// The zone of each router, by place.
    pub zones: Vec<u16>,
    /// In all.
    pub all: usize,
    /// In each zone.
    pub zone: usize,
}

/// What a majority of the council has heard.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct View {
    /// Members that answered and know who is silent.
    pub knowing: usize,
    /// As many are wanted: a majority.
    pub wanted: usize,
    /// Routers that any of them takes to be out.
    pub out: BTreeSet<Place>,
}

/// A change that is wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Act {
    /// None: to see what is agreed on.
    Look,
    /// An operator wants these to go out.
    Drain {
        /// The order's id.
        order: String,
        /// Which.
        routers: Vec<Place>,
    },
    /// An operator wants these back.
    PutBack {
        /// The order's id.
        order: String,
        /// Which.
        routers: Vec<Place>,
    },
    /// An operator wants nothing to begin.
    Halt {
        /// The order's id.
        order: String,
        /// Why.
        cause: String,
    },
    /// An operator lets it go on.
    Resume {
        /// The order's id.
        order: String,
    },
    /// A router asks for leave to go out.
    Leave(Place, u64),
    /// A router says that it has begun to go, by its leave.
    Going(Place, u64),
    /// A router has not used its leave, and will not.
    GiveUp(Place, u64),
    /// A router that was out serves again.
    Serves(Place, u64),
}

/// Why a change is not made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum No {
    /// It is halted, for this cause.
    Halted(String),
    /// As many are out as may be, in all.
    Full(usize),
    /// As many are out as may be in the router's zone.
    ZoneFull(usize),
    /// Too few members of the council know who is out.
    Unseen,
    /// No such router in the fleet.
    Unknown(Place),
    /// There is nothing to change: no entry, or of another life or stage.
    Nothing,
    /// An id or a cause that is empty or too long.
    Words,
}

impl fmt::Display for No {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            No::Halted(cause) => write!(f, "halted: {cause}"),
            No::Full(most) => write!(f, "{most} may be out at once, and as many are"),
            No::ZoneFull(most) => write!(f, "{most} of a zone may be out at once, and as many are"),
            No::Unseen => f.write_str("too few of the council know yet who is out"),
            No::Unknown(place) => write!(f, "no router {place} in this fleet"),
            No::Nothing => f.write_str("there is nothing to change"),
            No::Words => write!(f, "an id or a cause has 1 to {LONGEST_WORD} bytes"),
        }
    }
}

impl Document {
    /// The first: nobody remembers what was before, so nothing may begin until an operator says so.
    pub fn first() -> Document {
        let cause = "the council's memory begins anew".to_string();
        Document { halted: Some(cause), ..Document::default() }
    }

    /// Who counts as out: by order, or by what the council has heard.
    pub fn out(&self, view: &View) -> BTreeSet<Place> {
        let ordered = self.entries.iter().filter(|(_, e)| e.stage != Stage::Wanted).map(|(&place, _)| place);
        ordered.chain(view.out.iter().copied()).collect()
    }

    /// The document after a change, or why there is none. One that is there already gives the same document.
    pub fn changed(&self, act: &Act, bounds: &Bounds, view: &View) -> Result<Document, No> {
        let mut new = self.clone();
        let known = |place: Place| match usize::from(place) < bounds.zones.len() {
            true => Ok(()),
            false => Err(No::Unknown(place)),
        };
        match act {
            Act::Look => return Ok(new),
            Act::Drain { order, .. }
            | Act::PutBack { order, .. }
            | Act::Halt { order, .. }
            | Act::Resume { order } => {
                let fits = |word: &str| !word.is_empty() && word.len() <= LONGEST_WORD;
                if !fits(order) || matches!(act, Act::Halt { cause, .. } if !fits(cause)) {
                    return Err(No::Words);
                }
                // Sent again, by whomever: it has run.
                if self.orders.contains(order) {
                    return Ok(new);
                }
                new.orders.push_back(order.clone());
                if new.orders.len() > MOST_ORDERS {
                    new.orders.pop_front();
                }
            }
            _ => {}
        }
        match act {
            Act::Look => {}
            Act::Drain { order, routers } => {
                for &place in routers {
                    known(place)?;
                    let entry = new.entries.entry(place);
                    let wanted = Entry { stage: Stage::Wanted, order: order.clone() };
                    // One that is out stays so; one that was to come back goes out again by a leave of its own.
                    entry.or_insert(wanted);
                }
            }
            Act::PutBack { routers, .. } => {
                for &place in routers {
                    known(place)?;
                    match new.entries.get(&place).map(|e| e.stage) {
                        Some(Stage::Wanted) => drop(new.entries.remove(&place)),
                        Some(Stage::Leave(life) | Stage::Out(life)) => {
                            new.entries.get_mut(&place).into_iter().for_each(|e| e.stage = Stage::Back(life));
                        }
                        Some(Stage::Back(_)) | None => {}
                    }
                }
            }
            Act::Halt { cause, .. } => new.halted = Some(cause.clone()),
            Act::Resume { .. } => new.halted = None,
            Act::Leave(place, life) => {
                known(*place)?;
                let entry =
                    new.entries.get_mut(place).filter(|e| e.stage == Stage::Wanted).ok_or(No::Nothing)?;
                entry.stage = Stage::Leave(*life);
                self.room_for(*place, bounds, view)?;
            }
            Act::Going(place, life) => new.step(*place, Stage::Leave(*life), Some(Stage::Out(*life)))?,
            Act::GiveUp(place, life) => new.step(*place, Stage::Leave(*life), Some(Stage::Wanted))?,
            Act::Serves(place, life) => {
                // Its own word ends its entry: told to come back, or started anew since it went.
                let ends = |stage| match stage {
                    Stage::Back(_) => true,
                    Stage::Leave(of) | Stage::Out(of) => of != *life,
                    Stage::Wanted => false,
                };
                let stage =
                    new.entries.get(place).map(|e| e.stage).filter(|s| ends(*s)).ok_or(No::Nothing)?;
                new.step(*place, stage, None)?;
            }
        }
        new.version = self.version.saturating_add(1);
        Ok(new)
    }

    fn step(&mut self, place: Place, from: Stage, to: Option<Stage>) -> Result<(), No> {
        let entry = self.entries.get_mut(&place).filter(|e| e.stage == from).ok_or(No::Nothing)?;
        match to {
            Some(to) => entry.stage = to,
            None => drop(self.entries.remove(&place)),
        }
        Ok(())
    }

    /// Whether one more may go out. What fails counts like what is planned: no new one begins while failures fill the
    /// bound.
    fn room_for(&self, place: Place, bounds: &Bounds, view: &View) -> Result<(), No> {
        if let Some(cause) = &self.halted {
            return Err(No::Halted(cause.clone()));
        }
        if view.knowing < view.wanted {
            return Err(No::Unseen);
        }
        let mut out = self.out(view);
        out.remove(&place);
        if out.len() + 1 > bounds.all {
            return Err(No::Full(bounds.all));
        }
        let zone = |p: Place| bounds.zones.get(usize::from(p));
        if out.iter().filter(|&&p| zone(p) == zone(place)).count() + 1 > bounds.zone {
            return Err(No::ZoneFull(bounds.zone));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bounds() -> Bounds {
        Bounds { zones: vec![0, 0, 0, 1, 1], all: 2, zone: 1 }
    }

    fn view(out: &[Place]) -> View {
        View { knowing: 2, wanted: 2, out: out.iter().copied().collect() }
    }

    fn going() -> Document {
        let doc = Document::first();
        let doc = doc.changed(&Act::Resume { order: "r".into() }, &bounds(), &view(&[])).unwrap();
        let all = Act::Drain { order: "d".into(), routers: vec![0, 1, 3, 4] };
        doc.changed(&all, &bounds(), &view(&[])).unwrap()
    }

    #[test]
    fn bounds_hold_in_all_and_by_zone_and_failures_count() {
        let doc = going();
        let one = doc.changed(&Act::Leave(0, 7), &bounds(), &view(&[])).unwrap();
        assert_eq!(one.changed(&Act::Leave(1, 7), &bounds(), &view(&[])), Err(No::ZoneFull(1)));
        let two = one.changed(&Act::Leave(3, 7), &bounds(), &view(&[])).unwrap();
        assert_eq!(two.changed(&Act::Leave(4, 7), &bounds(), &view(&[])), Err(No::Full(2)));
        assert_eq!(
            doc.changed(&Act::Leave(0, 7), &bounds(), &view(&[2])),
            Err(No::ZoneFull(1)),
            "2 has crashed"
        );
        assert_eq!(doc.changed(&Act::Leave(0, 7), &bounds(), &view(&[3, 4])), Err(No::Full(2)));
        assert!(doc.changed(&Act::Leave(0, 7), &bounds(), &view(&[0])).is_ok(), "itself counts once");
        let blind = View { knowing: 1, ..view(&[]) };
        assert_eq!(doc.changed(&Act::Leave(0, 7), &bounds(), &blind), Err(No::Unseen));
    }

    #[test]
    fn nothing_begins_while_halted_and_what_has_begun_may_end() {
        let doc = going().changed(&Act::Leave(0, 7), &bounds(), &view(&[])).unwrap();
        let halt = Act::Halt { order: "h".into(), cause: "late answers".into() };
        let doc = doc.changed(&halt, &bounds(), &view(&[])).unwrap();
        let no = doc.changed(&Act::Leave(3, 7), &bounds(), &view(&[]));
        assert_eq!(no, Err(No::Halted("late answers".into())));
        let doc = doc.changed(&Act::Going(0, 7), &bounds(), &view(&[])).unwrap();
        let doc = doc
            .changed(&Act::PutBack { order: "b".into(), routers: vec![0] }, &bounds(), &view(&[]))
            .unwrap();
        let doc = doc.changed(&Act::Serves(0, 7), &bounds(), &view(&[])).unwrap();
        assert!(!doc.entries.contains_key(&0));
    }

    #[test]
    fn an_order_runs_once_and_one_that_is_wrong_changes_nothing() {
        let doc = going();
        let again = Act::Drain { order: "d".into(), routers: vec![2] };
        assert_eq!(doc.changed(&again, &bounds(), &view(&[])).as_ref(), Ok(&doc));
        let unknown = Act::Drain { order: "e".into(), routers: vec![2, 9] };
        assert_eq!(doc.changed(&unknown, &bounds(), &view(&[])), Err(No::Unknown(9)));
        let long = Act::Halt { order: "h".into(), cause: "x".repeat(LONGEST_WORD + 1) };
        assert_eq!(doc.changed(&long, &bounds(), &view(&[])), Err(No::Words));
        let mut many = doc;
        for k in 0..200 {
            many = many.changed(&Act::Resume { order: format!("r{k}") }, &bounds(), &view(&[])).unwrap();
        }
        assert!(many.orders.len() <= MOST_ORDERS);
    }

    #[test]
    fn a_life_that_has_ended_speaks_for_no_later_one() {
        let doc = going().changed(&Act::Leave(0, 7), &bounds(), &view(&[])).unwrap();
        assert_eq!(doc.changed(&Act::Going(0, 8), &bounds(), &view(&[])), Err(No::Nothing));
        assert_eq!(
            doc.changed(&Act::Serves(0, 7), &bounds(), &view(&[])),
            Err(No::Nothing),
            "it has leave to go"
        );
        let back = doc.changed(&Act::Serves(0, 8), &bounds(), &view(&[])).unwrap();
        assert!(!back.entries.contains_key(&0), "started anew, and serves");
    }
}
