//! Identifiers derived from names. A name has the same identifier at every router and in every process, which
//! rendezvous hashing over replicas, sessions and shared prefixes relies on.

use crate::api::{PrefixKey, ReplicaId, SessionKey};

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Multiplier of the final mix: 2^64 divided by the golden ratio.
const MIX_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
/// Number of low bits of a hash that a digest omits: they are the weakest bits of a product, and the lowest is always
/// 1.
const DISCARDED_LOW_BITS: u32 = 20;

/// Length of a message's digest in bytes: 16 million values are enough to tell configurations apart, and each byte sent
/// has a cost.
pub(crate) const MESSAGE_DIGEST_LENGTH: usize = 3;

/// Returns a 64-bit hash of a text. Never 0.
const fn hash(text: &[u8]) -> u64 {
    let mut h = FNV_OFFSET_BASIS;
    let mut index = 0;
    while index < text.len() {
        h = (h ^ text[index] as u64).wrapping_mul(FNV_PRIME);
        index += 1;
    }
    // The low bits of FNV-1a are weaker than its high bits.
    h ^= h >> 32;
    h.wrapping_mul(MIX_MULTIPLIER) | 1
}

/// Returns the digest at the start of a message, from a text that defines the meaning of the message's content.
pub(crate) const fn message_digest(definition: &[u8]) -> [u8; MESSAGE_DIGEST_LENGTH] {
    let [.., a, b, c] = (hash(definition) >> DISCARDED_LOW_BITS).to_be_bytes();
    [a, b, c]
}

/// Returns the identifier of a replica from its name.
pub fn replica_id(name: &str) -> ReplicaId {
    ReplicaId(hash(name.as_bytes()))
}

/// Returns the key of a session from its name.
pub fn session_key(name: &[u8]) -> SessionKey {
    SessionKey(hash(name))
}

/// Returns the key of a shared prefix from its name.
pub fn prefix_key(name: &[u8]) -> PrefixKey {
    PrefixKey(hash(name))
}
