//! The targets that hold each adapter, as known to one instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{Moment, TargetName};
use serde::{Deserialize, Serialize};

use super::facts::{TargetStart, Weights};

/// A change in whether a target holds an adapter, as reported by the placer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterHolding {
    /// The name of the target.
    pub target: TargetName,
    /// The start of the target that this refers to, or `None` if the target does not report one.
    pub started: Option<TargetStart>,
    /// The adapter.
    pub weights: Weights,
    /// The version that the target holds, or `None` if it no longer holds the adapter or is about
    /// to unload it.
    pub version: Option<u64>,
}

/// A compact summary of what the placer knows about the adapters and the load of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSnapshot {
    /// The name of the target.
    #[serde(rename = "t")]
    pub target: TargetName,
    /// The start of the target that the rest refers to, or `None` if the target does not report
    /// one.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub started: Option<TargetStart>,
    /// The number of requests in flight at the target.
    #[serde(rename = "n")]
    pub in_flight: u32,
    /// The adapters that requests can use, by base model.
    #[serde(rename = "m")]
    pub models: Vec<HeldAdapters>,
    /// The lasting figure of the target's pace, if it states its pace.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<u16>,
}

/// The adapters of one base model that requests can use on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapters {
    /// The name of the base model.
    #[serde(rename = "n")]
    pub model: Arc<str>,
    /// The names of the adapters, each with the version that the target holds.
    #[serde(rename = "a")]
    pub adapters: Vec<(Arc<str>, u64)>,
}

/// The announced versions of some weights, each with the time since which it is known.
///
/// A new version may be announced before the previous one is loaded everywhere. The grace period of
/// each starts at its own announcement: counted from the latest one, an obsolete version would keep
/// serving for as long as new versions follow each other.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnnouncedVersions {
    /// In ascending order of versions, which is the order of their announcement.
    announced: Vec<(u64, Moment)>,
}

impl AnnouncedVersions {
    /// Records a version as the newest, and forgets versions older than one that has been known for
    /// `kept_for`, the longest period that callers ask about.
    pub(crate) fn announce(&mut self, version: u64, kept_for: Duration, now: Moment) {
        if self.newest().is_some_and(|newest| newest >= version) {
            return;
        }
        if let Some(floor) = self.oldest_allowed(kept_for, now) {
            self.announced.retain(|(known, _)| *known >= floor);
        }
        self.announced.push((version, now));
    }

    /// Returns the newest version.
    pub(crate) fn newest(&self) -> Option<u64> {
        self.newest_entry().map(|(version, _)| version)
    }

    /// Returns the newest version and the time since which it is known.
    pub(crate) fn newest_entry(&self) -> Option<(u64, Moment)> {
        self.announced.last().copied()
    }

    /// Returns the time since which the oldest recorded version newer than `version` is known, or
    /// `None` if no newer version is known.
    pub(crate) fn superseded_at(&self, version: u64) -> Option<Moment> {
        let mut newer = self
            .announced
            .iter()
            .filter(|(announced, _)| *announced > version);
        newer.next().map(|(_, since)| *since)
    }

    /// Returns the oldest version that may still serve, which is the newest of those known for
    /// longer than the grace period. Returns `None` if all older ones may serve.
    pub(crate) fn oldest_allowed(&self, grace: Duration, now: Moment) -> Option<u64> {
        let mut announced = self.announced.iter().rev();
        let due = announced.find(|(_, since)| now.since(*since) >= grace);
        due.map(|(version, _)| *version)
    }
}

/// The targets that hold each adapter.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    by_weights: HashMap<Weights, Vec<(TargetName, u64)>>,
}

impl Holders {
    /// Records that a target holds, or no longer holds, an adapter.
    pub(crate) fn set(&mut self, holding: AdapterHolding) {
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

    /// Returns the targets that hold an adapter, each with the version that it holds.
    pub(crate) fn of(&self, weights: &Weights) -> &[(TargetName, u64)] {
        self.by_weights.get(weights).map_or(&[], Vec::as_slice)
    }
}
