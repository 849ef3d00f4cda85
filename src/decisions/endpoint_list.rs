//! Maintains the set of replicas from the endpoint list, and decides when the list is polled.

use rustc_hash::FxHashSet;

use super::outlier_ejection::INITIAL_EJECTION;
use super::{Balancer, LIST_POLL_TIMER};
use crate::api::{
    list_call_interval, Action, EndpointEntry, EndpointListMode, EndpointState, ListUpdate, Nanos,
    NOTIFICATION_LIMIT, SECOND,
};
use crate::decode_rate::DecodeRate;

/// Range of the random delay before the first poll, per router of the fleet: all routers may have started
/// together, and the list service cannot answer all at once.
const FIRST_POLL_DELAY_PER_ROUTER: Nanos = SECOND * 9 / 200;
/// Maximum delay of the first poll, as the list that a router starts with may be outdated.
const MAX_FIRST_POLL_DELAY: Nanos = 2 * SECOND;
/// Maximum delay of the first poll as a share of the maximum poll interval.
const FIRST_POLL_SHARE: f64 = 0.3;

impl Balancer {
    /// Schedules the first poll, with random jitter.
    pub(super) fn start_polling(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.list_polling.start(now);
        if let EndpointListMode::Polled { max_poll_interval } = self.settings.list_mode {
            let fleet_delay = FIRST_POLL_DELAY_PER_ROUTER * Nanos::from(self.settings.router_count);
            let max_delay = fleet_delay.min(MAX_FIRST_POLL_DELAY) as f64;
            let max_jitter = (FIRST_POLL_SHARE * max_poll_interval as f64).min(max_delay);
            let jitter = max_jitter * self.rng.f64();
            self.schedule_poll(now + jitter as Nanos, out);
        }
        self.schedule_drain_queries(now, out);
    }

    /// Polls the list when a poll is due, unless the list is watched.
    pub(super) fn poll_list(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let EndpointListMode::Polled { max_poll_interval } = self.settings.list_mode else { return };
        if !self.list_polling.is_watched && now >= self.list_polling.next_poll_at {
            self.list_polling.polled_at = now;
            out.push(Action::WatchEndpoints);
            // The answer may be lost: polls again early enough, whatever interval the settings allow.
            self.schedule_poll(now + (max_poll_interval / 2).min(NOTIFICATION_LIMIT / 2), out);
        }
    }

    fn schedule_poll(&mut self, at: Nanos, out: &mut Vec<Action>) {
        self.list_polling.next_poll_at = at;
        out.push(Action::WakeAt { at, token: LIST_POLL_TIMER });
    }

    /// Handles a full list, a change of it, a failed poll, or the end of the watch.
    pub(super) fn handle_list_update(
        &mut self,
        now: Nanos,
        kind: ListUpdate,
        entries: Vec<EndpointEntry>,
        out: &mut Vec<Action>,
    ) {
        if kind.is_failure() {
            return self.handle_list_failure(now, kind, out);
        }
        // An operator override does not show that the list is received: a router without a watch has to keep
        // polling.
        let is_received = matches!(kind, ListUpdate::Full | ListUpdate::Delta);
        if is_received {
            self.withdraw_drain_notices();
        }
        if matches!(kind, ListUpdate::Full | ListUpdate::Cached) {
            self.mark_unlisted_gone(now, &entries, kind);
        }
        for entry in entries {
            if is_received {
                self.record_drain(now, &entry);
            }
            if kind == ListUpdate::Override && self.apply_override_to_drained(&entry) {
                continue;
            }
            self.apply_entry(now, entry);
        }
        if is_received {
            self.list_polling.record_list_received();
        }
        self.statistics.init_ready_replica_count(self.replicas.ready().len());
    }

    /// Schedules the next poll after a failed poll or the end of a watch. The less time is left until the
    /// router counts as notified of the changes it has missed, the sooner it polls.
    fn handle_list_failure(&mut self, now: Nanos, kind: ListUpdate, out: &mut Vec<Action>) {
        self.list_polling.record_list_failure(now, kind);
        if let EndpointListMode::Polled { .. } = self.settings.list_mode {
            let interval = match kind {
                // A truncated answer shows that the service is not overloaded: polls again at the shortest
                // interval for the fleet's size.
                ListUpdate::Truncated => list_call_interval(self.settings.router_count, now, now),
                _ => self.list_polling.interval(now, self.settings.router_count),
            };
            let at = self.list_polling.poll_after_failure(now, interval, self.rng.f64());
            self.schedule_poll(at, out);
        }
        self.schedule_drain_queries(now, out);
    }

    /// Returns whether requests may be sent by the known list at `now`. Where peers report drains to each
    /// other, a crowd at the list service keeps no drain from this router, and the list may always be used.
    pub fn may_send_by_list(&self, now: Nanos) -> bool {
        let hears_notices = self.settings.has_peers && self.settings.router_count > 1;
        let is_polled = matches!(self.settings.list_mode, EndpointListMode::Polled { .. });
        !is_polled || hears_notices || self.list_polling.is_list_usable(now, self.settings.drain_grace)
    }

    /// Marks replicas that are missing from a full list as gone.
    fn mark_unlisted_gone(&mut self, now: Nanos, entries: &[EndpointEntry], kind: ListUpdate) {
        let listed: FxHashSet<_> = entries.iter().map(|entry| entry.replica).collect();
        for slot in 0..self.replicas.len() {
            let entry = &self.replicas[slot].entry;
            if !listed.contains(&entry.replica) {
                let gone = EndpointEntry { state: EndpointState::Gone, ..entry.clone() };
                if kind == ListUpdate::Full {
                    self.record_drain(now, &gone);
                }
                self.replicas.set_entry(slot, gone, self.settings.zone);
            }
        }
    }

    /// Applies an entry of the list: adds a new replica or updates a known one.
    fn apply_entry(&mut self, now: Nanos, entry: EndpointEntry) {
        let known = self.replicas.slot_of(entry.replica);
        if known.is_none() && entry.state == EndpointState::Gone {
            return;
        }
        let slot = known.unwrap_or_else(|| self.replicas.allocate(entry.replica));
        // A restart may also show as an earlier start time, if the replica's clock was set back.
        let is_restarted = entry.started_at != self.replicas[slot].entry.started_at && entry.started_at > 0;
        self.replicas.set_entry(slot, entry, self.settings.zone);
        if known.is_none() || is_restarted {
            self.reset_replica(now, slot);
        }
    }

    /// Resets the state of a replica that is new or has restarted.
    fn reset_replica(&mut self, now: Nanos, slot: usize) {
        let replica = &mut self.replicas[slot];
        (replica.first_token_wait, replica.wait_sampled_at) = (self.statistics.highest_wait, 0);
        replica.decode_rate = DecodeRate::default();
        (replica.consecutive_failures, replica.next_ejection) = (0, INITIAL_EJECTION);
        (replica.ejected_until, replica.half_open_check) = (0, false);
        (replica.prefill_backlog, replica.backlog_reported_at, replica.last_completed_at) = (0.0, 0, 0);
        self.begin_slow_start(now, slot);
    }
}
