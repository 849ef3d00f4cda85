//! Decides what routers report to each other about drained replicas. A router without a watch on the
//! endpoint list queries random peers periodically and stops using the replicas that they report as
//! drained. The list service answers calls one at a time: when many routers restart at once, it cannot
//! reach all of them before each counts as notified.
//!
//! A notice can only remove a replica from use; only the router's own list can make one ready. Once the
//! router receives the list again, the list alone counts.

use super::{Balancer, DRAIN_QUERY_TIMER};
use crate::api::{Action, EndpointEntry, EndpointListMode, EndpointState, Nanos, PeerId, SECOND};
use crate::drain_notice::{DrainMessage, Incarnation, MAX_NOTICE_ENTRIES};

/// Interval between queries of a router without a watch on the list. It counts as notified 6 s after a
/// change, so about a dozen queries may be lost.
const QUERY_INTERVAL: Nanos = SECOND / 2;
/// Number of peers queried at a time, chosen at random each time.
const PEERS_PER_QUERY: usize = 3;

impl Balancer {
    /// Starts querying peers, unless queries are scheduled already. The queries continue until the list is
    /// watched.
    pub(super) fn schedule_drain_queries(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let settings = &self.settings;
        let can_query = settings.has_peers && settings.router_count > 1;
        let is_polled = matches!(settings.list_mode, EndpointListMode::Polled { .. });
        if can_query && is_polled && !self.known_drains.query_scheduled {
            self.known_drains.query_scheduled = true;
            let jitter = QUERY_INTERVAL as f64 * self.known_drains.rng.f64();
            out.push(Action::WakeAt { at: now + jitter as Nanos, token: DRAIN_QUERY_TIMER });
        }
    }

    /// Queries random peers and schedules the next queries, unless the list is watched again.
    pub(super) fn send_drain_queries(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.known_drains.query_scheduled = false;
        if self.list_polling.is_watched {
            return;
        }
        let own_index = self.settings.own_index.0;
        let peer_count = self.settings.router_count - 1;
        for _ in 0..PEERS_PER_QUERY.min(peer_count as usize) {
            let index = self.known_drains.rng.u32(..peer_count);
            let peer = PeerId(if index < own_index { index } else { index + 1 });
            out.push(Action::SendToPeer { peer, bytes: DrainMessage::Query.encode() });
        }
        self.known_drains.query_scheduled = true;
        out.push(Action::WakeAt { at: now + QUERY_INTERVAL, token: DRAIN_QUERY_TIMER });
    }

    /// Handles a drain message from a peer. Malformed messages are ignored.
    pub(super) fn handle_drain_message(
        &mut self,
        now: Nanos,
        from: PeerId,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) {
        match DrainMessage::decode(bytes) {
            Some(DrainMessage::Query) => self.answer_drain_query(now, from, out),
            Some(DrainMessage::Notice(drained)) if !self.list_polling.is_watched => {
                drained.into_iter().for_each(|incarnation| self.apply_drain_notice(incarnation));
            }
            _ => {}
        }
    }

    /// Answers a query with the drains known from the list and those known from notices: passing notices on
    /// lets a few routers with a watch inform the whole fleet.
    fn answer_drain_query(&mut self, now: Nanos, peer: PeerId, out: &mut Vec<Action>) {
        for chunk in self.known_drains.known_incarnations(now).chunks(MAX_NOTICE_ENTRIES) {
            let bytes = DrainMessage::Notice(chunk.to_vec()).encode();
            out.push(Action::SendToPeer { peer, bytes });
        }
    }

    /// Records a drain that the list reports, and forgets it if the replica is ready again.
    pub(super) fn record_drain(&mut self, now: Nanos, entry: &EndpointEntry) {
        let incarnation = Incarnation::from_entry(entry);
        if entry.state == EndpointState::Ready {
            return self.known_drains.recent.remove(incarnation);
        }
        let known = self.replicas.slot_of(entry.replica).map(|slot| &self.replicas[slot].entry);
        if known.is_none_or(|known| known.state == EndpointState::Ready) {
            self.known_drains.recent.add(now, incarnation);
        }
    }

    /// Stops using a replica that a peer reports as drained.
    fn apply_drain_notice(&mut self, incarnation: Incarnation) {
        let Some(slot) = self.replicas.slot_of(incarnation.replica) else { return };
        let entry = self.replicas[slot].entry.clone();
        if entry.state == EndpointState::Ready && Incarnation::from_entry(&entry) == incarnation {
            let drained = EndpointEntry { state: EndpointState::Draining, ..entry.clone() };
            self.known_drains.drained_by_notice.push((slot, entry));
            self.replicas.set_entry(slot, drained, self.settings.zone);
        }
    }

    /// Applies an operator override to a replica drained by a notice. Returns true if the replica stays
    /// drained.
    pub(super) fn apply_override_to_drained(&mut self, entry: &EndpointEntry) -> bool {
        let drained_by_notice = &mut self.known_drains.drained_by_notice;
        let Some(index) = drained_by_notice.iter().position(|(_, listed)| listed.replica == entry.replica)
        else {
            return false;
        };
        if entry.state != EndpointState::Ready {
            drained_by_notice.swap_remove(index);
            return false;
        }
        drained_by_notice[index].1 = entry.clone();
        true
    }

    /// Restores the listed entries of all replicas drained by notices, as the list is received again.
    pub(super) fn withdraw_drain_notices(&mut self) {
        for (slot, listed) in std::mem::take(&mut self.known_drains.drained_by_notice) {
            self.replicas.set_entry(slot, listed, self.settings.zone);
        }
    }
}
