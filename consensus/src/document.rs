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
use tallypin_membership::Place;

use crate::nodes::{self, NodeBounds, NodeEntry, NodeSeen, NodeStage, NodesFull, UnixMs};
use crate::register::Member;
use crate::release::{Phase, Plan, Release, MOST_TRIES, MOST_WAVES};

/// Orders that are remembered, so that one that is sent again does not run again.
pub const MOST_ORDERS: usize = 64;
/// The longest id of an order, and the longest cause of a halt, bytes.
pub const LONGEST_WORD: usize = 64;

/// As many of a wave are told to go at once, at the least.
const LEAST_TOLD: usize = 4;
/// Versions that are passed over when some may be lost: far more than are agreed on while a majority forgets.
const LOST: u64 = 1_000_000;
/// The longest cause that a check gives, characters.
pub const LONGEST_CAUSE: usize = 200;

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
    /// The digest of what it is to run when it comes back, in a release.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<String>,
    /// How often it came back and ran something else.
    #[serde(default)]
    pub tries: u8,
}

impl Entry {
    fn wanted(order: &str, to: Option<&String>) -> Entry {
        Entry { stage: Stage::Wanted, order: order.into(), to: to.cloned(), tries: 0 }
    }
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
    /// Model nodes that are out by order, are to go, or were put back of late, by id.
    #[serde(default)]
    pub nodes: nodes::Entries,
    /// The release that is on, or the last one.
    #[serde(default)]
    pub release: Option<Box<Release>>,
}

/// How many may be out at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// The name of each router, by place; for causes.
    pub names: Vec<String>,
    /// The zone of each router, by place.
    pub zones: Vec<u16>,
    /// In all.
    pub all: usize,
    /// In each zone.
    pub zone: usize,
    /// The members of the council. A planned out never takes away the majority of those that remember.
    pub council: Vec<Place>,
    /// Of model nodes; `None`: none by order.
    pub nodes: Option<NodeBounds>,
}

impl Bounds {
    /// What a router is called.
    pub fn name(&self, place: Place) -> String {
        self.names.get(usize::from(place)).cloned().unwrap_or_else(|| format!("router {place}"))
    }
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
    /// The model nodes, by a list that was heard of late; `None`: the one that asks has none.
    pub nodes: Option<BTreeMap<String, NodeSeen>>,
    /// The time.
    pub now_ms: UnixMs,
}

/// A change that is wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Act {
    /// None: to see what is agreed on.
    Look,
    /// None to the document: a member of the council that has restarted takes part again in this life.
    Join(Member, u64),
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
    /// An operator wants these model nodes out, until then at the latest.
    TakeOut {
        /// The order's id.
        order: String,
        /// Which.
        nodes: Vec<String>,
        /// When they are put back without an order.
        until: Option<UnixMs>,
    },
    /// An operator wants these model nodes back.
    PutBackNodes {
        /// The order's id.
        order: String,
        /// Which.
        nodes: Vec<String>,
    },
    /// A model node goes out if there is room, or comes back as its time has come.
    Node(String),
    /// An operator releases a file, by its digest.
    Release {
        /// The order's id.
        order: String,
        /// Which of a router's files.
        what: String,
        /// Its digest.
        digest: String,
        /// Routers by wave.
        waves: Vec<Vec<Place>>,
        /// What must hold.
        plan: Plan,
    },
    /// An operator wants the release undone.
    Undo {
        /// The order's id.
        order: String,
        /// Why.
        cause: String,
    },
    /// All of a wave are back and what was watched holds: the next one.
    Wave(usize),
    /// What was watched does not hold, at this wave.
    Fail(usize, String),
    /// A router of a wave runs what is agreed on, without going out.
    Has(Place),
    /// A router can't run what is released, and says why.
    Unfit(Place, String),
    /// A router has come back, in a new life, and runs something else.
    Again(Place, u64),
    /// A router asks for leave to go out in a release; it runs this.
    LeaveFrom(Place, u64, String),
    /// A router asks for leave to go out.
    Leave(Place, u64),
    /// A router says that it has begun to go, by its leave.
    Going(Place, u64),
    /// A router has not used its leave, and will not.
    GiveUp(Place, u64),
    /// A router that was out serves again.
    Serves(Place, u64),
}

impl Act {
    /// Whether an operator wants it.
    pub fn is_order(&self) -> bool {
        matches!(
            self,
            Act::Drain { .. }
                | Act::PutBack { .. }
                | Act::Halt { .. }
                | Act::Resume { .. }
                | Act::TakeOut { .. }
                | Act::PutBackNodes { .. }
                | Act::Release { .. }
                | Act::Undo { .. }
        )
    }
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
    /// As many of the council are out as may be.
    CouncilFull(usize),
    /// Too few members of the council know who is out.
    Unseen,
    /// No such router in the fleet.
    Unknown(Place),
    /// There is nothing to change: no entry, or of another life or stage.
    Nothing,
    /// An id or a cause that is empty or too long.
    Words,
    /// As many model nodes are out as may be.
    NodesFull(NodesFull),
    /// The settings let no model node out by order.
    NoNodes,
    /// No list of model nodes was heard of late.
    NoList,
    /// The list has no such model node, or it is not out by order.
    UnknownNode(String),
    /// More model nodes than one document holds.
    TooMany,
    /// Another release is on.
    Busy(String),
    /// A router is out, or to go, by another order.
    Taken(String, String),
    /// A plan that names a router twice, or no wave, an empty one or too many.
    Waves,
    /// A majority of the council has not seen it serve.
    NotSeen,
}

impl fmt::Display for No {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            No::Halted(cause) => write!(f, "halted: {cause}"),
            No::Full(most) => write!(f, "{most} may be out at once, and as many are"),
            No::ZoneFull(most) => write!(f, "{most} of a zone may be out at once, and as many are"),
            No::CouncilFull(most) => write!(f, "{most} of the council may be out at once, and as many are"),
            No::Unseen => f.write_str("too few of the council know yet who is out"),
            No::Unknown(place) => write!(f, "no router {place} in this fleet"),
            No::Nothing => f.write_str("there is nothing to change"),
            No::Words => write!(f, "an id or a cause has 1 to {LONGEST_WORD} bytes"),
            No::NodesFull(full) => write!(
                f,
                "{} of {} model nodes of {} may be out at once; {}",
                full.most,
                full.all,
                full.of,
                match full.out.is_empty() {
                    true => "that is none".into(),
                    false => format!("out are {}", full.out.join(", ")),
                }
            ),
            No::NoNodes => {
                f.write_str("the settings let no model node out by order: `nodes-out-most` is not set")
            }
            No::NoList => f.write_str("this router has not heard the node list of late"),
            No::UnknownNode(id) => write!(f, "no model node `{id}` is listed, or out by order"),
            No::TooMany => write!(f, "more than {} model nodes", nodes::MOST_NODES),
            No::Busy(order) => write!(f, "release {order} is on"),
            No::Taken(place, order) => write!(f, "{place} is out, or to go, by order {order}"),
            No::Waves => write!(f, "a release has 1 to {MOST_WAVES} waves, none empty, each router once"),
            No::NotSeen => f.write_str("a majority of the council has not seen it serve yet"),
        }
    }
}

impl Document {
    /// The first, on what is still known of the one before, if anything: what was agreed on since may be lost, so nothing
    /// may begin until an operator says so.
    pub fn first(known: Option<&Document>) -> Document {
        let anew = "the council's memory begins anew";
        let cause = match known {
            None => anew,
            // A first document that not all had taken yet, or that nobody has let go on.
            Some(known) if known.halted.as_deref() == Some(anew) => anew,
            Some(_) => "most of the council's memory was lost, what was agreed on last may be",
        };
        let known = known.cloned().unwrap_or_default();
        // Above what may be lost: routers go by the newest version that they have heard of.
        let version = known.version.saturating_add(LOST);
        Document { version, halted: Some(cause.into()), ..known }
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
            Act::Look | Act::Join(..) => return Ok(new),
            Act::Drain { order, .. }
            | Act::PutBack { order, .. }
            | Act::Halt { order, .. }
            | Act::TakeOut { order, .. }
            | Act::PutBackNodes { order, .. }
            | Act::Release { order, .. }
            | Act::Undo { order, .. }
            | Act::Resume { order } => {
                let fits = |word: &str| !word.is_empty() && word.len() <= LONGEST_WORD;
                let more = match act {
                    Act::Halt { cause, .. } | Act::Undo { cause, .. } => fits(cause),
                    Act::Release { what, digest, .. } => fits(what) && fits(digest),
                    _ => true,
                };
                if !fits(order) || !more {
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
            Act::Look | Act::Join(..) => {}
            Act::Drain { order, routers } => {
                for &place in routers {
                    known(place)?;
                    let entry = new.entries.entry(place);
                    let wanted = Entry::wanted(order, None);
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
            Act::Leave(place, life) => new.leave(*place, *life, bounds, view)?,
            Act::LeaveFrom(place, life, runs) => {
                new.leave(*place, *life, bounds, view)?;
                if let Some(r) = &mut new.release {
                    r.before.entry(*place).or_insert_with(|| runs.clone());
                }
            }
            Act::TakeOut { order, nodes, until } => {
                let seen = view.nodes.as_ref().ok_or(No::NoList)?;
                bounds.nodes.ok_or(No::NoNodes)?;
                for id in nodes {
                    if id.len() > nodes::LONGEST_NODE || !seen.contains_key(id) {
                        return Err(No::UnknownNode(id.chars().take(nodes::LONGEST_NODE).collect()));
                    }
                    let (order, until) = (order.clone(), *until);
                    match new.nodes.get_mut(id) {
                        // One that is out stays so, for the time that was stated last.
                        Some(e) if !matches!(e.stage, NodeStage::Back(_)) => e.until = until,
                        _ => {
                            let entry = NodeEntry { stage: NodeStage::Wanted, order, until };
                            new.nodes.insert(id.clone(), entry);
                        }
                    }
                }
                new.forget(view.now_ms);
                if new.nodes.len() > nodes::MOST_NODES {
                    return Err(No::TooMany);
                }
            }
            Act::PutBackNodes { nodes, .. } => {
                for id in nodes {
                    new.put_back(id, view.now_ms).map_err(|_| No::UnknownNode(id.clone()))?;
                }
            }
            Act::Node(id) => {
                let entry = self.nodes.get(id).ok_or(No::Nothing)?;
                let over = entry.until.is_some_and(|until| view.now_ms >= until);
                match entry.stage {
                    NodeStage::Wanted | NodeStage::Out(_) if over => new.put_back(id, view.now_ms)?,
                    NodeStage::Wanted => {
                        self.may_begin(view)?;
                        let seen = view.nodes.as_ref().ok_or(No::NoList)?;
                        let bounds = bounds.nodes.as_ref().ok_or(No::NoNodes)?;
                        nodes::room(id, &self.nodes, bounds, seen).map_err(No::NodesFull)?;
                        let out = NodeStage::Out(self.version.saturating_add(1));
                        new.nodes.entry(id.clone()).and_modify(|e| e.stage = out);
                    }
                    _ => return Err(No::Nothing),
                }
            }
            Act::Release { order, what, digest, waves, plan } => {
                new.release_begins(order, what, digest, waves, plan, bounds)?;
            }
            Act::Undo { cause, .. } => new.undo(cause)?,
            Act::Wave(at) => new.next_wave(*at)?,
            Act::Fail(at, why) => {
                let running =
                    self.release.as_ref().is_some_and(|r| r.wave == *at && r.phase == Phase::Running);
                running.then_some(()).ok_or(No::Nothing)?;
                new.fail(why)?;
            }
            Act::Has(place) => {
                let entry = new.entries.get(place).filter(|e| e.stage == Stage::Wanted && e.to.is_some());
                entry.ok_or(No::Nothing)?;
                new.entries.remove(place);
            }
            Act::Unfit(place, why) => {
                let entry = new.entries.get(place).filter(|e| e.to.is_some()).ok_or(No::Nothing)?.clone();
                new.fail(&format!("{}: {why}", bounds.name(*place)))?;
                match entry.stage {
                    // In a release that is being undone it can do no more; it serves as it is.
                    Stage::Wanted => drop(new.entries.remove(place)),
                    Stage::Leave(life) | Stage::Out(life) => {
                        let tries = entry.tries.saturating_add(1);
                        new.entries.insert(*place, Entry { stage: Stage::Back(life), tries, ..entry });
                    }
                    Stage::Back(_) => return Err(No::Nothing),
                }
            }
            Act::Again(place, life) => {
                let entry = new.entries.get_mut(place).filter(|e| e.to.is_some()).ok_or(No::Nothing)?;
                match entry.stage {
                    Stage::Leave(of) | Stage::Out(of) if of != *life => entry.stage = Stage::Wanted,
                    _ => return Err(No::Nothing),
                }
                entry.tries = entry.tries.saturating_add(1);
                if entry.tries >= MOST_TRIES {
                    let name = bounds.name(*place);
                    new.fail(&format!("{name} came back {MOST_TRIES} times and ran something else"))?;
                    new.entries.remove(place);
                }
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
                let entry = new.entries.get(place).filter(|e| ends(e.stage)).ok_or(No::Nothing)?.clone();
                // One that comes back from a release is seen ready by others before the next one goes.
                if entry.to.is_some() && view.knowing < view.wanted {
                    return Err(No::Unseen);
                }
                if entry.to.is_some() && view.out.contains(place) {
                    return Err(No::NotSeen);
                }
                new.step(*place, entry.stage, None)?;
                // It may have come back with what is being undone.
                if let Some((r, Stage::Back(_))) = new.release.as_ref().zip(Some(entry.stage)) {
                    let undone = matches!(r.phase, Phase::Back(_)) && r.order == entry.order;
                    if let (true, Some(before)) = (undone && entry.tries < MOST_TRIES, r.before.get(place)) {
                        let wanted = Entry::wanted(&entry.order, Some(before));
                        new.entries.insert(*place, Entry { tries: entry.tries, ..wanted });
                    }
                }
            }
        }
        new.want_wave(bounds);
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

    fn leave(&mut self, place: Place, life: u64, bounds: &Bounds, view: &View) -> Result<(), No> {
        if usize::from(place) >= bounds.zones.len() {
            return Err(No::Unknown(place));
        }
        self.room_for(place, bounds, view)?;
        self.step(place, Stage::Wanted, Some(Stage::Leave(life)))
    }

    /// Whether anything may begin to go out.
    fn may_begin(&self, view: &View) -> Result<(), No> {
        match &self.halted {
            Some(cause) => Err(No::Halted(cause.clone())),
            None if view.knowing < view.wanted => Err(No::Unseen),
            None => Ok(()),
        }
    }

    /// A model node is back: at once where it has not gone, else as one that is cold.
    fn put_back(&mut self, id: &str, now_ms: UnixMs) -> Result<(), No> {
        let entry = self.nodes.get_mut(id).ok_or(No::Nothing)?;
        match entry.stage {
            NodeStage::Wanted => drop(self.nodes.remove(id)),
            NodeStage::Out(_) => (entry.stage, entry.until) = (NodeStage::Back(now_ms), None),
            NodeStage::Back(_) => return Err(No::Nothing),
        }
        Ok(())
    }

    /// Model nodes that were put back long ago are like any other.
    fn forget(&mut self, now_ms: UnixMs) {
        let old = |at: UnixMs| now_ms.saturating_sub(at) > nodes::REMEMBERED_MS;
        self.nodes.retain(|_, e| !matches!(e.stage, NodeStage::Back(at) if old(at)));
    }

    fn release_begins(
        &mut self,
        order: &str,
        what: &str,
        digest: &str,
        waves: &[Vec<Place>],
        plan: &Plan,
        bounds: &Bounds,
    ) -> Result<(), No> {
        if let Some(on) = self.release.as_ref().filter(|r| r.moves()) {
            return Err(No::Busy(on.order.clone()));
        }
        let all: Vec<Place> = waves.iter().flatten().copied().collect();
        let apart: BTreeSet<Place> = all.iter().copied().collect();
        let whole = (1..=MOST_WAVES).contains(&waves.len()) && waves.iter().all(|w| !w.is_empty());
        if !whole || apart.len() < all.len() {
            return Err(No::Waves);
        }
        if let Some(&place) = all.iter().find(|p| usize::from(**p) >= bounds.zones.len()) {
            return Err(No::Unknown(place));
        }
        // Whoever is out by hand is somebody's business, and would come back by this.
        if let Some((place, e)) = self.entries.iter().find(|(p, _)| apart.contains(p)) {
            return Err(No::Taken(bounds.name(*place), e.order.clone()));
        }
        self.release = Some(Box::new(Release {
            order: order.into(),
            what: what.into(),
            digest: digest.into(),
            waves: waves.to_vec(),
            wave: 0,
            told: 0,
            phase: Phase::Running,
            before: BTreeMap::new(),
            plan: plan.clone(),
        }));
        Ok(())
    }

    /// The routers of the present wave are to go out, for what is released or for what they ran before: a few more than
    /// may at once. Guards against a wave of hundreds that all ask for leave, and a document that is sent with all of them.
    fn want_wave(&mut self, bounds: &Bounds) {
        let Some(r) = self.release.as_mut().filter(|r| r.moves()) else { return };
        let wave = r.waves.get(r.wave).map_or(&[][..], Vec::as_slice);
        let mut open = self.entries.values().filter(|e| e.order == r.order).count();
        while let Some(place) = wave.get(r.told).filter(|_| open < (2 * bounds.all).max(LEAST_TOLD)) {
            r.told += 1;
            let to = match r.phase {
                Phase::Back(_) => r.before.get(place),
                _ => Some(&r.digest),
            };
            if to.is_some() {
                self.entries.entry(*place).or_insert_with(|| Entry::wanted(&r.order, to));
                open += 1;
            }
        }
    }

    /// All routers of the present wave are back.
    fn next_wave(&mut self, at: usize) -> Result<(), No> {
        let Some(r) = self.release.as_mut().filter(|r| r.wave == at && r.moves()) else {
            return Err(No::Nothing);
        };
        if self.entries.values().any(|e| e.order == r.order) {
            return Err(No::Nothing);
        }
        r.told = 0;
        match (&r.phase, r.wave) {
            (Phase::Back(why), 0) => r.phase = Phase::Undone(why.clone()),
            (Phase::Back(_), _) => r.wave -= 1,
            _ if r.wave + 1 == r.waves.len() => r.phase = Phase::Done,
            _ => r.wave += 1,
        }
        Ok(())
    }

    /// A check has failed: halted, or back, as the plan says. A release that is being undone goes on.
    fn fail(&mut self, why: &str) -> Result<(), No> {
        let why: String = why.chars().take(LONGEST_CAUSE).collect();
        let Some(r) = self.release.as_mut().filter(|r| r.phase == Phase::Running) else { return Ok(()) };
        if r.plan.back {
            return self.undo(&why);
        }
        r.phase = Phase::Failed(why.clone());
        self.halted = Some(why);
        let order = r.order.clone();
        self.entries.retain(|_, e| e.order != order || e.stage != Stage::Wanted);
        Ok(())
    }

    /// The way back: whoever has not gone stays; who is out comes back as it is; then, wave by wave, last one first, all
    /// that ran what was released go for what they ran before.
    fn undo(&mut self, why: &str) -> Result<(), No> {
        let r = self.release.as_mut().ok_or(No::Nothing)?;
        if matches!(r.phase, Phase::Back(_) | Phase::Undone(_)) {
            return Err(No::Nothing);
        }
        (r.phase, r.told) = (Phase::Back(why.into()), 0);
        let order = r.order.clone();
        self.entries.retain(|_, e| e.order != order || e.stage != Stage::Wanted);
        for e in self.entries.values_mut().filter(|e| e.order == order) {
            if let Stage::Leave(life) | Stage::Out(life) = e.stage {
                e.stage = Stage::Back(life);
            }
        }
        Ok(())
    }

    /// Whether one more may go out. What fails counts like what is planned: no new one begins while failures fill the
    /// bound.
    fn room_for(&self, place: Place, bounds: &Bounds, view: &View) -> Result<(), No> {
        self.may_begin(view)?;
        let mut out = self.out(view);
        out.remove(&place);
        if out.len() + 1 > bounds.all {
            return Err(No::Full(bounds.all));
        }
        let zone = |p: Place| bounds.zones.get(usize::from(p));
        if out.iter().filter(|&&p| zone(p) == zone(place)).count() + 1 > bounds.zone {
            return Err(No::ZoneFull(bounds.zone));
        }
        // Members forget when they start anew, and are out until they take part again.
        let most = (bounds.council.len().saturating_sub(1) / 2).max(1);
        if bounds.council.contains(&place)
            && out.iter().filter(|p| bounds.council.contains(p)).count() >= most
        {
            return Err(No::CouncilFull(most));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
