//! Identifiers from names. A name has the same number at every router and in every process, which rendezvous hashing over
//! replicas, sessions and shared prefixes relies on; so the hash stands here, once.

use crate::api::{PrefixKey, ReplicaId, SessionKey};

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// 2^64 over the golden ratio: the multiplier of the final mix.
const MIX_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
/// The bits of a hash that a digest leaves out: the low bits of a product are its weakest, and the lowest is always 1.
const WEAK_BITS: u32 = 20;

/// Bytes of the digest of a message: one of 16 million, enough to tell configurations apart; each byte sent has a price.
pub(crate) const MESSAGE_DIGEST_LENGTH: usize = 3;

/// A 64-bit hash of a text. Never 0.
const fn hash(text: &[u8]) -> u64 {
    let mut h = FNV_OFFSET_BASIS;
    let mut place = 0;
    while place < text.len() {
        h = (h ^ text[place] as u64).wrapping_mul(FNV_PRIME);
        place += 1;
    }
    // FNV alone leaves its low bits worse than its high ones.
    h ^= h >> 32;
    h.wrapping_mul(MIX_MULTIPLIER) | 1
}

/// A digest of what the content of a message means, with which the message begins.
pub(crate) const fn message_digest(meaning: &[u8]) -> [u8; MESSAGE_DIGEST_LENGTH] {
    let [.., a, b, c] = (hash(meaning) >> WEAK_BITS).to_be_bytes();
    [a, b, c]
}

/// The identifier of a replica, from the name it has at every router.
pub fn replica_id(name: &str) -> ReplicaId {
    ReplicaId(hash(name.as_bytes()))
}

/// The key of a session, from its name.
pub fn session_key(name: &[u8]) -> SessionKey {
    SessionKey(hash(name))
}

/// The key of a shared prefix, from its name.
pub fn prefix_key(name: &[u8]) -> PrefixKey {
    PrefixKey(hash(name))
}
