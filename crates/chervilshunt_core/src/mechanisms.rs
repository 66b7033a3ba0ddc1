//! Switches that let the policy bench disable one mechanism at a time.

use serde::{Deserialize, Serialize};

/// The mechanisms of the placement and power policy; all of them are enabled outside the bench.
///
/// A mechanism that improves no scenario of the bench is removed, so each field stands for a
/// measured gain; see `docs/design/bench.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mechanisms {
    /// Hold an adapter on several targets while its demand requires it.
    pub spread: bool,
    /// Evict the adapter with the lowest expected reload cost instead of the least recently used
    /// one.
    pub cost_eviction: bool,
    /// Grant load turns by urgency instead of in order of arrival.
    pub urgency: bool,
    /// Share permits fairly between callers instead of granting them in order of arrival.
    pub fairness: bool,
    /// Fill batches with deferrable work instead of treating it like live work.
    pub fill: bool,
    /// Prefer targets that are likely to have the prompt's prefix in their cache.
    pub prefix: bool,
    /// Load adapters ahead of demand while the weight store is idle.
    pub ahead: bool,
    /// Give spare power to a few targets with full batches instead of evenly to all.
    pub packing: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            spread: true,
            cost_eviction: true,
            urgency: true,
            fairness: true,
            fill: true,
            prefix: true,
            ahead: true,
            packing: true,
        }
    }
}
