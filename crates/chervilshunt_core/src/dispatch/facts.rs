//! The externally visible state of a target.

use std::cmp::Ordering;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{ServiceName, TargetName, ZoneName};
use serde::{Deserialize, Serialize};

/// The weights requested: a base model or one of its adapters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Weights {
    /// The name of the base model.
    #[serde(rename = "m")]
    pub model: Arc<str>,
    /// The name of the adapter, or `None` for the base model itself.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Arc<str>>,
}

impl Weights {
    /// Creates a reference to a base model.
    pub fn base(model: &Arc<str>) -> Self {
        Self {
            model: Arc::clone(model),
            adapter: None,
        }
    }

    /// Creates a reference to an adapter of a base model.
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

/// An adapter loaded on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedAdapter {
    /// The name of the adapter.
    #[serde(rename = "n")]
    pub name: Arc<str>,
    /// The version of the adapter's weights.
    #[serde(rename = "v")]
    pub version: u64,
}

/// A base model loaded on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The name of the base model.
    #[serde(rename = "n")]
    pub name: Arc<str>,
    /// The version of the base model's weights.
    #[serde(rename = "v")]
    pub version: u64,
    /// The adapters of this base model that are loaded on the target.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<LoadedAdapter>,
}

/// The start time of a target as reported by the target itself, in milliseconds since the Unix
/// epoch.
///
/// A target may restart under the same name, which invalidates everything known about its previous
/// run. Of two starts under one name, the later one is the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetStart(pub u64);

impl TargetStart {
    /// Compares a reported start with the known one. If either is missing, they are considered
    /// equal.
    pub(crate) fn compare(reported: Option<Self>, known: Option<Self>) -> Ordering {
        match (reported, known) {
            (Some(reported), Some(known)) => reported.cmp(&known),
            (Some(_) | None, None) | (None, Some(_)) => Ordering::Equal,
        }
    }
}

/// The version of the software that a target runs; not of the weights that it holds.
///
/// Versions have no order. What targets of two versions generate does not fit together, so a stream
/// may continue only at the version that began it. See `docs/design/stream-origins.md`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Creates a version from its name.
    pub fn new(name: impl Into<Arc<str>>) -> Self {
        Self(name.into())
    }

    /// Returns its name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// How a target is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The time after which the target stops even if requests are still running, if it reports one.
    #[serde(rename = "g")]
    pub gone_after: Option<Duration>,
}

/// A target as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetFacts {
    /// The name of the target, which survives restarts.
    #[serde(rename = "n")]
    pub name: TargetName,
    /// The start time of the target, or `None` if it does not report one.
    #[serde(rename = "b")]
    pub started: Option<TargetStart>,
    /// The service that the target belongs to.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The address at which the target is called.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// The availability zone of the target.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The number of requests that the target executes concurrently.
    #[serde(rename = "c")]
    pub slots: u32,
    /// How the target is leaving, if it is.
    #[serde(rename = "l")]
    pub leaving: Option<Leaving>,
    /// The version of the target's software, or `None` if that is not known. Instances older than this
    /// field omit it.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// The base models loaded on the target; empty for a target of a plain service.
    #[serde(rename = "m")]
    pub models: Vec<LoadedModel>,
}

impl TargetFacts {
    /// Returns the loaded version of a base model, or `None` if the target does not hold the model.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let mut models = self.models.iter();
        models.find(|it| &*it.name == model).map(|it| it.version)
    }

    /// Returns the loaded base models with their versions.
    pub fn model_versions(&self) -> Vec<(Arc<str>, u64)> {
        let models = self.models.iter();
        models
            .map(|it| (Arc::clone(&it.name), it.version))
            .collect()
    }

    /// Returns whether another entry of the target lists the same base models in the same versions.
    pub fn lists_same_models(&self, other: &Self) -> bool {
        let versions = |it: &LoadedModel| (Arc::clone(&it.name), it.version);
        let (here, there) = (self.models.iter(), other.models.iter());
        here.map(versions).eq(there.map(versions))
    }

    /// Returns a copy without the loaded adapters, which change frequently.
    #[must_use]
    pub fn without_adapters(&self) -> Self {
        let mut facts = self.clone();
        for model in &mut facts.models {
            model.adapters.clear();
        }
        facts
    }

    /// Returns whether a newer entry of the target contains a change that every instance has to
    /// learn at once. This covers everything but the loaded adapters, about which the placer
    /// notifies instances.
    pub fn needs_broadcast(&self, newer: &Self) -> bool {
        self.started != newer.started
            || self.service != newer.service
            || self.address != newer.address
            || self.zone != newer.zone
            || self.slots != newer.slots
            || self.software != newer.software
            || self.leaving.is_some() != newer.leaving.is_some()
            || !self.lists_same_models(newer)
    }
}

/// The load that a target reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of requests being executed.
    pub running: u32,
    /// The number of requests queued at the target.
    pub waiting: u32,
    /// The number of requests that the target executes concurrently.
    pub slots: u32,
    /// How long work takes at the target at the moment, in percent of the usual time; `None` if the
    /// target does not state it, or not as a valid number.
    pub pace: Option<u16>,
    /// Whether the target states its pace in a way that cannot be used.
    pub is_pace_malformed: bool,
}

/// The number of tokens that a request reads and generates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The maximum number of tokens to generate.
    pub output_tokens: u32,
}

/// A base model as described in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// The name of the model.
    pub name: Arc<str>,
    /// The size of the model's weights, in megabytes.
    pub megabytes: f64,
    /// How long a load from the weight store takes when no other load is in progress.
    pub load_time: Duration,
    /// The size of each adapter of the model, in megabytes.
    pub adapter_megabytes: f64,
}

/// Limits on what the targets of a service may be ordered to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementLimits {
    /// The models of the service.
    pub models: Vec<ModelSpec>,
    /// The memory for weights in one target, including adapters, in megabytes.
    pub megabytes: f64,
    /// The maximum number of adapters on one target, including those being loaded.
    pub adapter_slots: usize,
    /// The number of base model loads per second that the weight store allows, over all targets.
    pub loads_per_second: f64,
}

impl PlacementLimits {
    /// Returns how many adapters fit on a target in addition to the base model.
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
