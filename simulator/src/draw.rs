//! Random draws from named streams of one seed: what one part of the world draws moves nothing in another, so two
//! policies meet the same arrivals, prompts and troubles however differently they decide.

use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::hash::Hasher;

/// A stream of the seed. ChaCha has 2^64 of them for each key (Bernstein, 2008); the name picks one.
pub fn stream(seed: u64, name: &str) -> ChaCha8Rng {
    let mut hash = fnv::FnvHasher::default();
    hash.write(name.as_bytes());
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(hash.finish());
    rng
}

#[cfg(test)]
mod tests;
