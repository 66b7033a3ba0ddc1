//! What is known of a target from outside.

use std::cmp::Ordering;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{ServiceName, TargetName, ZoneName};
use serde::{Deserialize, Serialize};

/// The weights that a request names: a base model, or an adapter of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Weights {
    /// The base model.
    #[serde(rename = "m")]
    pub model: Arc<str>,
    /// The adapter; none for the base model itself.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Arc<str>>,
}

impl Weights {
    /// Names a base model.
    pub fn base(model: &Arc<str>) -> Self {
        Self {
            model: Arc::clone(model),
            adapter: None,
        }
    }

    /// Names an adapter of a base model.
    pub fn adapter(model: &Arc<str>, adapter: &Arc<str>) -> Self {
        Self {
            model: Arc::clone(model),
            adapter: Some(Arc::clone(adapter)),
        }
    }
}

impl fmt::Display for Weights {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => f.write_str(&self.model),
        }
    }
}

/// An adapter that a target holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedAdapter {
    /// Its name.
    #[serde(rename = "n")]
    pub name: Arc<str>,
    /// The version of its weights.
    #[serde(rename = "v")]
    pub version: u64,
}

/// A base model that a target holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Its name.
    #[serde(rename = "n")]
    pub name: Arc<str>,
    /// The version of its weights.
    #[serde(rename = "v")]
    pub version: u64,
    /// Its adapters at the target.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<LoadedAdapter>,
}

/// When a target started, as it says itself, in milliseconds of the Unix epoch.
///
/// A target may start again under the name that it had; what was known of it before is void then.
/// Of two starts under one name the later one is the target that is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetStart(pub u64);

impl TargetStart {
    /// Compares what was told with what is known; where one of them is missing they count as the
    /// same start.
    pub(crate) fn compare(told: Option<Self>, known: Option<Self>) -> Ordering {
        match (told, known) {
            (Some(told), Some(known)) => told.cmp(&known),
            (Some(_) | None, None) | (None, Some(_)) => Ordering::Equal,
        }
    }
}

/// How a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The time after which it is gone whatever it is doing, if it says so.
    #[serde(rename = "g")]
    pub gone_after: Option<Duration>,
}

/// What the platform lists of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetFacts {
    /// Its name, which it keeps when it starts again.
    #[serde(rename = "n")]
    pub name: TargetName,
    /// When it started; none if it doesn't say so.
    #[serde(rename = "b")]
    pub started: Option<TargetStart>,
    /// The service that it belongs to.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Where it is called.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Where it stands.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Requests that it works on at a time.
    #[serde(rename = "c")]
    pub slots: u32,
    /// Whether and how it leaves.
    #[serde(rename = "l")]
    pub leaving: Option<Leaving>,
    /// The models that it holds; empty for a target of a plain service.
    #[serde(rename = "m")]
    pub models: Vec<LoadedModel>,
}

impl TargetFacts {
    /// Returns the version of a base model that it holds; none if it doesn't hold the model.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let mut models = self.models.iter();
        models.find(|it| &*it.name == model).map(|it| it.version)
    }

    /// Returns the base models that it holds, with their versions.
    pub fn model_versions(&self) -> Vec<(Arc<str>, u64)> {
        let models = self.models.iter();
        models
            .map(|it| (Arc::clone(&it.name), it.version))
            .collect()
    }

    /// Says whether another entry of the target lists the same base models in the same versions.
    pub fn lists_same_models(&self, other: &Self) -> bool {
        let versions = |it: &LoadedModel| (Arc::clone(&it.name), it.version);
        let (here, there) = (self.models.iter(), other.models.iter());
        here.map(versions).eq(there.map(versions))
    }

    /// Returns the facts without the adapters that it lists, which change all the time.
    #[must_use]
    pub fn without_adapters(&self) -> Self {
        let mut facts = self.clone();
        for model in &mut facts.models {
            model.adapters.clear();
        }
        facts
    }

    /// Says whether a newer entry of the target tells something that every instance has to know
    /// at once: all but the adapters that it holds, which the placer tells.
    pub fn concerns_all(&self, newer: &Self) -> bool {
        self.started != newer.started
            || self.service != newer.service
            || self.address != newer.address
            || self.zone != newer.zone
            || self.slots != newer.slots
            || self.leaving.is_some() != newer.leaving.is_some()
            || !self.lists_same_models(newer)
    }
}

/// What a target says of its load with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests being worked on.
    pub running: u32,
    /// Requests that wait at the target.
    pub waiting: u32,
    /// Requests that it works on at a time.
    pub slots: u32,
}

/// How much a request reads and generates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// The tokens of its prompt.
    pub prompt_tokens: u32,
    /// The most tokens that are generated for it.
    pub output_tokens: u32,
}

/// A base model as the configuration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Its name.
    pub name: Arc<str>,
    /// The size of its weights, in megabytes.
    pub megabytes: f64,
    /// How long a load from the weight store takes when no other is under way.
    pub load_time: Duration,
    /// The size of each of its adapters, in megabytes.
    pub adapter_megabytes: f64,
}

/// How much the targets of a service may be ordered to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementLimits {
    /// The models of the service.
    pub models: Vec<ModelSpec>,
    /// Room for weights in one target, in megabytes, adapters included.
    pub megabytes: f64,
    /// Adapters that one target may hold, those being loaded included.
    pub adapter_slots: usize,
    /// Loads of base models that the weight store allows in a second, over all targets.
    pub loads_per_second: f64,
}

impl PlacementLimits {
    /// Returns how many adapters a target may hold beside the base model.
    pub fn adapters_beside(&self, model: &str) -> usize {
        let Some(spec) = self.models.iter().find(|spec| &*spec.name == model) else {
            return 0;
        };
        if spec.adapter_megabytes <= 0.0 {
            return self.adapter_slots;
        }
        let room = (self.megabytes - spec.megabytes).max(0.0) / spec.adapter_megabytes;
        self.adapter_slots.min(room as usize)
    }
}
