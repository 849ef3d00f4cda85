//! The state that a fleet agrees on: which routers and replicas are out of service by order, whether any drain may begin,
//! and the release that is in progress.
//!
//! [`FleetState::apply`] decides each [`Command`] at the proposer, against the [`DrainLimits`] and against what a majority
//! of the council knows of each router ([`CouncilView`]). It is a pure function; its results are stored in the register of
//! [`crate::register`].
//!
//! Invariants, tested in `tests/fleet` and beside this module:
//!
//! 1. A drain lease is granted only if the routers out of service, this one included, stay within the limits of the fleet
//!    and of the router's zone. Routers that are out of service by order count, and so do those that any member of a
//!    majority of the council considers out of service.
//! 2. While the fleet is halted no lease is granted.
//! 3. An operator's order is executed once, however often and from wherever it is sent.
//! 4. A rejected command changes nothing.

mod command;
mod limits;
mod rejection;
mod release_orders;
mod replica_orders;
mod router_drains;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use tallypin_membership::RouterIndex;

pub use command::{Command, ReleaseLeaseRequest, ReleaseOrder, RouterIncarnation, UnfitReport, WaveFailure};
pub use limits::{CouncilView, DrainLimits};
pub use rejection::{ConflictingDrain, Rejection};
pub use router_drains::{DrainEntry, DrainStage};

use crate::release::Release;
use crate::replica_drains::ReplicaEntries;

/// Number of recent order ids that are kept, so that an order that is sent again is not executed again.
pub(crate) const MAX_RECENT_ORDERS: usize = 64;
/// Maximum length of an order's id and of the cause of a halt, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;
/// Maximum length of the stored cause of a failed check, in characters; longer ones are truncated.
pub const MAX_CAUSE_CHARS: usize = 200;

/// Number of versions skipped when some may be lost: far more than can be chosen while a majority restarts.
const VERSION_GAP_AFTER_LOSS: u64 = 1_000_000;
/// Cause of the halt of a fleet that starts without any known state. It is stored in the fleet state.
const NEW_COUNCIL_HALT_CAUSE: &str = "the council's memory begins anew";
/// Cause of the halt of a fleet that continues from a state that may be outdated. It is stored in the fleet state.
const MEMORY_LOSS_HALT_CAUSE: &str = "most of the council's memory was lost, what was agreed on last may be";

/// The state that the fleet agrees on.
///
/// Serialized names are those of the wire and of the stored file, as in [`Command`]. Fields with defaults are absent from
/// files of earlier versions.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FleetState {
    /// Incremented by each change.
    pub version: u64,
    /// Cause of the halt, during which no drain may begin; `None` if drains may begin.
    pub halted: Option<String>,
    /// The routers that are out of service by order, or are to leave service. At most one entry per router.
    #[serde(rename = "entries")]
    pub drains: BTreeMap<RouterIndex, DrainEntry>,
    /// The ids of the latest orders, oldest first.
    #[serde(rename = "orders")]
    pub recent_orders: VecDeque<String>,
    /// The replicas, by id, that are out of service by order, are to leave service, or were restored recently.
    #[serde(default, rename = "nodes")]
    pub replicas: ReplicaEntries,
    /// The release in progress, or the last one.
    #[serde(default)]
    pub release: Option<Box<Release>>,
}

impl FleetState {
    /// Creates the first state of a council that has lost its memory, based on the last `known` state, if there is one.
    ///
    /// Changes since `known` may be lost, so the state is halted until an operator resumes. Its version is above any that
    /// may be lost, because routers follow the newest version that they have received.
    pub fn bootstrap(known: Option<&FleetState>) -> FleetState {
        let cause = match known {
            None => NEW_COUNCIL_HALT_CAUSE,
            // `known` is itself a first state that not all members had accepted, or that no operator has resumed.
            Some(known) if known.halted.as_deref() == Some(NEW_COUNCIL_HALT_CAUSE) => NEW_COUNCIL_HALT_CAUSE,
            Some(_) => MEMORY_LOSS_HALT_CAUSE,
        };
        let known = known.cloned().unwrap_or_default();
        let version = known.version.saturating_add(VERSION_GAP_AFTER_LOSS);
        FleetState { version, halted: Some(cause.into()), ..known }
    }

    /// Returns the state after a command. A command without effect, such as a repeated order, returns the same state.
    ///
    /// # Errors
    ///
    /// Returns why the command is rejected. The state is unchanged.
    pub fn apply(
        &self,
        command: &Command,
        limits: &DrainLimits,
        view: &CouncilView,
    ) -> Result<FleetState, Rejection> {
        if matches!(command, Command::Read | Command::JoinCouncil(_)) {
            return Ok(self.clone());
        }
        command.check_texts()?;
        let mut next = self.clone();
        if let Some(order) = command.order_id() {
            if self.recent_orders.iter().any(|known| known == order) {
                return Ok(next);
            }
            next.remember_order(order);
        }
        next.execute(command, limits, view)?;
        next.request_wave(limits);
        next.version = self.version.saturating_add(1);
        Ok(next)
    }

    fn remember_order(&mut self, order: &str) {
        self.recent_orders.push_back(order.into());
        if self.recent_orders.len() > MAX_RECENT_ORDERS {
            self.recent_orders.pop_front();
        }
    }

    /// Executes a command on a copy of the state, which the caller drops when the command is rejected.
    fn execute(
        &mut self,
        command: &Command,
        limits: &DrainLimits,
        view: &CouncilView,
    ) -> Result<(), Rejection> {
        match command {
            Command::Read | Command::JoinCouncil(_) => {}
            Command::Halt { cause, .. } => self.halted = Some(cause.clone()),
            Command::Resume { .. } => self.halted = None,
            Command::Drain { order, routers } => self.drain_routers(order, routers, limits)?,
            Command::Restore { routers, .. } => self.restore_routers(routers, limits)?,
            Command::AcquireLease(holder) => self.grant_lease(*holder, limits, view)?,
            Command::AcquireReleaseLease(request) => self.grant_release_lease(request, limits, view)?,
            Command::UseLease(holder) => self.use_lease(*holder)?,
            Command::ReturnLease(holder) => self.return_lease(*holder)?,
            Command::ReportServing(reporter) => self.report_serving(*reporter, view)?,
            Command::DrainReplicas { order, replicas, until } => {
                self.drain_replicas(order, replicas, *until, limits, view)?;
            }
            Command::RestoreReplicas { replicas, .. } => self.restore_replicas(replicas, view.unix_ms)?,
            Command::AdvanceReplica(id) => self.advance_replica(id, limits, view)?,
            Command::BeginRelease(release) => self.begin_release(release, limits)?,
            Command::RollBack { cause, .. } => self.roll_back(cause)?,
            Command::CompleteWave(wave) => self.complete_wave(*wave)?,
            Command::FailWave(failure) => self.fail_wave(failure)?,
            Command::ReportUpToDate(router) => self.report_up_to_date(*router)?,
            Command::ReportUnfit(report) => self.report_unfit(report, limits)?,
            Command::RetryRelease(reporter) => self.retry_release(*reporter, limits)?,
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
