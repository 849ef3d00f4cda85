//! Which replica is likely to have kept what: of a session's last turn, and of anything after a start.
//!
//! Homes by hash need no memory, and gateways agree on them without a word; but a session that found its home crowded
//! or gone has left its prompt elsewhere, and until its next move that is where reading is cheap. So a gateway
//! remembers where each session's last answer began. What other gateways did with the session it does not know: the
//! entry is a hint of where to look, beside the homes.

use crate::api::{EndpointEntry, Nanos, ReplicaId, SECOND};
use rustc_hash::FxHashMap;

/// The most sessions remembered, in two tables of half as many: 41 bytes for each of 65,536 places, 5.4 MB in all.
const MAX_SESSIONS: usize = 65_536;
/// After so long without a turn the prompt is taken for evicted, ns. A turn within a minute found it on all days
/// drawn; eviction is by least use and told by nobody.
const EVICTED_AFTER: Nanos = 60 * SECOND;
/// A replica that has just started knows nothing; half of what it would be believed to have kept when warm it is
/// believed to have after so long, s, as the traffic brings its beginnings back. Counted as knowing nothing until
/// warm, it was left idle while the warm ones ran over: 0.898 of mean G without, 0.904 at 3 and 8 s.
const REFILL_HALF_LIFE_S: f64 = 5.0;

/// Where a session's last answer began.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SessionReplica {
    /// Which replica.
    pub replica: ReplicaId,
    /// Its last start then.
    pub last_start: Nanos,
    /// Tokens of the prompt that it has read.
    pub tokens: u32,
    at: Nanos,
}

impl SessionReplica {
    /// Whether a listed replica is this one, in the same life: another life has kept nothing. `warming_up_since` is since
    /// when it is taken for cold, be it for a silence after which it may have started anew.
    pub fn is_incarnation_of(&self, row: &EndpointEntry, warming_up_since: Option<Nanos>) -> bool {
        let same = self.replica == row.replica && self.last_start == row.started_at;
        same && warming_up_since.is_none_or(|from| from <= self.at)
    }
}

/// SessionAffinity and their holders, in two generations: once the younger is full it becomes the older, and the older one
/// goes. So the table is bounded, a session that still has turns stays, and nothing is ever scanned.
#[derive(Debug, Default)]
pub struct SessionAffinity {
    young: FxHashMap<u64, SessionReplica>,
    old: FxHashMap<u64, SessionReplica>,
}

impl SessionAffinity {
    /// An answer to this session has begun at a replica, which has thus read so many tokens.
    pub fn record(&mut self, now: Nanos, session: u64, row: &EndpointEntry, tokens: u32) {
        if self.young.len() >= MAX_SESSIONS / 2 && !self.young.contains_key(&session) {
            self.old = std::mem::take(&mut self.young);
        }
        let holder = SessionReplica { replica: row.replica, last_start: row.started_at, tokens, at: now };
        self.young.insert(session, holder);
    }

    /// Where this session's last answer began, unless that is long ago.
    pub fn last_replica(&self, now: Nanos, session: u64) -> Option<SessionReplica> {
        let found = self.young.get(&session).or_else(|| self.old.get(&session));
        found.filter(|h| now.saturating_sub(h.at) < EVICTED_AFTER).copied()
    }
}

/// Tokens that a replica has to read of a prompt, if it would be so many when warm and it started so long ago, ns.
pub fn uncached_tokens_after_start(uncached: f64, prompt: f64, age: Nanos) -> f64 {
    uncached + (prompt - uncached).max(0.0) * (-(age as f64 / SECOND as f64) / REFILL_HALF_LIFE_S).exp2()
}

#[cfg(test)]
mod tests;
