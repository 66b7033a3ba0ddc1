//! Which target holds which adapter, as one instance knows it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{Moment, TargetName};
use serde::{Deserialize, Serialize};

use super::facts::{TargetStart, Weights};

/// A target's hold on an adapter, as the placer knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The target.
    pub target: TargetName,
    /// When the target started that holds it; none if it doesn't say so.
    pub started: Option<TargetStart>,
    /// The adapter.
    pub weights: Weights,
    /// The version that it holds; none once it no longer does, or is about to stop.
    pub version: Option<u64>,
}

/// All that the placer knows of what one target holds and does, in few bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSnapshot {
    /// The target.
    #[serde(rename = "t")]
    pub target: TargetName,
    /// When the target started that the rest is about; none if it doesn't say so.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub started: Option<TargetStart>,
    /// Requests under way there.
    #[serde(rename = "n")]
    pub in_flight: u32,
    /// The adapters that requests can use, by base model.
    #[serde(rename = "m")]
    pub models: Vec<HeldAdapters>,
}

/// The adapters of one base model that requests can use at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapters {
    /// The base model.
    #[serde(rename = "n")]
    pub model: Arc<str>,
    /// The adapters' names with the versions that are held.
    #[serde(rename = "a")]
    pub adapters: Vec<(Arc<str>, u64)>,
}

/// The versions of some weights that have been named, and since when each is known.
///
/// One may be named before the last one is everywhere. Each is counted from its own naming: counted
/// from the last one, a version that should long have gone would serve for as long as new ones follow
/// each other.
#[derive(Clone, Debug, Default)]
pub(crate) struct NamedVersions {
    /// In the order of their numbers, which is that of their naming.
    named: Vec<(u64, Moment)>,
}

impl NamedVersions {
    /// Takes in that a version is the newest, and forgets those older than one that has been known for
    /// `kept_for`, the longest time that is asked about.
    pub(crate) fn name(&mut self, version: u64, kept_for: Duration, now: Moment) {
        if self.newest().is_some_and(|newest| newest >= version) {
            return;
        }
        if let Some(floor) = self.oldest_allowed(kept_for, now) {
            self.named.retain(|(known, _)| *known >= floor);
        }
        self.named.push((version, now));
    }

    /// Returns the newest version.
    pub(crate) fn newest(&self) -> Option<u64> {
        self.newest_entry().map(|(version, _)| version)
    }

    /// Returns the newest version and the moment since which it has been known.
    pub(crate) fn newest_entry(&self) -> Option<(u64, Moment)> {
        self.named.last().copied()
    }

    /// Returns since when the oldest listed version newer than the given one has been known; None if
    /// no newer version is known.
    pub(crate) fn superseded_at(&self, version: u64) -> Option<Moment> {
        let mut newer = self.named.iter().filter(|(named, _)| *named > version);
        newer.next().map(|(_, since)| *since)
    }

    /// Returns the oldest version that may still serve: the newest of those that have been known for
    /// longer than the grace. None if all older ones may.
    pub(crate) fn oldest_allowed(&self, grace: Duration, now: Moment) -> Option<u64> {
        let mut named = self.named.iter().rev();
        let due = named.find(|(_, since)| now.since(*since) >= grace);
        due.map(|(version, _)| *version)
    }
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

    /// Returns the targets that hold an adapter, with the versions that they hold.
    pub(crate) fn of(&self, weights: &Weights) -> &[(TargetName, u64)] {
        self.by_weights.get(weights).map_or(&[], Vec::as_slice)
    }
}
