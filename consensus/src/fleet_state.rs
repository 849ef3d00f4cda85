//! The state that a fleet agrees on: which routers and replicas are out of service by order, whether any drain may begin,
//! and the release that is in progress.
//!
//! [`FleetState::apply`] decides each [`Command`] where it is proposed, against the [`DrainLimits`] and against what a
//! majority of the council has heard of each router ([`CouncilView`]). It is a pure function: the register of
//! [`crate::register`] holds its results.
//!
//! Invariants, tested in `tests/fleet` and beside this module:
//!
//! 1. A drain lease is granted only if with it no more routers are out of service than the limits allow, in the fleet and
//!    in the router's zone. Routers count that are out by order, and those that any member of a majority of the council
//!    considers out.
//! 2. While the fleet is halted no lease is granted.
//! 3. An operator's order runs once, whoever sends it and however often.
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
pub use rejection::{HeldRouter, Rejection};
pub use router_drains::{DrainEntry, DrainStage};

use crate::release::Release;
use crate::replica_drains::ReplicaEntries;

/// How many orders are remembered, so that one that is sent again does not run again.
pub(crate) const MAX_REMEMBERED_ORDERS: usize = 64;
/// The longest id of an order, and the longest cause of a halt, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;
/// The longest cause of a failed check that is stored, in characters; what is longer is cut.
pub const MAX_CAUSE_CHARS: usize = 200;

/// Versions that are skipped when some may be lost: far more than can be chosen while a majority restarts.
const VERSION_GAP_AFTER_LOSS: u64 = 1_000_000;
/// The cause of the halt of a fleet that begins with nothing known.
const HALTED_AT_FIRST: &str = "the council's memory begins anew";
/// The cause of the halt of a fleet that continues from an older state.
const HALTED_AFTER_LOSS: &str = "most of the council's memory was lost, what was agreed on last may be";

/// What the fleet agrees on.
///
/// Serialized names are those of the wire and of the stored file, as with [`Command`]. Fields with defaults are absent
/// from what earlier versions wrote.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FleetState {
    /// Raised by one with each change.
    pub version: u64,
    /// Why no drain may begin; `None`: drains may begin.
    pub halted: Option<String>,
    /// The routers that are out of service by order, or are to be. At most one entry each.
    #[serde(rename = "entries")]
    pub drains: BTreeMap<RouterIndex, DrainEntry>,
    /// The ids of the latest orders, the oldest first.
    #[serde(rename = "orders")]
    pub recent_orders: VecDeque<String>,
    /// The replicas that are out of service by order, are to be, or were put back recently, by id.
    #[serde(default, rename = "nodes")]
    pub replicas: ReplicaEntries,
    /// The release in progress, or the last one.
    #[serde(default)]
    pub release: Option<Box<Release>>,
}

impl FleetState {
    /// The state with which a council begins whose memory is lost, built on what is still known, if anything.
    ///
    /// What was agreed on since `known` may be lost, so that the state is halted until an operator resumes. Its version is
    /// above any that may be lost, as routers follow the newest version that they have heard of.
    pub fn bootstrap(known: Option<&FleetState>) -> FleetState {
        let cause = match known {
            None => HALTED_AT_FIRST,
            // A first state that not all members had accepted yet, or that nobody has resumed.
            Some(known) if known.halted.as_deref() == Some(HALTED_AT_FIRST) => HALTED_AT_FIRST,
            Some(_) => HALTED_AFTER_LOSS,
        };
        let known = known.cloned().unwrap_or_default();
        let version = known.version.saturating_add(VERSION_GAP_AFTER_LOSS);
        FleetState { version, halted: Some(cause.into()), ..known }
    }

    /// The state after a command. One that has no effect, such as an order that has run before, returns the same state.
    ///
    /// # Errors
    ///
    /// Why the command is rejected. The state stays as it is.
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
        if self.recent_orders.len() > MAX_REMEMBERED_ORDERS {
            self.recent_orders.pop_front();
        }
    }

    /// Carries a command out on a copy of the state, which the caller drops when the command is rejected.
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
