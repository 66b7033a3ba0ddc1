//! Estimates which adapters a target still has in memory after they were unloaded from its slots.

use indexmap::IndexSet;

use crate::dispatch::Weights;

/// The number of adapters that a target is assumed to keep in memory until loads have shown the
/// actual number.
const INITIAL_ESTIMATE: usize = 120;
/// The smallest estimate; the adapters in slots have copies in memory too.
const MIN_ESTIMATE: usize = 4;

/// The number of adapters that each target keeps in memory, estimated from the duration of loads.
///
/// Targets do not report it. If a load of a remembered adapter takes as long as one from the weight
/// store, fewer are kept than were used since; if the load of an adapter assumed to be evicted is
/// fast, more are kept.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemorySize(usize);

impl Default for MemorySize {
    fn default() -> Self {
        Self(INITIAL_ESTIMATE)
    }
}

impl MemorySize {
    /// Records that a load came from the weight store although only `since` other adapters were
    /// used since.
    pub(crate) fn was_forgotten(&mut self, since: usize) {
        self.0 = self.0.min(since).max(MIN_ESTIMATE);
    }

    /// Records that a load came from memory although `since` other adapters were used since.
    pub(crate) fn was_kept(&mut self, since: usize) {
        self.0 = self.0.max(since + 1);
    }

    /// Starts with the estimate of another placer.
    pub(crate) fn start_with(kept: usize) -> Self {
        Self(kept.max(MIN_ESTIMATE))
    }

    pub(super) const fn get(self) -> usize {
        self.0
    }
}

/// The adapters that one target had recently, the most recent one last.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentAdapters {
    adapters: IndexSet<Weights>,
}

/// The maximum number of adapters remembered per target.
const MAX_RECENT: usize = 512;

impl RecentAdapters {
    /// Records that the target has an adapter now.
    pub(crate) fn record(&mut self, weights: Weights) {
        self.adapters.shift_remove(&weights);
        self.adapters.insert(weights);
        if self.adapters.len() > MAX_RECENT {
            self.adapters.shift_remove_index(0);
        }
    }

    /// Returns how many other adapters the target had since it last had this one, or `None` if it
    /// never had it.
    pub(crate) fn since(&self, weights: &Weights) -> Option<usize> {
        let index = self.adapters.get_index_of(weights)?;
        Some(self.adapters.len() - 1 - index)
    }

    /// Returns whether a load of an adapter is expected to come from memory.
    pub(crate) fn keeps(&self, weights: &Weights, size: MemorySize) -> bool {
        self.since(weights).is_some_and(|since| since < size.get())
    }
}
