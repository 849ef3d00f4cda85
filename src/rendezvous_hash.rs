//! Hashes by which routers agree without a message: rendezvous hashing (Thaler and Ravishankar, 1998) and the order in
//! which they take turns at a key. All are pure functions and the same in every process; none is cryptographic.

/// A well-mixed hash of two numbers.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut h = (a ^ b.rotate_left(32)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    h = (h ^ (h >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    h ^= b.wrapping_mul(0x94D0_49BB_1331_11EB);
    h = (h ^ (h >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    h ^ (h >> 32)
}

/// The position, 0 to 1, of router `index` of `routers` in the order in which they take turns at a key. Positions are
/// evenly spaced, and the first router differs from key to key.
pub(crate) fn turn(key: u64, index: u32, routers: u32) -> f64 {
    let routers = u64::from(routers.max(1));
    ((key % routers + u64::from(index)) % routers) as f64 / routers as f64
}

/// A hash as an exponential variate of mean 1, above 0. The least of several, each divided by its weight, is a draw
/// weighted by those weights.
pub(crate) fn unit_race(hash: u64) -> f64 {
    // The 53 highest bits: as many as a double holds exactly.
    let uniform = (hash >> 11) as f64 / (1u64 << 53) as f64;
    -(uniform + 1e-18).ln()
}
