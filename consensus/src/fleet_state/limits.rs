//! Limits on the number of routers out of service at once, and the council's view that is required before another may leave.

use std::collections::{BTreeMap, BTreeSet};

use tallypin_membership::RouterIndex;

use super::{FleetState, Rejection};
use crate::replica_drains::{ReplicaLimits, ReplicaView, UnixMs};

/// The configured limits, which are the same on all routers of a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainLimits {
    /// The name of each router, by [`RouterIndex`], used in causes.
    pub names: Vec<String>,
    /// The zone of each router, by [`RouterIndex`]. The length is the size of the fleet.
    pub zones: Vec<u16>,
    /// Maximum number of routers out of service at once in the fleet.
    pub total: usize,
    /// Maximum number of routers out of service at once in any one zone.
    pub per_zone: usize,
    /// The members of the council. Planned drains never remove the majority that remembers the register.
    pub council: Vec<RouterIndex>,
    /// The limits of replicas; `None` if no replica may leave service by order.
    pub replicas: Option<ReplicaLimits>,
}

impl DrainLimits {
    /// Returns the name of a router, or `router INDEX` if the fleet has no router of this index.
    pub(crate) fn name(&self, router: RouterIndex) -> String {
        self.names.get(usize::from(router)).cloned().unwrap_or_else(|| format!("router {router}"))
    }

    /// Checks that the fleet has this router.
    pub(super) fn check_known(&self, router: RouterIndex) -> Result<(), Rejection> {
        match usize::from(router) < self.zones.len() {
            true => Ok(()),
            false => Err(Rejection::UnknownRouter(router)),
        }
    }

    /// Maximum number of council members out of service at once: a minority, but at least one, so that members can be restarted.
    fn council_limit(&self) -> usize {
        (self.council.len().saturating_sub(1) / 2).max(1)
    }
}

/// What a majority of the council knows of routers and replicas when a command is applied.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CouncilView {
    /// Number of members that replied and have listened for long enough to know which routers are silent.
    pub informed_members: usize,
    /// Number of members that make a majority.
    pub majority: usize,
    /// Routers that any of the informed members considers out of service.
    pub out_of_service: BTreeSet<RouterIndex>,
    /// The replicas by id, from a recent endpoint list; `None` if the proposer has no recent list.
    pub replicas: Option<BTreeMap<String, ReplicaView>>,
    /// The proposer's wall clock.
    pub unix_ms: UnixMs,
}

impl CouncilView {
    /// Checks that a majority of the council knows which routers are silent.
    pub(super) fn check_complete(&self) -> Result<(), Rejection> {
        match self.informed_members < self.majority {
            true => Err(Rejection::ViewIncomplete),
            false => Ok(()),
        }
    }
}

impl FleetState {
    /// Returns the routers that count as out of service: by order, or in the council's view.
    pub fn out_of_service(&self, view: &CouncilView) -> BTreeSet<RouterIndex> {
        let ordered = self.drains.iter().filter(|(_, drain)| drain.stage.counts_as_out_of_service());
        ordered.map(|(&router, _)| router).chain(view.out_of_service.iter().copied()).collect()
    }

    /// Checks that drains may begin: the fleet is not halted and the view is complete.
    pub(super) fn check_may_begin(&self, view: &CouncilView) -> Result<(), Rejection> {
        match &self.halted {
            Some(cause) => Err(Rejection::Halted(cause.clone())),
            None => view.check_complete(),
        }
    }

    /// Checks that this router may leave service in addition to those that are out of service.
    ///
    /// Failures count like planned drains: no drain begins while failures fill a limit.
    pub(super) fn check_limits(
        &self,
        router: RouterIndex,
        limits: &DrainLimits,
        view: &CouncilView,
    ) -> Result<(), Rejection> {
        self.check_may_begin(view)?;
        let mut others = self.out_of_service(view);
        others.remove(&router);
        if others.len() >= limits.total {
            return Err(Rejection::FleetLimitReached(limits.total));
        }
        let zone = |of: RouterIndex| limits.zones.get(usize::from(of));
        if others.iter().filter(|&&other| zone(other) == zone(router)).count() >= limits.per_zone {
            return Err(Rejection::ZoneLimitReached(limits.per_zone));
        }
        // A restarted member has lost its memory and counts as out of service until it has joined again.
        let council_limit = limits.council_limit();
        let is_member = |of: &RouterIndex| limits.council.contains(of);
        if is_member(&router) && others.iter().filter(|&other| is_member(other)).count() >= council_limit {
            return Err(Rejection::CouncilLimitReached(council_limit));
        }
        Ok(())
    }
}
