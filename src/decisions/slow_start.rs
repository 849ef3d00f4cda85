//! Decides how many requests a replica gets while it is warming up (rule 4), and for how long it counts as
//! warming up.

use super::Balancer;
use crate::api::{Nanos, SECOND};
use crate::rendezvous_hash::{mix, router_phase};
use crate::state::replica::Replica;
use crate::warm_up;

/// Maximum saved credit of a warming replica, in requests.
const MAX_CREDIT: f64 = 2.0;
/// Minimum share, 0 to 1, of a warming replica's credits that this router is assumed to use; it pays one
/// credit per request that it sends to the replica. Credits not used within the overload window are lost. To
/// make up for them, the credit earned per second is divided by the used share, so this minimum limits the
/// extra credit: a router earns at most 1 / 0.3 times as much.
const MIN_CREDIT_USE_SHARE: f64 = 0.3;

impl Balancer {
    /// Returns whether a replica is within its warm-up time.
    pub(crate) fn is_warming_up(&self, now: Nanos, replica: &Replica) -> bool {
        replica.warming_up_since.is_some_and(|since| now < since.saturating_add(self.settings.warm_up_time))
    }

    /// Returns a replica's current capacity as a share of its capacity when warm, 0 to 1.
    pub(crate) fn capacity_share(&self, now: Nanos, replica: &Replica) -> f64 {
        let (warm_up_time, initial) = (self.settings.warm_up_time, self.settings.initial_capacity_share);
        replica
            .warming_up_since
            .map_or(1.0, |since| warm_up::capacity_share(now.saturating_sub(since), warm_up_time, initial))
    }

    /// Returns the credit of a warming replica at `now`, in requests. Each request to it costs one credit.
    ///
    /// Rule 4: this router sends a warming replica at most its own part of the allowed load: the overload
    /// multiple times this router's mean rate per replica, times the capacity share, and less for a slow kind
    /// of machine. The parts of all routers add up to the allowed load, however uneven their traffic is; the
    /// part of a router that dies passes to those that get its traffic. A whole credit not used within the
    /// overload window is lost. Otherwise hundreds of routers could each save one and use them together when
    /// the other replicas are full. To compensate, a router with few requests earns more by the share that it
    /// will lose. Replicas that leave together do not raise the mean rate of the others at once, as the
    /// remaining ones have no more capacity than before.
    pub(super) fn slow_start_credit(&self, now: Nanos, replica: &Replica) -> f64 {
        let window_s = self.settings.overload_window as f64 / SECOND as f64;
        let since_last_period = now.saturating_sub(self.report_period.last_end);
        let own_rate = self.statistics.first_tokens_per_s(now, since_last_period);
        let arrivals = self.statistics.arrivals_per_s(since_last_period).max(own_rate);
        let used_share = (1.0 - (-arrivals * window_s).exp()).max(MIN_CREDIT_USE_SHARE);
        let capacity =
            self.capacity_share(now, replica) * self.statistics.speed_of_kind(replica.entry.kind).min(1.0);
        let rate_per_replica =
            self.settings.overload_multiple * own_rate / self.statistics.ready_replicas.max(1.0);
        let credit_per_s = rate_per_replica * capacity / used_share;
        let elapsed_s = now.saturating_sub(replica.credit_updated_at) as f64 / SECOND as f64;
        let saved = replica.slow_start_credit + elapsed_s * credit_per_s;
        let max_credit = (1.0 + credit_per_s * window_s).min(MAX_CREDIT);
        let excess = (saved - max_credit).max(0.0);
        // Excess credit is lost in full credits, unless the window earns enough to reach the maximum: then
        // only the part above the maximum is lost.
        saved - if max_credit < MAX_CREDIT { excess.ceil() } else { excess }
    }

    /// Charges one credit for a request sent to a warming replica. After the warm-up time, ends the warm-up
    /// instead.
    pub(super) fn spend_slow_start_credit(&mut self, now: Nanos, slot: usize) {
        if self.is_warming_up(now, &self.replicas[slot]) {
            let credit = self.slow_start_credit(now, &self.replicas[slot]) - 1.0;
            let replica = &mut self.replicas[slot];
            (replica.slow_start_credit, replica.credit_updated_at) = (credit, now);
        } else {
            self.replicas.set_warming_up(slot, None);
        }
    }

    /// Starts the warm-up of a replica that is new or has restarted, if its plausible start time is recent
    /// enough.
    pub(super) fn begin_slow_start(&mut self, now: Nanos, slot: usize) {
        let replica = &mut self.replicas[slot];
        let (id, started_at) = (replica.entry.replica, replica.entry.started_at);
        // Initial credits of the routers are spaced evenly below one request: at any time some router can
        // send one, and never all at once.
        let phase =
            router_phase(mix(id.0, started_at), self.settings.own_index.0, self.settings.router_count);
        (replica.slow_start_credit, replica.credit_updated_at) = (1.0 - phase, now);
        let plausible_start = self.list_polling.plausible_start(now, started_at);
        let ends_at = plausible_start.saturating_add(self.settings.warm_up_time);
        self.replicas.set_warming_up(slot, (started_at > 0 && now < ends_at).then_some(plausible_start));
    }

    /// Starts the warm-up of a replica that answers again after a long silence, as it may have restarted. It
    /// begins now, without credit.
    pub(super) fn restart_slow_start(&mut self, now: Nanos, slot: usize) {
        let replica = &mut self.replicas[slot];
        (replica.slow_start_credit, replica.credit_updated_at) = (0.0, now);
        self.replicas.set_warming_up(slot, Some(now));
    }
}
