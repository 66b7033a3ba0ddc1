//! The objects that operators create, and the deployment that they make up.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterMap, AdapterVersion, Class, PriorityName, Revision, ServiceName, SiteName, StoreName,
    TargetName, VersionMap, ZoneName,
};

/// Everything that is in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    /// The revision at which these objects came into force.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, Target>,
    /// Adapters by name.
    pub adapters: AdapterMap,
    /// Priorities by name.
    pub priorities: BTreeMap<PriorityName, Priority>,
    /// Sites, each with its cap on power.
    pub sites: BTreeMap<SiteName, Site>,
    /// Weight stores, each with the loads that it bears.
    pub stores: BTreeMap<StoreName, WeightStore>,
}

impl Deployment {
    /// Returns the version object that `model` names, if it exists.
    pub fn version(&self, model: &AdapterVersion) -> Option<&Version> {
        self.adapters
            .get(&model.adapter)?
            .versions
            .get(&model.version)
    }

    /// Returns the targets of a service that take new work, in name order.
    pub fn active_targets<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a TargetName, &'a Target)> {
        self.targets.iter().filter(move |(_, target)| {
            target.service == *service && target.lifecycle == Lifecycle::Active
        })
    }
}

/// A group of targets that answer the same calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What stands behind the targets.
    pub kind: ServiceKind,
    /// The priority of requests that name none.
    pub priority: PriorityName,
    /// Whether a call may be repeated when the request does not say so itself.
    ///
    /// Completions are idempotent in this sense; finish entries and manifests are not.
    pub idempotent: bool,
    /// How long a request may take when it does not say so itself, in milliseconds.
    pub deadline_ms: u64,
}

/// What stands behind the targets of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that hold adapters of this base model in their slots.
    Engine {
        /// The name by which the engines know the base model.
        base_model: Arc<str>,
    },
    /// Plain HTTP services.
    Plain,
}

/// One replica of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The service that it is a replica of.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone it stands in.
    pub zone: ZoneName,
    /// The site whose power it draws.
    pub site: SiteName,
    /// The weight store that it loads adapters from.
    pub store: StoreName,
    /// The adapters that it can hold at a time; 0 for plain services.
    pub slots: u32,
    /// The sequences, or calls of a plain service, that it can run at a time.
    pub max_batch: u32,
    /// Whether it refuses orders that carry an old fencing number.
    pub fencing: Fencing,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// Power of a step that runs no sequence, in watts.
    pub idle_watts: f64,
    /// Power that each running sequence adds, in watts.
    pub watts_per_sequence: f64,
}

/// Whether a target checks who gives it an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses an order whose fencing number is lower than one it has seen.
    Checks,
    /// It carries out any order.
    Ignores,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// It takes new work.
    Active,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// A LoRA adapter with its versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The service whose engines serve it.
    pub service: ServiceName,
    /// The priority of its requests, in place of the service's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<PriorityName>,
    /// Its versions by name.
    #[serde(default, skip_serializing_if = "VersionMap::is_empty")]
    pub versions: VersionMap,
}

/// One version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Where the weight store keeps its weights.
    pub source: Arc<str>,
}

/// What separates live work from work that can wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// The class of requests with this priority.
    pub class: Class,
    /// Share among requests of the same class, at least 1.
    pub weight: u32,
}

/// A site with its cap on electric power.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The power that all its targets together may draw, in watts.
    pub cap_watts: f64,
}

/// A rate-limited weight store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// Loads that run at full speed side by side.
    pub concurrency: u32,
    /// Loads a second that it gives in all.
    pub loads_per_second: f64,
}
