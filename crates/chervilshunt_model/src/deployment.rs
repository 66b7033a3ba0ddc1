//! The objects that operators create, and the deployment that contains them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterMap, AdapterVersion, Class, PriorityName, Revision, ServiceName, SiteName, StoreName,
    TargetName, VersionMap, ZoneName,
};

/// All objects that are in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    /// The revision of the configuration.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, Target>,
    /// Adapters by name.
    pub adapters: AdapterMap,
    /// Priorities by name.
    pub priorities: BTreeMap<PriorityName, Priority>,
    /// Sites by name, each with its power cap.
    pub sites: BTreeMap<SiteName, Site>,
    /// Weight stores by name, each with its load limits.
    pub stores: BTreeMap<StoreName, WeightStore>,
}

impl Deployment {
    /// Returns the version that `model` refers to, if it exists.
    pub fn version(&self, model: &AdapterVersion) -> Option<&Version> {
        self.adapters
            .get(&model.adapter)?
            .versions
            .get(&model.version)
    }

    /// Returns the targets of a service that accept new work, ordered by name.
    pub fn active_targets<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a TargetName, &'a Target)> {
        self.targets.iter().filter(move |(_, target)| {
            target.service == *service && target.lifecycle == Lifecycle::Active
        })
    }
}

/// A group of interchangeable targets, which serve the same calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The kind of back end.
    pub kind: ServiceKind,
    /// The default priority, for requests that specify none.
    pub priority: PriorityName,
    /// Whether calls may be retried, for requests that don't specify it.
    ///
    /// Completions are idempotent in this sense; finish entries and manifests are not.
    pub idempotent: bool,
    /// The default deadline, for requests that specify none, in milliseconds.
    pub deadline_ms: u64,
}

/// The kind of back end of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// LLM engines that hold adapters of one base model in their slots.
    Engine {
        /// The name of the base model in the engines.
        base_model: Arc<str>,
    },
    /// Plain HTTP services.
    Plain,
}

/// One replica of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The service of which it is a replica.
    pub service: ServiceName,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// The site that supplies its power.
    pub site: SiteName,
    /// The weight store from which it loads adapters.
    pub store: StoreName,
    /// The number of adapters that it can hold at a time. 0 for plain services.
    pub slots: u32,
    /// The number of sequences, or calls of a plain service, that it can run concurrently.
    pub max_batch: u32,
    /// Whether it refuses orders with an outdated fencing number.
    pub fencing: Fencing,
    /// Whether it accepts new work.
    pub lifecycle: Lifecycle,
    /// The power draw of a step that runs no sequence, in watts.
    pub idle_watts: f64,
    /// The additional power draw of each running sequence, in watts.
    pub watts_per_sequence: f64,
}

/// Whether a target checks the fencing numbers of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The target refuses orders with a fencing number lower than the highest it has seen.
    Checks,
    /// The target executes orders regardless of their fencing number.
    Ignores,
}

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// The target accepts new work.
    Active,
    /// The target completes its running work and accepts no new work.
    Draining,
}

/// A LoRA adapter with its versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The service whose engines serve the adapter.
    pub service: ServiceName,
    /// The default priority of its requests, overriding that of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<PriorityName>,
    /// The versions by name.
    #[serde(default, skip_serializing_if = "VersionMap::is_empty")]
    pub versions: VersionMap,
}

/// One version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The location of the weights in the weight store.
    pub source: Arc<str>,
}

/// A priority level of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// The class of requests with this priority.
    pub class: Class,
    /// The relative share among requests of the same class, at least 1.
    pub weight: u32,
}

/// A site with its power cap.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The maximum power draw of all targets of the site together, in watts.
    pub cap_watts: f64,
}

/// A rate-limited weight store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// The number of loads that can run concurrently at full speed.
    pub concurrency: u32,
    /// The total rate limit, in loads per second.
    pub loads_per_second: f64,
}
