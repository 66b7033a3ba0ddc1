//! Ranks targets by rendezvous hashing, without a shared table or messages.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chervilshunt_model::{AdapterVersion, TargetName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the best `count` of `targets` for `model`, best first.
///
/// Every instance that knows the same targets computes the same order. A target that joins or
/// leaves only moves the adapters that it gains or loses. The version is not hashed: all versions
/// of an adapter rank the same targets, so that a new version replaces the old one there instead of
/// evicting another adapter elsewhere; see `docs/design/placement.md`.
pub fn rank_targets<'a>(
    model: &AdapterVersion,
    targets: impl IntoIterator<Item = &'a TargetName>,
    count: usize,
) -> Vec<&'a TargetName> {
    let seed = adapter_seed(model);
    let scored = targets
        .into_iter()
        .map(|target| (score(name_hash(target), seed), target));
    best_first(scored, count)
}

/// A target with its score; the highest score ranks first.
type ScoredTarget<'a> = (u64, &'a TargetName);

/// The targets of a service with precomputed name hashes, for repeated ranking.
///
/// Hashing 1,600 names per request would take most of the time that a permit may cost.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    targets: Vec<(u64, TargetName)>,
}

impl TargetTable {
    /// Creates the table and hashes the names of the targets.
    pub fn new(targets: impl IntoIterator<Item = TargetName>) -> Self {
        let targets = targets
            .into_iter()
            .map(|target| (name_hash(&target), target))
            .collect();
        Self { targets }
    }

    /// Returns the best `count` targets for `model`, best first, in the same order as
    /// [`rank_targets`].
    pub fn rank(&self, model: &AdapterVersion, count: usize) -> Vec<&TargetName> {
        best_first(self.scored(model), count)
    }

    /// Returns the best `count` targets for `model` in ranking order starting at `own`, wrapping
    /// around to the first-ranked target after the last.
    pub fn rank_from(
        &self,
        model: &AdapterVersion,
        own: &TargetName,
        count: usize,
    ) -> Vec<&TargetName> {
        let own_score = (score(name_hash(own), adapter_seed(model)), own);
        let from_own = self.scored(model).filter(|it| *it <= own_score);
        let mut ranked = best_first(from_own, count);
        let left = count - ranked.len();
        if left > 0 {
            let before_own = self.scored(model).filter(|it| *it > own_score);
            ranked.extend(best_first(before_own, left));
        }
        ranked
    }

    fn scored(&self, model: &AdapterVersion) -> impl Iterator<Item = ScoredTarget<'_>> {
        let seed = adapter_seed(model);
        let scored = self.targets.iter();
        scored.map(move |(hash, target)| (score(*hash, seed), target))
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

/// Returns the `count` best targets, best first.
///
/// Makes one pass with a heap of the best targets so far, with the worst of them on top. Nearly
/// every target is rejected by a single comparison, and no list of all scores is allocated.
fn best_first<'a>(
    scored: impl Iterator<Item = ScoredTarget<'a>>,
    count: usize,
) -> Vec<&'a TargetName> {
    let mut best = BinaryHeap::new();
    for it in scored {
        if best.len() < count {
            best.push(Reverse(it));
        } else if let Some(mut least) = best.peek_mut()
            && it > least.0
        {
            *least = Reverse(it);
        }
    }
    let best = best.into_sorted_vec().into_iter();
    best.map(|Reverse((_, target))| target).collect()
}
