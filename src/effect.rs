//! What repeating a request does, and what follows from it: who may be refused, and what may be sent again.

use crate::api::{EndpointEntry, Nanos, SECOND};

/// From the decision to send a further attempt to the arrival of its last byte, ns: a router may be held up between the two.
const WRITE_TIME: Nanos = 3 * SECOND / 20;

/// What repeating a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated and refused at will.
    Pure,
    /// Repeats are dropped within `group`, for `window` from the send of the first attempt that may have run.
    Token {
        /// The replicas that know each other's requests.
        group: Group,
        /// How long they remember.
        window: Nanos,
    },
    /// The effect would happen again: repeated or refused only if no attempt can have run.
    SideEffect,
}

/// The replicas among which a [`Effect::Token`] request has its effect once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those in one zone.
    Zone,
    /// Those of one cell (see [`ReplicaRow::cell`]).
    Cell,
}

impl Effect {
    /// Whether a request may be answered as refused, which promises that a further try does no harm. `may_have_run`: a
    /// replica may have run it, or may yet.
    pub fn may_refuse(self, may_have_run: bool) -> bool {
        match self {
            Effect::Pure | Effect::Token { group: Group::All, .. } => true,
            Effect::Token { .. } | Effect::SideEffect => !may_have_run,
        }
    }

    /// Whether a further attempt may be sent at `now` after one that may have run, sent at `sent`; to a replica of the same
    /// group where there are groups. Time for the write is left: the window counts until the last byte has arrived.
    pub fn may_repeat(self, now: Nanos, sent: Nanos) -> bool {
        match self {
            Effect::Pure => true,
            Effect::Token { window, .. } => now.saturating_add(WRITE_TIME) < sent.saturating_add(window),
            Effect::SideEffect => false,
        }
    }

    /// Whether two replicas drop each other's repeats, as far as that depends on where they are.
    pub fn same_group(self, one: &EndpointEntry, other: &EndpointEntry) -> bool {
        match self {
            Effect::Token { group: Group::Zone, .. } => one.zone == other.zone,
            Effect::Token { group: Group::Cell, .. } => one.cell == other.cell,
            _ => true,
        }
    }
}
