//! Decides which replicas there are, by the endpoint list, and when the list is polled.

use rustc_hash::FxHashSet;

use super::outlier_ejection::FIRST_EJECTION;
use super::{Balancer, LIST_POLL_TIMER};
use crate::api::{
    list_call_interval, Action, EndpointEntry, EndpointListMode, EndpointState, ListUpdate, Nanos,
    NOTIFICATION_LIMIT, SECOND,
};
use crate::decode_rate::DecodeRate;

/// The first poll comes within this time for each router of the fleet, drawn at random: all may have started
/// together, and the list could not answer them at once.
const FIRST_POLL_DELAY_PER_ROUTER: Nanos = SECOND * 9 / 200;
/// It comes within this time at the latest, as the list that a router starts with may be old.
const MAX_FIRST_POLL_DELAY: Nanos = 2 * SECOND;
/// And within this share of the longest poll interval.
const FIRST_POLL_SHARE: f64 = 0.3;

impl Balancer {
    /// Time begins.
    pub(super) fn start_polling(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.list_polling.start(now);
        if let EndpointListMode::Polled { max_poll_interval } = self.settings.list_mode {
            let of_the_fleet = FIRST_POLL_DELAY_PER_ROUTER * Nanos::from(self.settings.router_count);
            let at_the_latest = of_the_fleet.min(MAX_FIRST_POLL_DELAY) as f64;
            let spread = (FIRST_POLL_SHARE * max_poll_interval as f64).min(at_the_latest);
            let jitter = spread * self.rng.f64();
            self.schedule_poll(now + jitter as Nanos, out);
        }
        self.ask_for_drain_notices(now, out);
    }

    /// A poll is due: asks for the list unless it is watched by now.
    pub(super) fn poll_list(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let EndpointListMode::Polled { max_poll_interval } = self.settings.list_mode else { return };
        if !self.list_polling.is_watched && now >= self.list_polling.next_poll_at {
            self.list_polling.polled_at = now;
            out.push(Action::WatchEndpoints);
            // The answer may be lost: polls again in good time, whatever interval the settings allow.
            self.schedule_poll(now + (max_poll_interval / 2).min(NOTIFICATION_LIMIT / 2), out);
        }
    }

    fn schedule_poll(&mut self, at: Nanos, out: &mut Vec<Action>) {
        self.list_polling.next_poll_at = at;
        out.push(Action::WakeAt { at, token: LIST_POLL_TIMER });
    }

    /// A list, a change of it, or the end of the watch.
    pub(super) fn handle_list_update(
        &mut self,
        now: Nanos,
        kind: ListUpdate,
        entries: Vec<EndpointEntry>,
        out: &mut Vec<Action>,
    ) {
        if matches!(kind, ListUpdate::Failed | ListUpdate::Truncated) {
            return self.handle_list_failure(now, kind, out);
        }
        // An operator's order is no sign of the list: a router that has lost its watch has to go on polling.
        let is_heard = matches!(kind, ListUpdate::Full | ListUpdate::Delta);
        if is_heard {
            self.withdraw_drain_notices();
        }
        if matches!(kind, ListUpdate::Full | ListUpdate::Cached) {
            self.remove_unlisted(now, &entries, kind);
        }
        for entry in entries {
            if is_heard {
                self.note_drain(now, &entry);
            }
            if kind == ListUpdate::Override && self.stays_taken_out(&entry) {
                continue;
            }
            self.apply_entry(now, entry);
        }
        if is_heard {
            self.list_polling.heard();
        }
        self.statistics.begin_ready_replicas(self.replicas.ready().len());
    }

    /// Either a poll has failed or the watch has ended, which is not told apart: polls again, the sooner the
    /// less time is left until the router counts as notified of what it has missed.
    fn handle_list_failure(&mut self, now: Nanos, kind: ListUpdate, out: &mut Vec<Action>) {
        self.list_polling.failed(now);
        if let EndpointListMode::Polled { .. } = self.settings.list_mode {
            let interval = match kind {
                // No room was wanting: soon, as if no time were left.
                ListUpdate::Truncated => list_call_interval(self.settings.router_count, now, now),
                _ => self.list_polling.interval(now, self.settings.router_count),
            };
            let at = self.list_polling.poll_after_failure(now, interval, self.rng.f64());
            self.schedule_poll(at, out);
        }
        self.ask_for_drain_notices(now, out);
    }

    /// A replica that is not in a whole list is gone.
    fn remove_unlisted(&mut self, now: Nanos, entries: &[EndpointEntry], kind: ListUpdate) {
        let listed: FxHashSet<_> = entries.iter().map(|entry| entry.replica).collect();
        for slot in 0..self.replicas.len() {
            let entry = &self.replicas[slot].entry;
            if !listed.contains(&entry.replica) {
                let gone = EndpointEntry { state: EndpointState::Gone, ..entry.clone() };
                if kind == ListUpdate::Full {
                    self.note_drain(now, &gone);
                }
                self.replicas.set_entry(slot, gone, self.settings.zone);
            }
        }
    }

    /// An entry of the list: a new replica, or a change of one that was listed before.
    fn apply_entry(&mut self, now: Nanos, entry: EndpointEntry) {
        let known = self.replicas.slot_of(entry.replica);
        if known.is_none() && entry.state == EndpointState::Gone {
            return;
        }
        let slot = known.unwrap_or_else(|| self.replicas.allocate(entry.replica));
        // Another start, earlier or later: a clock that was set back tells an earlier one.
        let is_restarted = entry.started_at != self.replicas[slot].entry.started_at && entry.started_at > 0;
        self.replicas.set_entry(slot, entry, self.settings.zone);
        if known.is_none() || is_restarted {
            self.reset_replica(now, slot);
        }
    }

    /// A replica is new or has started again: nothing known of it holds any longer.
    fn reset_replica(&mut self, now: Nanos, slot: usize) {
        let replica = &mut self.replicas[slot];
        (replica.first_token_wait, replica.wait_sampled_at) = (self.statistics.highest_wait, 0);
        replica.decode_rate = DecodeRate::default();
        (replica.consecutive_failures, replica.next_ejection) = (0, FIRST_EJECTION);
        (replica.ejected_until, replica.half_open_check) = (0, false);
        (replica.prefill_backlog, replica.backlog_reported_at, replica.last_completed_at) = (0.0, 0, 0);
        self.begin_slow_start(now, slot);
    }
}
