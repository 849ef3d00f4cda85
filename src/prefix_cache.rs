//! Estimate of what replicas have in their prefix caches, for sessions and after a start.
//!
//! Preferred replicas are computed by hash, without stored state or messages between routers. But a session whose
//! preferred replica was busy or gone has its prompt cached elsewhere, and until its next migration that replica reads
//! it most cheaply. So a router remembers which replica last answered each session. It does not know about the
//! session's requests at other routers: the entry is a hint in addition to the preferred replicas.

use rustc_hash::FxHashMap;

use crate::api::{EndpointEntry, Nanos, ReplicaId, SECOND};

/// Maximum number of sessions remembered, in two tables of half the size. Each table allocates 65,536 slots of 41 bytes:
/// 5.4 MB in all.
const MAX_SESSIONS: usize = 65_536;
/// Time without a turn of a session after which its prompt counts as evicted. Replicas evict the least recently used
/// prompts and do not report it.
const EVICTION_TIME: Nanos = 60 * SECOND;
/// Half-life of the missing part of a cache after a replica's start, s, as traffic refills it with prefixes. If the
/// cache counted as empty until warm, the replica would be left idle while the warm ones are overloaded.
const REFILL_HALF_LIFE_S: f64 = 5.0;

/// The replica that last answered a session.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SessionReplica {
    /// Replica that last answered the session.
    pub replica: ReplicaId,
    /// Time of the replica's last start, as listed when it answered.
    pub started_at: Nanos,
    /// Number of prompt tokens that the replica has read.
    pub tokens: u32,
    recorded_at: Nanos,
}

impl SessionReplica {
    /// Returns whether a listed replica is this one in the same incarnation; a later incarnation has an empty cache.
    /// `warming_up_since` is the start of its warm-up, which may also follow a silence during which it may have
    /// restarted.
    pub fn is_incarnation_of(&self, entry: &EndpointEntry, warming_up_since: Option<Nanos>) -> bool {
        let same = self.replica == entry.replica && self.started_at == entry.started_at;
        same && warming_up_since.is_none_or(|since| since <= self.recorded_at)
    }
}

/// The replicas that last answered sessions, in two generations. When the younger one is full, it becomes the older
/// one, and the older one is dropped. So the size is bounded, active sessions stay, and no scan is needed.
#[derive(Debug, Default)]
pub struct SessionAffinity {
    young: FxHashMap<u64, SessionReplica>,
    old: FxHashMap<u64, SessionReplica>,
}

impl SessionAffinity {
    /// Records that a replica began to answer a session and has read `tokens` of its prompt.
    pub fn record(&mut self, now: Nanos, session: u64, entry: &EndpointEntry, tokens: u32) {
        if self.young.len() >= MAX_SESSIONS / 2 && !self.young.contains_key(&session) {
            self.old = std::mem::take(&mut self.young);
        }
        let last =
            SessionReplica { replica: entry.replica, started_at: entry.started_at, tokens, recorded_at: now };
        self.young.insert(session, last);
    }

    /// Returns the replica that last answered a session, unless its prompt counts as evicted.
    pub fn last_replica(&self, now: Nanos, session: u64) -> Option<SessionReplica> {
        let found = self.young.get(&session).or_else(|| self.old.get(&session));
        found.filter(|last| now.saturating_sub(last.recorded_at) < EVICTION_TIME).copied()
    }
}

/// Returns the prompt tokens that a replica must read `age` after its start, if it would have to read
/// `uncached_when_warm` of `prompt` tokens with a full cache.
pub fn uncached_tokens_after_start(uncached_when_warm: f64, prompt: f64, age: Nanos) -> f64 {
    let half_lives = age as f64 / SECOND as f64 / REFILL_HALF_LIFE_S;
    uncached_when_warm + (prompt - uncached_when_warm).max(0.0) * (-half_lives).exp2()
}

#[cfg(test)]
mod tests;
