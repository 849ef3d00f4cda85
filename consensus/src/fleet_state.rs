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
use tallypin_membership::RouterIndex;

use crate::register::CouncilMember;
use crate::release::{Release, ReleasePhase, ReleasePlan, MAX_ATTEMPTS, MAX_WAVES};
use crate::replica_drains::{
    self, ReplicaEntry, ReplicaLimitExceeded, ReplicaLimits, ReplicaStage, ReplicaView, UnixMs,
};

/// Orders that are remembered, so that one that is sent again does not run again.
pub const MAX_REMEMBERED_ORDERS: usize = 64;
/// The longest id of an order, and the longest cause of a halt, bytes.
pub const MAX_TEXT_BYTES: usize = 64;

/// As many of a wave are told to go at once, at the least.
const MIN_STARTED_AT_ONCE: usize = 4;
/// Versions that are passed over when some may be lost: far more than are agreed on while a majority forgets.
const VERSION_GAP_AFTER_LOSS: u64 = 1_000_000;
/// The longest cause that a check gives, characters.
pub const MAX_CAUSE_CHARS: usize = 200;

/// How far a router has come on its way out and back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainStage {
    /// It is to go out when there is room.
    #[serde(rename = "wanted")]
    Requested,
    /// It has leave to go, in this life, and has not said that it does.
    #[serde(rename = "leave")]
    Leased(u64),
    /// It is out, or on its way, by this life's word.
    #[serde(rename = "out")]
    OutOfService(u64),
    /// It is to come back, and counts as out until it has said that it serves.
    #[serde(rename = "back")]
    Returning(u64),
}

/// A router's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainEntry {
    /// How far it has come.
    pub stage: DrainStage,
    /// The order that it goes by.
    pub order: String,
    /// The digest of what it is to run when it comes back, in a release.
    #[serde(default, rename = "to", skip_serializing_if = "Option::is_none")]
    pub target_digest: Option<String>,
    /// How often it came back and ran something else.
    #[serde(default, rename = "tries")]
    pub attempts: u8,
}

impl DrainEntry {
    fn wanted(order: &str, to: Option<&String>) -> DrainEntry {
        DrainEntry {
            stage: DrainStage::Requested,
            order: order.into(),
            target_digest: to.cloned(),
            attempts: 0,
        }
    }
}

/// What is agreed on.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FleetState {
    /// One more with each change.
    pub version: u64,
    /// Why nothing may begin to go out; `None`: it may.
    pub halted: Option<String>,
    /// Routers that are out by order, or are to go. At most one entry each.
    #[serde(rename = "entries")]
    pub drains: BTreeMap<RouterIndex, DrainEntry>,
    /// The latest orders.
    #[serde(rename = "orders")]
    pub recent_orders: VecDeque<String>,
    /// Model nodes that are out by order, are to go, or were put back of late, by id.
    #[serde(default, rename = "nodes")]
    pub replicas: replica_drains::ReplicaEntries,
    /// The release that is on, or the last one.
    #[serde(default)]
    pub release: Option<Box<Release>>,
}

/// How many may be out at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainLimits {
    /// The name of each router, by place; for causes.
    pub names: Vec<String>,
    /// The zone of each router, by place.
    pub zones: Vec<u16>,
    /// In all.
    pub total: usize,
    /// In each zone.
    pub per_zone: usize,
    /// The members of the council. A planned out never takes away the majority of those that remember.
    pub council: Vec<RouterIndex>,
    /// Of model nodes; `None`: none by order.
    pub replicas: Option<ReplicaLimits>,
}

impl DrainLimits {
    /// What a router is called.
    pub fn name(&self, place: RouterIndex) -> String {
        self.names.get(usize::from(place)).cloned().unwrap_or_else(|| format!("router {place}"))
    }
}

/// What a majority of the council has heard.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CouncilView {
    /// Members that answered and know who is silent.
    pub informed_members: usize,
    /// As many are wanted: a majority.
    pub majority: usize,
    /// Routers that any of them takes to be out.
    pub out_of_service: BTreeSet<RouterIndex>,
    /// The model nodes, by a list that was heard of late; `None`: the one that asks has none.
    pub replicas: Option<BTreeMap<String, ReplicaView>>,
    /// The time.
    pub unix_ms: UnixMs,
}

/// A change that is wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Command {
    /// None: to see what is agreed on.
    #[serde(rename = "look")]
    Read,
    /// None to the document: a member of the council that has restarted takes part again in this life.
    #[serde(rename = "join")]
    JoinCouncil(CouncilMember),
    /// An operator wants these to go out.
    Drain {
        /// The order's id.
        order: String,
        /// Which.
        routers: Vec<RouterIndex>,
    },
    /// An operator wants these back.
    #[serde(rename = "putback")]
    Restore {
        /// The order's id.
        order: String,
        /// Which.
        routers: Vec<RouterIndex>,
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
    #[serde(rename = "takeout")]
    DrainReplicas {
        /// The order's id.
        order: String,
        /// Which.
        #[serde(rename = "nodes")]
        replicas: Vec<String>,
        /// When they are put back without an order.
        until: Option<UnixMs>,
    },
    /// An operator wants these model nodes back.
    #[serde(rename = "putbacknodes")]
    RestoreReplicas {
        /// The order's id.
        order: String,
        /// Which.
        #[serde(rename = "nodes")]
        replicas: Vec<String>,
    },
    /// A model node goes out if there is room, or comes back as its time has come.
    #[serde(rename = "node")]
    AdvanceReplica(String),
    /// An operator releases a file, by its digest.
    #[serde(rename = "release")]
    BeginRelease {
        /// The order's id.
        order: String,
        /// Which of a router's files.
        #[serde(rename = "what")]
        artifact: String,
        /// Its digest.
        digest: String,
        /// Routers by wave.
        waves: Vec<Vec<RouterIndex>>,
        /// What must hold.
        plan: ReleasePlan,
    },
    /// An operator wants the release undone.
    #[serde(rename = "undo")]
    RollBack {
        /// The order's id.
        order: String,
        /// Why.
        cause: String,
    },
    /// All of a wave are back and what was watched holds: the next one.
    #[serde(rename = "wave")]
    CompleteWave(usize),
    /// What was watched does not hold, at this wave.
    #[serde(rename = "fail")]
    FailWave(usize, String),
    /// A router of a wave runs what is agreed on, without going out.
    #[serde(rename = "has")]
    ReportUpToDate(RouterIndex),
    /// A router can't run what is released, and says why.
    #[serde(rename = "unfit")]
    ReportUnfit(RouterIndex, String),
    /// A router has come back, in a new life, and runs something else.
    #[serde(rename = "again")]
    RetryRelease(RouterIndex, u64),
    /// A router asks for leave to go out in a release; it runs this.
    #[serde(rename = "leavefrom")]
    AcquireReleaseLease(RouterIndex, u64, String),
    /// A router asks for leave to go out.
    #[serde(rename = "leave")]
    AcquireLease(RouterIndex, u64),
    /// A router says that it has begun to go, by its leave.
    #[serde(rename = "going")]
    UseLease(RouterIndex, u64),
    /// A router has not used its leave, and will not.
    #[serde(rename = "giveup")]
    ReturnLease(RouterIndex, u64),
    /// A router that was out serves again.
    #[serde(rename = "serves")]
    ReportServing(RouterIndex, u64),
}

impl Command {
    /// Whether an operator wants it.
    pub fn is_operator_order(&self) -> bool {
        matches!(
            self,
            Command::Drain { .. }
                | Command::Restore { .. }
                | Command::Halt { .. }
                | Command::Resume { .. }
                | Command::DrainReplicas { .. }
                | Command::RestoreReplicas { .. }
                | Command::BeginRelease { .. }
                | Command::RollBack { .. }
        )
    }
}

/// Why a change is not made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// It is halted, for this cause.
    Halted(String),
    /// As many are out as may be, in all.
    #[serde(rename = "full")]
    FleetLimitReached(usize),
    /// As many are out as may be in the router's zone.
    #[serde(rename = "zone-full")]
    ZoneLimitReached(usize),
    /// As many of the council are out as may be.
    #[serde(rename = "council-full")]
    CouncilLimitReached(usize),
    /// Too few members of the council know who is out.
    #[serde(rename = "unseen")]
    ViewIncomplete,
    /// No such router in the fleet.
    #[serde(rename = "unknown")]
    UnknownRouter(RouterIndex),
    /// There is nothing to change: no entry, or of another life or stage.
    #[serde(rename = "nothing")]
    NothingToChange,
    /// An id or a cause that is empty or too long.
    #[serde(rename = "words")]
    InvalidText,
    /// As many model nodes are out as may be.
    #[serde(rename = "nodes-full")]
    ReplicaLimitReached(ReplicaLimitExceeded),
    /// The settings let no model node out by order.
    #[serde(rename = "no-nodes")]
    ReplicaOrdersDisabled,
    /// No list of model nodes was heard of late.
    #[serde(rename = "no-list")]
    EndpointListStale,
    /// The list has no such model node, or it is not out by order.
    #[serde(rename = "unknown-node")]
    UnknownReplica(String),
    /// More model nodes than one document holds.
    #[serde(rename = "too-many")]
    TooManyReplicas,
    /// Another release is on.
    #[serde(rename = "busy")]
    ReleaseInProgress(String),
    /// A router is out, or to go, by another order.
    #[serde(rename = "taken")]
    HeldByOtherOrder(String, String),
    /// A plan that names a router twice, or no wave, an empty one or too many.
    #[serde(rename = "waves")]
    InvalidWaves,
    /// A majority of the council has not seen it serve.
    #[serde(rename = "not-seen")]
    NotSeenServing,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Halted(cause) => write!(f, "halted: {cause}"),
            Rejection::FleetLimitReached(most) => write!(f, "{most} may be out at once, and as many are"),
            Rejection::ZoneLimitReached(most) => {
                write!(f, "{most} of a zone may be out at once, and as many are")
            }
            Rejection::CouncilLimitReached(most) => {
                write!(f, "{most} of the council may be out at once, and as many are")
            }
            Rejection::ViewIncomplete => f.write_str("too few of the council know yet who is out"),
            Rejection::UnknownRouter(place) => write!(f, "no router {place} in this fleet"),
            Rejection::NothingToChange => f.write_str("there is nothing to change"),
            Rejection::InvalidText => write!(f, "an id or a cause has 1 to {MAX_TEXT_BYTES} bytes"),
            Rejection::ReplicaLimitReached(full) => write!(
                f,
                "{} of {} model nodes of {} may be out at once; {}",
                full.limit,
                full.total,
                full.group,
                match full.out_of_service.is_empty() {
                    true => "that is none".into(),
                    false => format!("out are {}", full.out_of_service.join(", ")),
                }
            ),
            Rejection::ReplicaOrdersDisabled => {
                f.write_str("the settings let no model node out by order: `nodes-out-most` is not set")
            }
            Rejection::EndpointListStale => f.write_str("this router has not heard the node list of late"),
            Rejection::UnknownReplica(id) => write!(f, "no model node `{id}` is listed, or out by order"),
            Rejection::TooManyReplicas => {
                write!(f, "more than {} model nodes", replica_drains::MAX_REPLICA_DRAINS)
            }
            Rejection::ReleaseInProgress(order) => write!(f, "release {order} is on"),
            Rejection::HeldByOtherOrder(place, order) => {
                write!(f, "{place} is out, or to go, by order {order}")
            }
            Rejection::InvalidWaves => {
                write!(f, "a release has 1 to {MAX_WAVES} waves, none empty, each router once")
            }
            Rejection::NotSeenServing => f.write_str("a majority of the council has not seen it serve yet"),
        }
    }
}

impl FleetState {
    /// The first, on what is still known of the one before, if anything: what was agreed on since may be lost, so nothing
    /// may begin until an operator says so.
    pub fn bootstrap(known: Option<&FleetState>) -> FleetState {
        let anew = "the council's memory begins anew";
        let cause = match known {
            None => anew,
            // A first document that not all had taken yet, or that nobody has let go on.
            Some(known) if known.halted.as_deref() == Some(anew) => anew,
            Some(_) => "most of the council's memory was lost, what was agreed on last may be",
        };
        let known = known.cloned().unwrap_or_default();
        // Above what may be lost: routers go by the newest version that they have heard of.
        let version = known.version.saturating_add(VERSION_GAP_AFTER_LOSS);
        FleetState { version, halted: Some(cause.into()), ..known }
    }

    /// Who counts as out: by order, or by what the council has heard.
    pub fn out_of_service(&self, view: &CouncilView) -> BTreeSet<RouterIndex> {
        let ordered =
            self.drains.iter().filter(|(_, e)| e.stage != DrainStage::Requested).map(|(&place, _)| place);
        ordered.chain(view.out_of_service.iter().copied()).collect()
    }

    /// The document after a change, or why there is none. One that is there already gives the same document.
    pub fn apply(
        &self,
        act: &Command,
        bounds: &DrainLimits,
        view: &CouncilView,
    ) -> Result<FleetState, Rejection> {
        let mut new = self.clone();
        let known = |place: RouterIndex| match usize::from(place) < bounds.zones.len() {
            true => Ok(()),
            false => Err(Rejection::UnknownRouter(place)),
        };
        match act {
            Command::Read | Command::JoinCouncil(_) => return Ok(new),
            Command::Drain { order, .. }
            | Command::Restore { order, .. }
            | Command::Halt { order, .. }
            | Command::DrainReplicas { order, .. }
            | Command::RestoreReplicas { order, .. }
            | Command::BeginRelease { order, .. }
            | Command::RollBack { order, .. }
            | Command::Resume { order } => {
                let fits = |word: &str| !word.is_empty() && word.len() <= MAX_TEXT_BYTES;
                let more = match act {
                    Command::Halt { cause, .. } | Command::RollBack { cause, .. } => fits(cause),
                    Command::BeginRelease { artifact, digest, .. } => fits(artifact) && fits(digest),
                    _ => true,
                };
                if !fits(order) || !more {
                    return Err(Rejection::InvalidText);
                }
                // Sent again, by whomever: it has run.
                if self.recent_orders.contains(order) {
                    return Ok(new);
                }
                new.recent_orders.push_back(order.clone());
                if new.recent_orders.len() > MAX_REMEMBERED_ORDERS {
                    new.recent_orders.pop_front();
                }
            }
            _ => {}
        }
        match act {
            Command::Read | Command::JoinCouncil(_) => {}
            Command::Drain { order, routers } => {
                for &place in routers {
                    known(place)?;
                    let entry = new.drains.entry(place);
                    let wanted = DrainEntry::wanted(order, None);
                    // One that is out stays so; one that was to come back goes out again by a leave of its own.
                    entry.or_insert(wanted);
                }
            }
            Command::Restore { routers, .. } => {
                for &place in routers {
                    known(place)?;
                    match new.drains.get(&place).map(|e| e.stage) {
                        Some(DrainStage::Requested) => drop(new.drains.remove(&place)),
                        Some(DrainStage::Leased(life) | DrainStage::OutOfService(life)) => {
                            new.drains
                                .get_mut(&place)
                                .into_iter()
                                .for_each(|e| e.stage = DrainStage::Returning(life));
                        }
                        Some(DrainStage::Returning(_)) | None => {}
                    }
                }
            }
            Command::Halt { cause, .. } => new.halted = Some(cause.clone()),
            Command::Resume { .. } => new.halted = None,
            Command::AcquireLease(place, life) => new.leave(*place, *life, bounds, view)?,
            Command::AcquireReleaseLease(place, life, runs) => {
                new.leave(*place, *life, bounds, view)?;
                if let Some(r) = &mut new.release {
                    r.previous_digests.entry(*place).or_insert_with(|| runs.clone());
                }
            }
            Command::DrainReplicas { order, replicas: nodes, until } => {
                let seen = view.replicas.as_ref().ok_or(Rejection::EndpointListStale)?;
                bounds.replicas.ok_or(Rejection::ReplicaOrdersDisabled)?;
                for id in nodes {
                    if id.len() > replica_drains::MAX_REPLICA_ID_BYTES || !seen.contains_key(id) {
                        return Err(Rejection::UnknownReplica(
                            id.chars().take(replica_drains::MAX_REPLICA_ID_BYTES).collect(),
                        ));
                    }
                    let (order, until) = (order.clone(), *until);
                    match new.replicas.get_mut(id) {
                        // One that is out stays so, for the time that was stated last.
                        Some(e) if !matches!(e.stage, ReplicaStage::Restored(_)) => e.until = until,
                        _ => {
                            let entry = ReplicaEntry { stage: ReplicaStage::Requested, order, until };
                            new.replicas.insert(id.clone(), entry);
                        }
                    }
                }
                new.forget(view.unix_ms);
                if new.replicas.len() > replica_drains::MAX_REPLICA_DRAINS {
                    return Err(Rejection::TooManyReplicas);
                }
            }
            Command::RestoreReplicas { replicas: nodes, .. } => {
                for id in nodes {
                    new.put_back(id, view.unix_ms).map_err(|_| Rejection::UnknownReplica(id.clone()))?;
                }
            }
            Command::AdvanceReplica(id) => {
                let entry = self.replicas.get(id).ok_or(Rejection::NothingToChange)?;
                let over = entry.until.is_some_and(|until| view.unix_ms >= until);
                match entry.stage {
                    ReplicaStage::Requested | ReplicaStage::OutOfService(_) if over => {
                        new.put_back(id, view.unix_ms)?
                    }
                    ReplicaStage::Requested => {
                        self.may_begin(view)?;
                        let seen = view.replicas.as_ref().ok_or(Rejection::EndpointListStale)?;
                        let bounds = bounds.replicas.as_ref().ok_or(Rejection::ReplicaOrdersDisabled)?;
                        replica_drains::check_limits(id, &self.replicas, bounds, seen)
                            .map_err(Rejection::ReplicaLimitReached)?;
                        let out = ReplicaStage::OutOfService(self.version.saturating_add(1));
                        new.replicas.entry(id.clone()).and_modify(|e| e.stage = out);
                    }
                    _ => return Err(Rejection::NothingToChange),
                }
            }
            Command::BeginRelease { order, artifact, digest, waves, plan } => {
                new.release_begins(order, artifact, digest, waves, plan, bounds)?;
            }
            Command::RollBack { cause, .. } => new.undo(cause)?,
            Command::CompleteWave(at) => new.next_wave(*at)?,
            Command::FailWave(at, why) => {
                let running =
                    self.release.as_ref().is_some_and(|r| r.wave == *at && r.phase == ReleasePhase::Running);
                running.then_some(()).ok_or(Rejection::NothingToChange)?;
                new.fail(why)?;
            }
            Command::ReportUpToDate(place) => {
                let entry = new
                    .drains
                    .get(place)
                    .filter(|e| e.stage == DrainStage::Requested && e.target_digest.is_some());
                entry.ok_or(Rejection::NothingToChange)?;
                new.drains.remove(place);
            }
            Command::ReportUnfit(place, why) => {
                let entry = new
                    .drains
                    .get(place)
                    .filter(|e| e.target_digest.is_some())
                    .ok_or(Rejection::NothingToChange)?
                    .clone();
                new.fail(&format!("{}: {why}", bounds.name(*place)))?;
                match entry.stage {
                    // In a release that is being undone it can do no more; it serves as it is.
                    DrainStage::Requested => drop(new.drains.remove(place)),
                    DrainStage::Leased(life) | DrainStage::OutOfService(life) => {
                        let tries = entry.attempts.saturating_add(1);
                        new.drains.insert(
                            *place,
                            DrainEntry { stage: DrainStage::Returning(life), attempts: tries, ..entry },
                        );
                    }
                    DrainStage::Returning(_) => return Err(Rejection::NothingToChange),
                }
            }
            Command::RetryRelease(place, life) => {
                let entry = new
                    .drains
                    .get_mut(place)
                    .filter(|e| e.target_digest.is_some())
                    .ok_or(Rejection::NothingToChange)?;
                match entry.stage {
                    DrainStage::Leased(of) | DrainStage::OutOfService(of) if of != *life => {
                        entry.stage = DrainStage::Requested
                    }
                    _ => return Err(Rejection::NothingToChange),
                }
                entry.attempts = entry.attempts.saturating_add(1);
                if entry.attempts >= MAX_ATTEMPTS {
                    let name = bounds.name(*place);
                    new.fail(&format!("{name} came back {MAX_ATTEMPTS} times and ran something else"))?;
                    new.drains.remove(place);
                }
            }
            Command::UseLease(place, life) => {
                new.step(*place, DrainStage::Leased(*life), Some(DrainStage::OutOfService(*life)))?
            }
            Command::ReturnLease(place, life) => {
                new.step(*place, DrainStage::Leased(*life), Some(DrainStage::Requested))?
            }
            Command::ReportServing(place, life) => {
                // Its own word ends its entry: told to come back, or started anew since it went.
                let ends = |stage| match stage {
                    DrainStage::Returning(_) => true,
                    DrainStage::Leased(of) | DrainStage::OutOfService(of) => of != *life,
                    DrainStage::Requested => false,
                };
                let entry = new
                    .drains
                    .get(place)
                    .filter(|e| ends(e.stage))
                    .ok_or(Rejection::NothingToChange)?
                    .clone();
                // One that comes back from a release is seen ready by others before the next one goes.
                if entry.target_digest.is_some() && view.informed_members < view.majority {
                    return Err(Rejection::ViewIncomplete);
                }
                if entry.target_digest.is_some() && view.out_of_service.contains(place) {
                    return Err(Rejection::NotSeenServing);
                }
                new.step(*place, entry.stage, None)?;
                // It may have come back with what is being undone.
                if let Some((r, DrainStage::Returning(_))) = new.release.as_ref().zip(Some(entry.stage)) {
                    let undone = matches!(r.phase, ReleasePhase::RollingBack(_)) && r.order == entry.order;
                    if let (true, Some(before)) =
                        (undone && entry.attempts < MAX_ATTEMPTS, r.previous_digests.get(place))
                    {
                        let wanted = DrainEntry::wanted(&entry.order, Some(before));
                        new.drains.insert(*place, DrainEntry { attempts: entry.attempts, ..wanted });
                    }
                }
            }
        }
        new.want_wave(bounds);
        new.version = self.version.saturating_add(1);
        Ok(new)
    }

    fn step(
        &mut self,
        place: RouterIndex,
        from: DrainStage,
        to: Option<DrainStage>,
    ) -> Result<(), Rejection> {
        let entry =
            self.drains.get_mut(&place).filter(|e| e.stage == from).ok_or(Rejection::NothingToChange)?;
        match to {
            Some(to) => entry.stage = to,
            None => drop(self.drains.remove(&place)),
        }
        Ok(())
    }

    fn leave(
        &mut self,
        place: RouterIndex,
        life: u64,
        bounds: &DrainLimits,
        view: &CouncilView,
    ) -> Result<(), Rejection> {
        if usize::from(place) >= bounds.zones.len() {
            return Err(Rejection::UnknownRouter(place));
        }
        self.room_for(place, bounds, view)?;
        self.step(place, DrainStage::Requested, Some(DrainStage::Leased(life)))
    }

    /// Whether anything may begin to go out.
    fn may_begin(&self, view: &CouncilView) -> Result<(), Rejection> {
        match &self.halted {
            Some(cause) => Err(Rejection::Halted(cause.clone())),
            None if view.informed_members < view.majority => Err(Rejection::ViewIncomplete),
            None => Ok(()),
        }
    }

    /// A model node is back: at once where it has not gone, else as one that is cold.
    fn put_back(&mut self, id: &str, now_ms: UnixMs) -> Result<(), Rejection> {
        let entry = self.replicas.get_mut(id).ok_or(Rejection::NothingToChange)?;
        match entry.stage {
            ReplicaStage::Requested => drop(self.replicas.remove(id)),
            ReplicaStage::OutOfService(_) => {
                (entry.stage, entry.until) = (ReplicaStage::Restored(now_ms), None)
            }
            ReplicaStage::Restored(_) => return Err(Rejection::NothingToChange),
        }
        Ok(())
    }

    /// Model nodes that were put back long ago are like any other.
    fn forget(&mut self, now_ms: UnixMs) {
        let old = |at: UnixMs| now_ms.saturating_sub(at) > replica_drains::RESTORED_RETENTION_MS;
        self.replicas.retain(|_, e| !matches!(e.stage, ReplicaStage::Restored(at) if old(at)));
    }

    fn release_begins(
        &mut self,
        order: &str,
        what: &str,
        digest: &str,
        waves: &[Vec<RouterIndex>],
        plan: &ReleasePlan,
        bounds: &DrainLimits,
    ) -> Result<(), Rejection> {
        if let Some(on) = self.release.as_ref().filter(|r| r.is_active()) {
            return Err(Rejection::ReleaseInProgress(on.order.clone()));
        }
        let all: Vec<RouterIndex> = waves.iter().flatten().copied().collect();
        let apart: BTreeSet<RouterIndex> = all.iter().copied().collect();
        let whole = (1..=MAX_WAVES).contains(&waves.len()) && waves.iter().all(|w| !w.is_empty());
        if !whole || apart.len() < all.len() {
            return Err(Rejection::InvalidWaves);
        }
        if let Some(&place) = all.iter().find(|p| usize::from(**p) >= bounds.zones.len()) {
            return Err(Rejection::UnknownRouter(place));
        }
        // Whoever is out by hand is somebody's business, and would come back by this.
        if let Some((place, e)) = self.drains.iter().find(|(p, _)| apart.contains(p)) {
            return Err(Rejection::HeldByOtherOrder(bounds.name(*place), e.order.clone()));
        }
        self.release = Some(Box::new(Release {
            order: order.into(),
            artifact: what.into(),
            digest: digest.into(),
            waves: waves.to_vec(),
            wave: 0,
            started: 0,
            phase: ReleasePhase::Running,
            previous_digests: BTreeMap::new(),
            plan: plan.clone(),
        }));
        Ok(())
    }

    /// The routers of the present wave are to go out, for what is released or for what they ran before: a few more than
    /// may at once. Guards against a wave of hundreds that all ask for leave, and a document that is sent with all of them.
    fn want_wave(&mut self, bounds: &DrainLimits) {
        let Some(r) = self.release.as_mut().filter(|r| r.is_active()) else { return };
        let wave = r.waves.get(r.wave).map_or(&[][..], Vec::as_slice);
        let mut open = self.drains.values().filter(|e| e.order == r.order).count();
        while let Some(place) =
            wave.get(r.started).filter(|_| open < (2 * bounds.total).max(MIN_STARTED_AT_ONCE))
        {
            r.started += 1;
            let to = match r.phase {
                ReleasePhase::RollingBack(_) => r.previous_digests.get(place),
                _ => Some(&r.digest),
            };
            if to.is_some() {
                self.drains.entry(*place).or_insert_with(|| DrainEntry::wanted(&r.order, to));
                open += 1;
            }
        }
    }

    /// All routers of the present wave are back.
    fn next_wave(&mut self, at: usize) -> Result<(), Rejection> {
        let Some(r) = self.release.as_mut().filter(|r| r.wave == at && r.is_active()) else {
            return Err(Rejection::NothingToChange);
        };
        if self.drains.values().any(|e| e.order == r.order) {
            return Err(Rejection::NothingToChange);
        }
        r.started = 0;
        match (&r.phase, r.wave) {
            (ReleasePhase::RollingBack(why), 0) => r.phase = ReleasePhase::RolledBack(why.clone()),
            (ReleasePhase::RollingBack(_), _) => r.wave -= 1,
            _ if r.wave + 1 == r.waves.len() => r.phase = ReleasePhase::Done,
            _ => r.wave += 1,
        }
        Ok(())
    }

    /// A check has failed: halted, or back, as the plan says. A release that is being undone goes on.
    fn fail(&mut self, why: &str) -> Result<(), Rejection> {
        let why: String = why.chars().take(MAX_CAUSE_CHARS).collect();
        let Some(r) = self.release.as_mut().filter(|r| r.phase == ReleasePhase::Running) else {
            return Ok(());
        };
        if r.plan.rolls_back {
            return self.undo(&why);
        }
        r.phase = ReleasePhase::Failed(why.clone());
        self.halted = Some(why);
        let order = r.order.clone();
        self.drains.retain(|_, e| e.order != order || e.stage != DrainStage::Requested);
        Ok(())
    }

    /// The way back: whoever has not gone stays; who is out comes back as it is; then, wave by wave, last one first, all
    /// that ran what was released go for what they ran before.
    fn undo(&mut self, why: &str) -> Result<(), Rejection> {
        let r = self.release.as_mut().ok_or(Rejection::NothingToChange)?;
        if matches!(r.phase, ReleasePhase::RollingBack(_) | ReleasePhase::RolledBack(_)) {
            return Err(Rejection::NothingToChange);
        }
        (r.phase, r.started) = (ReleasePhase::RollingBack(why.into()), 0);
        let order = r.order.clone();
        self.drains.retain(|_, e| e.order != order || e.stage != DrainStage::Requested);
        for e in self.drains.values_mut().filter(|e| e.order == order) {
            if let DrainStage::Leased(life) | DrainStage::OutOfService(life) = e.stage {
                e.stage = DrainStage::Returning(life);
            }
        }
        Ok(())
    }

    /// Whether one more may go out. What fails counts like what is planned: no new one begins while failures fill the
    /// bound.
    fn room_for(
        &self,
        place: RouterIndex,
        bounds: &DrainLimits,
        view: &CouncilView,
    ) -> Result<(), Rejection> {
        self.may_begin(view)?;
        let mut out = self.out_of_service(view);
        out.remove(&place);
        if out.len() + 1 > bounds.total {
            return Err(Rejection::FleetLimitReached(bounds.total));
        }
        let zone = |p: RouterIndex| bounds.zones.get(usize::from(p));
        if out.iter().filter(|&&p| zone(p) == zone(place)).count() + 1 > bounds.per_zone {
            return Err(Rejection::ZoneLimitReached(bounds.per_zone));
        }
        // Members forget when they start anew, and are out until they take part again.
        let most = (bounds.council.len().saturating_sub(1) / 2).max(1);
        if bounds.council.contains(&place)
            && out.iter().filter(|p| bounds.council.contains(p)).count() >= most
        {
            return Err(Rejection::CouncilLimitReached(most));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
