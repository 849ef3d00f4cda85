//! Orders to drain routers, and the routers' reports about their own drains.

use serde::{Deserialize, Serialize};
use tallypin_membership::{Incarnation, RouterIndex};

use super::{CouncilView, DrainLimits, FleetState, Rejection, ReleaseLeaseRequest, RouterIncarnation};
use crate::release::{ReleasePhase, MAX_ATTEMPTS};

/// The stage of a router's drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainStage {
    /// The router is to drain as soon as the limits allow it.
    #[serde(rename = "wanted")]
    Requested,
    /// The router holds the drain lease in this incarnation, and has not reported that it drains.
    #[serde(rename = "leave")]
    Leased(Incarnation),
    /// This incarnation has reported that the router drains or has drained.
    #[serde(rename = "out")]
    OutOfService(Incarnation),
    /// The router is to return, and counts as out of service until it reports that it serves.
    #[serde(rename = "back")]
    Returning(Incarnation),
}

impl DrainStage {
    /// Whether a router in this stage counts as out of service for the limits.
    pub(super) fn counts_as_out_of_service(self) -> bool {
        self != DrainStage::Requested
    }
}

/// The drain of one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainEntry {
    /// The stage of the drain.
    pub stage: DrainStage,
    /// Id of the order that requested the drain.
    pub order: String,
    /// In a release, the digest of the file that the router is to run when it returns.
    #[serde(default, rename = "to", skip_serializing_if = "Option::is_none")]
    pub target_digest: Option<String>,
    /// Number of times that the router returned without running the file of `target_digest`.
    #[serde(default, rename = "tries")]
    pub attempts: u8,
}

impl DrainEntry {
    /// Creates a drain that has been ordered and has not begun.
    pub(super) fn requested(order: &str, target_digest: Option<&String>) -> DrainEntry {
        DrainEntry {
            stage: DrainStage::Requested,
            order: order.into(),
            target_digest: target_digest.cloned(),
            attempts: 0,
        }
    }
}

impl FleetState {
    pub(super) fn drain_routers(
        &mut self,
        order: &str,
        routers: &[RouterIndex],
        limits: &DrainLimits,
    ) -> Result<(), Rejection> {
        for &router in routers {
            limits.check_known(router)?;
            // An existing drain is kept in any stage: a router that is returning is not drained again by this order.
            self.drains.entry(router).or_insert_with(|| DrainEntry::requested(order, None));
        }
        Ok(())
    }

    pub(super) fn restore_routers(
        &mut self,
        routers: &[RouterIndex],
        limits: &DrainLimits,
    ) -> Result<(), Rejection> {
        for &router in routers {
            limits.check_known(router)?;
            let Some(drain) = self.drains.get_mut(&router) else { continue };
            match drain.stage {
                DrainStage::Requested => drop(self.drains.remove(&router)),
                DrainStage::Leased(incarnation) | DrainStage::OutOfService(incarnation) => {
                    drain.stage = DrainStage::Returning(incarnation);
                }
                DrainStage::Returning(_) => {}
            }
        }
        Ok(())
    }

    pub(super) fn grant_lease(
        &mut self,
        holder: RouterIncarnation,
        limits: &DrainLimits,
        view: &CouncilView,
    ) -> Result<(), Rejection> {
        limits.check_known(holder.router)?;
        self.check_limits(holder.router, limits, view)?;
        self.advance(holder.router, DrainStage::Requested, DrainStage::Leased(holder.incarnation))
    }

    pub(super) fn grant_release_lease(
        &mut self,
        request: &ReleaseLeaseRequest,
        limits: &DrainLimits,
        view: &CouncilView,
    ) -> Result<(), Rejection> {
        let &ReleaseLeaseRequest { router, incarnation, .. } = request;
        self.grant_lease(RouterIncarnation { router, incarnation }, limits, view)?;
        if let Some(release) = &mut self.release {
            // Only the first request has the file from before the release: on a later attempt another file may be running.
            let previous = release.previous_digests.entry(router);
            previous.or_insert_with(|| request.running_digest.clone());
        }
        Ok(())
    }

    pub(super) fn use_lease(&mut self, holder: RouterIncarnation) -> Result<(), Rejection> {
        let RouterIncarnation { router, incarnation } = holder;
        self.advance(router, DrainStage::Leased(incarnation), DrainStage::OutOfService(incarnation))
    }

    pub(super) fn return_lease(&mut self, holder: RouterIncarnation) -> Result<(), Rejection> {
        let RouterIncarnation { router, incarnation } = holder;
        self.advance(router, DrainStage::Leased(incarnation), DrainStage::Requested)
    }

    /// Ends the drain of a router that was to return, or that has restarted since it drained.
    pub(super) fn report_serving(
        &mut self,
        reporter: RouterIncarnation,
        view: &CouncilView,
    ) -> Result<(), Rejection> {
        let RouterIncarnation { router, incarnation } = reporter;
        let may_end = |stage| match stage {
            DrainStage::Returning(_) => true,
            DrainStage::Leased(of) | DrainStage::OutOfService(of) => of != incarnation,
            DrainStage::Requested => false,
        };
        let drain = self.drains.get(&router).filter(|drain| may_end(drain.stage));
        let drain = drain.ok_or(Rejection::NothingToChange)?;
        // In a release, a majority must see the router ready before the next one leaves service.
        if drain.target_digest.is_some() {
            view.check_complete()?;
            if view.out_of_service.contains(&router) {
                return Err(Rejection::NotSeenServing);
            }
        }
        if let Some(drain) = self.drains.remove(&router) {
            self.drain_again_for_roll_back(router, &drain);
        }
        Ok(())
    }

    /// Requests another drain of a router that returns during a roll-back, as it may run the released file.
    fn drain_again_for_roll_back(&mut self, router: RouterIndex, ended: &DrainEntry) {
        let Some(release) = &self.release else { return };
        let rolls_back =
            matches!(release.phase, ReleasePhase::RollingBack(_)) && release.order == ended.order;
        if !rolls_back || !matches!(ended.stage, DrainStage::Returning(_)) || ended.attempts >= MAX_ATTEMPTS {
            return;
        }
        if let Some(previous) = release.previous_digests.get(&router) {
            let requested = DrainEntry::requested(&ended.order, Some(previous));
            self.drains.insert(router, DrainEntry { attempts: ended.attempts, ..requested });
        }
    }

    /// Moves a router's drain from one stage to another; rejects the command if the drain is in a different stage.
    fn advance(&mut self, router: RouterIndex, from: DrainStage, to: DrainStage) -> Result<(), Rejection> {
        let drain = self.drains.get_mut(&router).filter(|drain| drain.stage == from);
        drain.ok_or(Rejection::NothingToChange)?.stage = to;
        Ok(())
    }
}
