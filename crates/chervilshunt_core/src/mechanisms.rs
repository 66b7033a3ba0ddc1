//! Switches by which the policy bench turns off one mechanism at a time.

use serde::{Deserialize, Serialize};

/// The mechanisms that make up the policy; all are on outside the bench.
///
/// A mechanism whose absence costs nothing on any scenario of the bench is taken out, so each field
/// stands for a measured gain; see `docs/design/bench.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mechanisms {
    /// Hold an adapter on several targets while its demand asks for it.
    pub spread: bool,
    /// Evict by the expected cost of loading again, rather than the least recently used.
    pub cost_eviction: bool,
    /// Give turns to load by urgency, rather than in order of arrival.
    pub urgency: bool,
    /// Share permits between callers, rather than in order of arrival.
    pub fairness: bool,
    /// Fill batches with deferrable work, rather than treat it like live work.
    pub fill: bool,
    /// Prefer targets that are likely to hold the prefix of the prompt.
    pub prefix: bool,
    /// Load adapters ahead of demand while the weight store is idle.
    pub ahead: bool,
    /// Give spare power to few targets with full batches, rather than evenly to all.
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
