//! The hash by which prompts that share a start are recognised.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How much of a prompt counts, in bytes: about one block of an engine's prefix cache.
const PREFIX_BYTES: usize = 256;

/// Returns the hash of a prompt's start for one model, the same in every process and release.
///
/// The model counts too, since an engine caches prefixes apart for each adapter. Requests for
/// permits carry this hash and cache events name it; see `docs/INTERFACES.md`.
pub fn prefix_hash(model: &str, prompt: &[u8]) -> u64 {
    let start = &prompt[..prompt.len().min(PREFIX_BYTES)];
    xxh3_64_with_seed(start, xxh3_64_with_seed(model.as_bytes(), 0))
}
