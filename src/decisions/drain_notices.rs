//! Decides what routers tell each other of replicas that take nothing new. A router that does not hear the
//! endpoint list asks some others, again and again, and leaves out what they tell of. The list service
//! answers one call after the other: when many routers are restarted at once it cannot tell all of them
//! before each counts as notified.
//!
//! A notice only ever takes a replica out: who may be sent to is for the router's own list to say. Once that
//! is heard, it alone counts.

use super::{Balancer, DRAIN_QUERY_TIMER};
use crate::api::{Action, EndpointEntry, EndpointListMode, EndpointState, Nanos, PeerId, SECOND};
use crate::drain_notice::{DrainMessage, Incarnation, MAX_ENTRIES};

/// A router that does not hear the list asks so often. It counts as notified 6 s after a change, so some
/// dozen queries may be lost.
const QUERY_INTERVAL: Nanos = SECOND / 2;
/// So many others are asked at a time, drawn anew each time.
const QUERIED_PEERS: usize = 3;

impl Balancer {
    /// The list is not heard: other routers are asked until it is.
    pub(super) fn ask_for_drain_notices(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let settings = &self.settings;
        let can_ask = settings.has_peers && settings.router_count > 1;
        let is_polled = matches!(settings.list_mode, EndpointListMode::Polled { .. });
        if can_ask && is_polled && !self.known_drains.query_scheduled {
            self.known_drains.query_scheduled = true;
            let jitter = QUERY_INTERVAL as f64 * self.known_drains.rng.f64();
            out.push(Action::WakeAt { at: now + jitter as Nanos, token: DRAIN_QUERY_TIMER });
        }
    }

    /// Queries are due, unless the list is heard by now.
    pub(super) fn send_drain_queries(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.known_drains.query_scheduled = false;
        if self.list_polling.is_watched {
            return;
        }
        let own = self.settings.own_index.0;
        let others = self.settings.router_count - 1;
        for _ in 0..QUERIED_PEERS.min(others as usize) {
            let drawn = self.known_drains.rng.u32(..others);
            let peer = PeerId(if drawn < own { drawn } else { drawn + 1 });
            out.push(Action::SendToPeer { peer, bytes: DrainMessage::Query.encode() });
        }
        self.known_drains.query_scheduled = true;
        out.push(Action::WakeAt { at: now + QUERY_INTERVAL, token: DRAIN_QUERY_TIMER });
    }

    /// A message about drains from another router. A malformed one is skipped.
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
                drained.into_iter().for_each(|incarnation| self.take_out(incarnation));
            }
            _ => {}
        }
    }

    /// Tells of what this router's own list has told, and passes on what it goes by itself: a few routers
    /// that hear the list are enough for all.
    fn answer_drain_query(&mut self, now: Nanos, peer: PeerId, out: &mut Vec<Action>) {
        for part in self.known_drains.known_at(now).chunks(MAX_ENTRIES) {
            let bytes = DrainMessage::Notice(part.to_vec()).encode();
            out.push(Action::SendToPeer { peer, bytes });
        }
    }

    /// The list tells of an entry: one that stops taking work is remembered.
    pub(super) fn note_drain(&mut self, now: Nanos, entry: &EndpointEntry) {
        let incarnation = Incarnation::of(entry);
        if entry.state == EndpointState::Ready {
            return self.known_drains.recent.forget(incarnation);
        }
        let known = self.replicas.slot_of(entry.replica).map(|slot| &self.replicas[slot].entry);
        if known.is_none_or(|known| known.state == EndpointState::Ready) {
            self.known_drains.recent.add(now, incarnation);
        }
    }

    /// Another router's list says that an incarnation takes nothing new.
    fn take_out(&mut self, incarnation: Incarnation) {
        let Some(slot) = self.replicas.slot_of(incarnation.replica) else { return };
        let entry = self.replicas[slot].entry.clone();
        if entry.state == EndpointState::Ready && Incarnation::of(&entry) == incarnation {
            let drained = EndpointEntry { state: EndpointState::Draining, ..entry.clone() };
            self.known_drains.taken_out.push((slot, entry));
            self.replicas.set_entry(slot, drained, self.settings.zone);
        }
    }

    /// An operator's order changes the entry of a replica that a notice took out. True if the replica stays
    /// out.
    pub(super) fn stays_taken_out(&mut self, entry: &EndpointEntry) -> bool {
        let taken_out = &mut self.known_drains.taken_out;
        let Some(place) = taken_out.iter().position(|(_, listed)| listed.replica == entry.replica) else {
            return false;
        };
        if entry.state != EndpointState::Ready {
            taken_out.swap_remove(place);
            return false;
        }
        taken_out[place].1 = entry.clone();
        true
    }

    /// The list is heard: what other routers told of no longer counts, and the list says what does.
    pub(super) fn withdraw_drain_notices(&mut self) {
        for (slot, listed) in std::mem::take(&mut self.known_drains.taken_out) {
            self.replicas.set_entry(slot, listed, self.settings.zone);
        }
    }
}
