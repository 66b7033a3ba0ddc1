//! Hashes that are the same in every process and release.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rendezvous weight of `candidate` for `key`.
///
/// All instances must compute the same ranking; otherwise several could consider themselves the
/// highest-ranked.
pub(crate) fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Returns a hash of a text.
pub(crate) fn text_hash(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// Returns a delay between `base` and `base + base / 2`, the same for the same `seed` and `number`.
///
/// Without the jitter, instances that start together would call the platform in lockstep forever.
pub(crate) fn jittered(base: Duration, seed: u64, number: u64) -> Duration {
    let draw = xxh3_64_with_seed(&number.to_le_bytes(), seed) % 512;
    let draw = u32::try_from(draw).unwrap_or(0);
    base + base * draw / 1_024
}
