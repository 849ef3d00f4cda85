//! Independent random streams of one seed, chosen by name. Random numbers that one part of the simulation uses do not change
//! those of another, so that all policies see the same arrivals, prompts and faults.

use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::hash::Hasher;

/// Returns the seed's random stream of this name. ChaCha has 2^64 streams for each key (Bernstein, 2008).
pub fn stream(seed: u64, name: &str) -> ChaCha8Rng {
    let mut hash = fnv::FnvHasher::default();
    hash.write(name.as_bytes());
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(hash.finish());
    rng
}

#[cfg(test)]
mod tests;
