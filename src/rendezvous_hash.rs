//! Hash functions that give the same result at every router, so that routers agree without messages: rendezvous hashing
//! (Thaler and Ravishankar, 1998), and the order of routers for a key. None is cryptographic.

/// Returns a well-mixed hash of two numbers.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut h = (a ^ b.rotate_left(32)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    h = (h ^ (h >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    h ^= b.wrapping_mul(0x94D0_49BB_1331_11EB);
    h = (h ^ (h >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    h ^ (h >> 32)
}

/// Returns the phase, 0 to 1, of router `index` of `routers` for a key. The phases are evenly spaced, and the first
/// router differs from key to key.
pub(crate) fn router_phase(key: u64, index: u32, routers: u32) -> f64 {
    let routers = u64::from(routers.max(1));
    ((key % routers + u64::from(index)) % routers) as f64 / routers as f64
}

/// Converts a hash to an exponential variate of mean 1, above 0. The index of the smallest of several variates, each
/// divided by a weight, is a random choice with those weights.
pub(crate) fn exponential_variate(hash: u64) -> f64 {
    // Uses the 53 highest bits, as many as a double represents exactly.
    let uniform = (hash >> 11) as f64 / (1u64 << 53) as f64;
    -(uniform + 1e-18).ln()
}
