//! Decides how much a replica gets while it is warming up (rule 4), and for how long it is taken to.

use super::Balancer;
use crate::api::{Nanos, SECOND};
use crate::rendezvous_hash::{mix, turn};
use crate::state::replica::Replica;
use crate::warm_up;

/// The most credit saved for a warming replica, in requests.
const MAX_CREDIT: f64 = 2.0;
/// At least this share of credits is taken to be used. Bounds what is earned in place of those lost.
const MIN_CREDIT_USE: f64 = 0.3;

impl Balancer {
    /// Whether a replica is within its warm-up time.
    pub(crate) fn is_warming_up(&self, now: Nanos, replica: &Replica) -> bool {
        replica.warming_up_since.is_some_and(|since| now < since.saturating_add(self.settings.warm_up_time))
    }

    /// What a replica is taken to be able to do, as a share of what it can when warm.
    pub(crate) fn capacity_share(&self, now: Nanos, replica: &Replica) -> f64 {
        let (warm_up_time, initial) = (self.settings.warm_up_time, self.settings.initial_capacity_share);
        replica
            .warming_up_since
            .map_or(1.0, |since| warm_up::capacity_share(now.saturating_sub(since), warm_up_time, initial))
    }

    /// The credit of a warming replica at `now`, in requests: it gets one only while there is credit for it.
    ///
    /// Rule 4: this router sends a warming replica at most its part of what the rule allows: the stated
    /// multiple of its own mean flow per replica, times the capacity share, and less where its kind is slow.
    /// N routers doing so sum to that of all routers, however uneven, and one that dies leaves its part to
    /// those that get its traffic. A whole credit not used within the rule's window is lost: guards against
    /// hundreds of routers that each keep one and use them together, when the others have no capacity. So a
    /// router with few requests gains by as much more as it will lose. Replicas that leave at once don't
    /// raise the mean flow of the others: what is left can do no more than before.
    pub(super) fn slow_start_credit(&self, now: Nanos, replica: &Replica) -> f64 {
        let window_s = self.settings.overload_window as f64 / SECOND as f64;
        let since_period = now.saturating_sub(self.report_period.last_end);
        let own_flow = self.statistics.first_tokens_per_s(now, since_period);
        let arrivals = self.statistics.arrivals_per_s(since_period).max(own_flow);
        let used_share = (1.0 - (-arrivals * window_s).exp()).max(MIN_CREDIT_USE);
        let capacity =
            self.capacity_share(now, replica) * self.statistics.speed_of_kind(replica.entry.kind).min(1.0);
        let flow_per_replica =
            self.settings.overload_multiple * own_flow / self.statistics.ready_replicas.max(1.0);
        let credit_per_s = flow_per_replica * capacity / used_share;
        let elapsed_s = now.saturating_sub(replica.credit_updated_at) as f64 / SECOND as f64;
        let saved = replica.slow_start_credit + elapsed_s * credit_per_s;
        let max_credit = (1.0 + credit_per_s * window_s).min(MAX_CREDIT);
        let excess = (saved - max_credit).max(0.0);
        // Whole credits are lost; where two or more are earned within that time, only what is over the most.
        saved - if max_credit < MAX_CREDIT { excess.ceil() } else { excess }
    }

    /// A request is sent to a replica: it costs one credit while the replica is warming up, and ends its
    /// warm-up once the time for that is over.
    pub(super) fn spend_slow_start_credit(&mut self, now: Nanos, slot: usize) {
        if self.is_warming_up(now, &self.replicas[slot]) {
            let credit = self.slow_start_credit(now, &self.replicas[slot]) - 1.0;
            let replica = &mut self.replicas[slot];
            (replica.slow_start_credit, replica.credit_updated_at) = (credit, now);
        } else {
            self.replicas.set_warming_up(slot, None);
        }
    }

    /// A replica is new or has started again: it warms up if its start, as far as it can be believed, is
    /// recent enough.
    pub(super) fn begin_slow_start(&mut self, now: Nanos, slot: usize) {
        let replica = &mut self.replicas[slot];
        let (id, started_at) = (replica.entry.replica, replica.entry.started_at);
        // Spaced evenly short of a request: somewhere one can be sent at any time, and never by all at once.
        let turn = turn(mix(id.0, started_at), self.settings.own_index.0, self.settings.router_count);
        (replica.slow_start_credit, replica.credit_updated_at) = (1.0 - turn, now);
        let believed_start = self.list_polling.believed_start(now, started_at);
        let ends_at = believed_start.saturating_add(self.settings.warm_up_time);
        self.replicas.set_warming_up(slot, (started_at > 0 && now < ends_at).then_some(believed_start));
    }

    /// A replica was silent for long and is back: perhaps it has started anew. It warms up from now on,
    /// without credit.
    pub(super) fn restart_slow_start(&mut self, now: Nanos, slot: usize) {
        let replica = &mut self.replicas[slot];
        (replica.slow_start_credit, replica.credit_updated_at) = (0.0, now);
        self.replicas.set_warming_up(slot, Some(now));
    }
}
