//! Which target holds which adapter, as one instance knows it.

use std::collections::HashMap;

use chervilshunt_model::{Moment, TargetName};
use serde::{Deserialize, Serialize};

use super::facts::Weights;

/// A target's hold on an adapter, as the placer tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The target.
    #[serde(rename = "t")]
    pub target: TargetName,
    /// The adapter.
    #[serde(rename = "w")]
    pub weights: Weights,
    /// The version that it holds; none once it no longer does, or is about to stop.
    #[serde(rename = "v")]
    pub version: Option<u64>,
}

/// The newest version of some weights, and since when it is known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Newest {
    pub(crate) version: u64,
    pub(crate) known_since: Moment,
}

/// Holders by adapter.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    by_weights: HashMap<Weights, Vec<(TargetName, u64)>>,
}

impl Holders {
    /// Takes in that a target holds, or no longer holds, an adapter.
    pub(crate) fn set(&mut self, holding: Holding) {
        let held = self.by_weights.entry(holding.weights.clone()).or_default();
        held.retain(|(target, _)| *target != holding.target);
        match holding.version {
            Some(version) => held.push((holding.target, version)),
            None if held.is_empty() => drop(self.by_weights.remove(&holding.weights)),
            None => {}
        }
    }

    /// Forgets everything that one target holds.
    pub(crate) fn forget_target(&mut self, target: &TargetName) {
        self.by_weights.retain(|_, held| {
            held.retain(|(holder, _)| holder != target);
            !held.is_empty()
        });
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        self.by_weights.clear();
    }

    /// Returns the targets that hold an adapter, with the versions that they hold.
    pub(crate) fn of(&self, weights: &Weights) -> &[(TargetName, u64)] {
        self.by_weights.get(weights).map_or(&[], Vec::as_slice)
    }
}
