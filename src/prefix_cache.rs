//! What is believed to be in the prefix caches of replicas: of a session's last turn, and of anything after a start.
//!
//! Preferred replicas by hash need no memory, and routers agree on them without a message. But a session that found its
//! preferred replica busy or gone has left its prompt elsewhere, and until its next migration that is where the prompt is
//! read cheaply. So a router remembers where each session's last answer began. What other routers did with the session it
//! does not know: the entry is a hint of where to look, beside the preferred replicas.

use rustc_hash::FxHashMap;

use crate::api::{EndpointEntry, Nanos, ReplicaId, SECOND};

/// The most sessions remembered, in two tables of half as many: 41 bytes for each of 65,536 entries, 5.4 MB in all.
const MAX_SESSIONS: usize = 65_536;
/// A prompt is taken for evicted after so long without a turn of its session. A turn within a minute found it on all days
/// drawn; replicas evict the least recently used and tell nobody.
const EVICTED_AFTER: Nanos = 60 * SECOND;
/// The cache of a replica that has just started is empty; half of what it would hold when warm it is believed to hold
/// after so long, s, as the traffic brings the prefixes back. Taken for empty until warm, it was left idle while the warm
/// ones were overloaded: 0.898 of mean G without, 0.904 at 3 and 8 s.
const REFILL_HALF_LIFE_S: f64 = 5.0;

/// Where a session's last answer began.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SessionReplica {
    /// Which replica.
    pub replica: ReplicaId,
    /// When it had last started then.
    pub started_at: Nanos,
    /// Tokens of the prompt that it has read.
    pub tokens: u32,
    at: Nanos,
}

impl SessionReplica {
    /// Whether a listed replica is this one, in the same incarnation: another one has an empty cache. `warming_up_since`:
    /// since when it is taken to warm up, be it for a silence in which it may have started anew.
    pub fn is_incarnation_of(&self, entry: &EndpointEntry, warming_up_since: Option<Nanos>) -> bool {
        let same = self.replica == entry.replica && self.started_at == entry.started_at;
        same && warming_up_since.is_none_or(|since| since <= self.at)
    }
}

/// Sessions and where their last answers began, in two generations: once the younger is full it becomes the older, and
/// the older one is dropped. So the table is bounded, a session that still has turns stays, and nothing is ever scanned.
#[derive(Debug, Default)]
pub struct SessionAffinity {
    young: FxHashMap<u64, SessionReplica>,
    old: FxHashMap<u64, SessionReplica>,
}

impl SessionAffinity {
    /// An answer to this session has begun at a replica, which has read `tokens` of its prompt.
    pub fn record(&mut self, now: Nanos, session: u64, entry: &EndpointEntry, tokens: u32) {
        if self.young.len() >= MAX_SESSIONS / 2 && !self.young.contains_key(&session) {
            self.old = std::mem::take(&mut self.young);
        }
        let last = SessionReplica { replica: entry.replica, started_at: entry.started_at, tokens, at: now };
        self.young.insert(session, last);
    }

    /// Where this session's last answer began, unless its prompt is taken for evicted.
    pub fn last_replica(&self, now: Nanos, session: u64) -> Option<SessionReplica> {
        let found = self.young.get(&session).or_else(|| self.old.get(&session));
        found.filter(|last| now.saturating_sub(last.at) < EVICTED_AFTER).copied()
    }
}

/// Tokens of a prompt that a replica has to read which started `age` ago, where it would have to read
/// `uncached_when_warm` of `prompt` tokens with a full cache.
pub fn uncached_tokens_after_start(uncached_when_warm: f64, prompt: f64, age: Nanos) -> f64 {
    let half_lives = age as f64 / SECOND as f64 / REFILL_HALF_LIFE_S;
    uncached_when_warm + (prompt - uncached_when_warm).max(0.0) * (-half_lives).exp2()
}

#[cfg(test)]
mod tests;
