//! Names as numbers. A name's number is the same at every router and in every process, which rendezvous
//! hashing over model nodes, sessions and shared beginnings relies on; so the hash stands here, once.

use crate::api::{PrefixKey, ReplicaId, SessionKey};

/// A 64-bit hash of a name, the same in every process. Never 0.
fn hash(text: &[u8]) -> u64 {
    // FNV-1a, then a final mix so that the low bits are as good as the high ones.
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for b in text {
        h = (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    h ^= h >> 32;
    h.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1
}

/// The digest of a text, the same in every process.
pub(crate) fn text_digest(text: &[u8]) -> u64 {
    // The low bits of a product are its weakest, and the lowest is always 1.
    hash(text) >> 20
}

/// The number of a model node, from the name it has at every router.
pub fn replica_id(name: &str) -> ReplicaId {
    ReplicaId(hash(name.as_bytes()))
}

/// The number of a session.
pub fn session_key(name: &[u8]) -> SessionKey {
    SessionKey(hash(name))
}

/// The number of a shared beginning.
pub fn prefix_key(name: &[u8]) -> PrefixKey {
    PrefixKey(hash(name))
}
