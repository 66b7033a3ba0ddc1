//! Ranking of targets by rendezvous hashing: no table and no messages.

use chervilshunt_model::{AdapterVersion, TargetName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the best `count` of `targets` for `model`, best first.
///
/// Every instance that knows the same targets gets the same order, and a target that joins or
/// leaves moves only the adapters that it wins or held.
pub fn rank_targets<'a>(
    model: &AdapterVersion,
    targets: impl IntoIterator<Item = &'a TargetName>,
    count: usize,
) -> Vec<&'a TargetName> {
    let seed = model.stable_hash();
    let mut scored: Vec<(u64, &TargetName)> = targets
        .into_iter()
        .map(|target| (xxh3_64_with_seed(target.as_str().as_bytes(), seed), target))
        .collect();
    let best_first = |left: &(u64, &TargetName), right: &(u64, &TargetName)| right.cmp(left);
    if count < scored.len() {
        scored.select_nth_unstable_by(count, best_first);
        scored.truncate(count);
    }
    scored.sort_unstable_by(best_first);
    scored.into_iter().map(|(_, target)| target).collect()
}
