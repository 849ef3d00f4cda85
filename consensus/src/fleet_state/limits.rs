//! How many routers may be out of service at once, and what the council must have seen before one more may go.

use std::collections::{BTreeMap, BTreeSet};

use tallypin_membership::RouterIndex;

use super::{FleetState, Rejection};
use crate::replica_drains::{ReplicaLimits, ReplicaView, UnixMs};

/// The configured limits. All routers of a fleet have the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainLimits {
    /// The name of each router, by [`RouterIndex`], for causes.
    pub names: Vec<String>,
    /// The zone of each router, by [`RouterIndex`]. Its length is the size of the fleet.
    pub zones: Vec<u16>,
    /// How many routers may be out of service at once, in all.
    pub total: usize,
    /// How many may be in any one zone.
    pub per_zone: usize,
    /// The members of the council. Planned drains never take away the majority of those that remember.
    pub council: Vec<RouterIndex>,
    /// The limits of replicas; `None`: no replica may leave service by order.
    pub replicas: Option<ReplicaLimits>,
}

impl DrainLimits {
    /// The name of a router, or its index in words where the fleet has none of this index.
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

    /// How many members of the council may be out at once: a minority, and at least one, or none could be restarted.
    fn council_limit(&self) -> usize {
        (self.council.len().saturating_sub(1) / 2).max(1)
    }
}

/// What a majority of the council has seen when a command is applied.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CouncilView {
    /// Members that replied and have listened for long enough to know who is silent.
    pub informed_members: usize,
    /// How many members are a majority.
    pub majority: usize,
    /// Routers that any of these members considers out of service.
    pub out_of_service: BTreeSet<RouterIndex>,
    /// The replicas by id, from a recent endpoint list; `None`: the proposer has none.
    pub replicas: Option<BTreeMap<String, ReplicaView>>,
    /// The proposer's wall clock.
    pub unix_ms: UnixMs,
}

impl CouncilView {
    /// Checks that a majority knows who is silent.
    pub(super) fn check_complete(&self) -> Result<(), Rejection> {
        match self.informed_members < self.majority {
            true => Err(Rejection::ViewIncomplete),
            false => Ok(()),
        }
    }
}

impl FleetState {
    /// The routers that count as out of service: by order, or as the council sees them.
    pub fn out_of_service(&self, view: &CouncilView) -> BTreeSet<RouterIndex> {
        let ordered = self.drains.iter().filter(|(_, drain)| drain.stage.counts_as_out());
        ordered.map(|(&router, _)| router).chain(view.out_of_service.iter().copied()).collect()
    }

    /// Checks that any drain may begin at all.
    pub(super) fn check_may_begin(&self, view: &CouncilView) -> Result<(), Rejection> {
        match &self.halted {
            Some(cause) => Err(Rejection::Halted(cause.clone())),
            None => view.check_complete(),
        }
    }

    /// Checks that this router may leave service as well.
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
        // A member forgets when it restarts, and counts as out until it takes part again.
        let council_limit = limits.council_limit();
        let is_member = |of: &RouterIndex| limits.council.contains(of);
        if is_member(&router) && others.iter().filter(|&other| is_member(other)).count() >= council_limit {
            return Err(Rejection::CouncilLimitReached(council_limit));
        }
        Ok(())
    }
}
