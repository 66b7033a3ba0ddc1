//! The hash that identifies prompts with a common prefix.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The length of the hashed prefix of a prompt: about one block of an engine's prefix cache.
const PREFIX_BYTES: usize = 256;

/// Returns the hash of a prompt's prefix for a model. It is the same in every process and release.
///
/// The hash includes the model because engines cache prefixes separately for each adapter. Permit
/// requests and cache events contain this hash. See `docs/INTERFACES.md`.
pub fn prefix_hash(model: &str, prompt: &[u8]) -> u64 {
    let start = &prompt[..prompt.len().min(PREFIX_BYTES)];
    xxh3_64_with_seed(start, xxh3_64_with_seed(model.as_bytes(), 0))
}
