//! Which adapters a target has in memory still after it gave up their places.

use indexmap::IndexSet;

use crate::dispatch::Weights;

/// The adapters that a target is taken to keep until loads have shown how many it does.
const FIRST_GUESS: usize = 120;
/// The fewest: those that it holds are copies too.
const FEWEST: usize = 4;

/// How many adapters each target keeps in memory, learnt from how long loads take.
///
/// Nothing tells it. A load of a remembered adapter that takes as long as one from the weight store shows
/// that fewer are kept than were remembered since; a quick load of one taken for forgotten shows more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemorySize(usize);

impl Default for MemorySize {
    fn default() -> Self {
        Self(FIRST_GUESS)
    }
}

impl MemorySize {
    /// Takes in that a load came from the weight store though so many adapters only were used since.
    pub(crate) fn was_forgotten(&mut self, since: usize) {
        self.0 = self.0.min(since).max(FEWEST);
    }

    /// Takes in that a load came from memory though so many adapters were used since.
    pub(crate) fn was_kept(&mut self, since: usize) {
        self.0 = self.0.max(since + 1);
    }

    /// Begins with what another placer has learnt.
    pub(crate) fn begin_with(kept: usize) -> Self {
        Self(kept.max(FEWEST))
    }

    pub(super) const fn get(self) -> usize {
        self.0
    }
}

/// The adapters that one target had of late, the last one at the end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Remembered {
    adapters: IndexSet<Weights>,
}

/// The most that are remembered of one target.
const MOST: usize = 512;

impl Remembered {
    /// Takes note that the target has an adapter now.
    pub(crate) fn note(&mut self, weights: Weights) {
        self.adapters.shift_remove(&weights);
        self.adapters.insert(weights);
        if self.adapters.len() > MOST {
            self.adapters.shift_remove_index(0);
        }
    }

    /// Returns how many adapters the target has had since it last had this one; none if it never had it.
    pub(crate) fn since(&self, weights: &Weights) -> Option<usize> {
        let index = self.adapters.get_index_of(weights)?;
        Some(self.adapters.len() - 1 - index)
    }

    /// Says whether a load of an adapter is taken to come from memory.
    pub(crate) fn keeps(&self, weights: &Weights, size: MemorySize) -> bool {
        self.since(weights).is_some_and(|since| since < size.get())
    }
}
