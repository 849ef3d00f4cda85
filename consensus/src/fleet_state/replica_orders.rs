//! Orders to take replicas out of service and to return them to service.

use super::{CouncilView, DrainLimits, FleetState, Rejection};
use crate::replica_drains::{
    check_limits, ReplicaEntry, ReplicaStage, UnixMs, MAX_REPLICA_DRAINS, MAX_REPLICA_ID_BYTES,
    RESTORED_RETENTION_MS,
};

impl FleetState {
    pub(super) fn drain_replicas(
        &mut self,
        order: &str,
        replicas: &[String],
        until: Option<UnixMs>,
        limits: &DrainLimits,
        view: &CouncilView,
    ) -> Result<(), Rejection> {
        let listed = view.replicas.as_ref().ok_or(Rejection::EndpointListStale)?;
        limits.replicas.ok_or(Rejection::ReplicaOrdersDisabled)?;
        for id in replicas {
            if id.len() > MAX_REPLICA_ID_BYTES || !listed.contains_key(id) {
                return Err(Rejection::UnknownReplica(id.chars().take(MAX_REPLICA_ID_BYTES).collect()));
            }
            match self.replicas.get_mut(id) {
                // A replica that is already out of service stays so until the end of the period that was ordered last.
                Some(drain) if !matches!(drain.stage, ReplicaStage::Restored(_)) => drain.until = until,
                _ => {
                    let requested =
                        ReplicaEntry { stage: ReplicaStage::Requested, order: order.into(), until };
                    self.replicas.insert(id.clone(), requested);
                }
            }
        }
        self.remove_expired_restored(view.unix_ms);
        match self.replicas.len() > MAX_REPLICA_DRAINS {
            true => Err(Rejection::TooManyReplicas),
            false => Ok(()),
        }
    }

    pub(super) fn restore_replicas(&mut self, replicas: &[String], now: UnixMs) -> Result<(), Rejection> {
        for id in replicas {
            self.restore_replica(id, now).map_err(|_| Rejection::UnknownReplica(id.clone()))?;
        }
        Ok(())
    }

    /// Takes a replica out of service if the limits allow it, or returns it to service at the end of its period.
    pub(super) fn advance_replica(
        &mut self,
        id: &str,
        limits: &DrainLimits,
        view: &CouncilView,
    ) -> Result<(), Rejection> {
        let drain = self.replicas.get(id).ok_or(Rejection::NothingToChange)?;
        let expired = drain.until.is_some_and(|until| view.unix_ms >= until);
        match drain.stage {
            ReplicaStage::Requested | ReplicaStage::OutOfService(_) if expired => {
                self.restore_replica(id, view.unix_ms)
            }
            ReplicaStage::Requested => {
                self.check_may_begin(view)?;
                let listed = view.replicas.as_ref().ok_or(Rejection::EndpointListStale)?;
                let limits = limits.replicas.as_ref().ok_or(Rejection::ReplicaOrdersDisabled)?;
                check_limits(id, &self.replicas, limits, listed).map_err(Rejection::ReplicaLimitReached)?;
                // Version of the fleet state after this change.
                let since = self.version.saturating_add(1);
                let drain = self.replicas.get_mut(id).ok_or(Rejection::NothingToChange)?;
                drain.stage = ReplicaStage::OutOfService(since);
                Ok(())
            }
            ReplicaStage::OutOfService(_) | ReplicaStage::Restored(_) => Err(Rejection::NothingToChange),
        }
    }

    /// Returns a replica to service, with a slow start if it had left service.
    fn restore_replica(&mut self, id: &str, now: UnixMs) -> Result<(), Rejection> {
        let drain = self.replicas.get_mut(id).ok_or(Rejection::NothingToChange)?;
        match drain.stage {
            ReplicaStage::Requested => drop(self.replicas.remove(id)),
            ReplicaStage::OutOfService(_) => {
                (drain.stage, drain.until) = (ReplicaStage::Restored(now), None);
            }
            ReplicaStage::Restored(_) => return Err(Rejection::NothingToChange),
        }
        Ok(())
    }

    /// Removes entries of replicas that were restored long enough ago to have completed their slow start on all routers.
    fn remove_expired_restored(&mut self, now: UnixMs) {
        let is_old = |restored: UnixMs| now.saturating_sub(restored) > RESTORED_RETENTION_MS;
        self.replicas
            .retain(|_, drain| !matches!(drain.stage, ReplicaStage::Restored(restored) if is_old(restored)));
    }
}
