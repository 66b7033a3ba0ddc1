//! Ranking of targets by rendezvous hashing: no table and no messages.

use chervilshunt_model::{AdapterVersion, TargetName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the best `count` of `targets` for `model`, best first.
///
/// Every instance that knows the same targets gets the same order, and a target that joins or
/// leaves moves only the adapters that it wins or held. The version has no part in it: versions
/// of an adapter share their targets, so that a new one takes the place of the old one there
/// instead of pushing out another adapter elsewhere; see `docs/design/placement.md`.
pub fn rank_targets<'a>(
    model: &AdapterVersion,
    targets: impl IntoIterator<Item = &'a TargetName>,
    count: usize,
) -> Vec<&'a TargetName> {
    let seed = adapter_seed(model);
    let scored = targets
        .into_iter()
        .map(|target| (score(name_hash(target), seed), target))
        .collect();
    best_first(scored, count)
}

/// The targets of a service with their hashes, for ranking them again and again.
///
/// Hashing 1,600 names for each request would take most of the time that a permit may cost.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    targets: Vec<(u64, TargetName)>,
}

impl TargetTable {
    /// Takes the targets of a service.
    pub fn new(targets: impl IntoIterator<Item = TargetName>) -> Self {
        let targets = targets
            .into_iter()
            .map(|target| (name_hash(&target), target))
            .collect();
        Self { targets }
    }

    /// Returns the best `count` targets for `model`, best first, as [`rank_targets`] does.
    pub fn rank(&self, model: &AdapterVersion, count: usize) -> Vec<&TargetName> {
        let seed = adapter_seed(model);
        let scored = self
            .targets
            .iter()
            .map(|(hash, target)| (score(*hash, seed), target))
            .collect();
        best_first(scored, count)
    }
}

fn adapter_seed(model: &AdapterVersion) -> u64 {
    xxh3_64_with_seed(model.adapter.as_str().as_bytes(), 0)
}

fn name_hash(target: &TargetName) -> u64 {
    xxh3_64_with_seed(target.as_str().as_bytes(), 0)
}

fn score(name_hash: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&name_hash.to_le_bytes(), seed)
}

fn best_first(mut scored: Vec<(u64, &TargetName)>, count: usize) -> Vec<&TargetName> {
    let best_first = |left: &(u64, &TargetName), right: &(u64, &TargetName)| right.cmp(left);
    if count < scored.len() {
        scored.select_nth_unstable_by(count, best_first);
        scored.truncate(count);
    }
    scored.sort_unstable_by(best_first);
    scored.into_iter().map(|(_, target)| target).collect()
}
