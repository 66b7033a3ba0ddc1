//! What an owner is told when it starts.

use std::time::Duration;

use chervilshunt_model::{Epoch, Fencing, TargetName};

use crate::{BreakerConfig, Mechanisms, PolicyWeights};

/// What an owner has to know of its target and deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerConfig {
    /// The target.
    pub target: TargetName,
    /// The fencing number under which this owner holds the role.
    pub epoch: Epoch,
    /// Whether the target refuses old fencing numbers.
    pub fencing: Fencing,
    /// Adapters that the target can hold; 0 for a plain service.
    pub slots: u32,
    /// Sequences that the target can run at a time.
    pub max_batch: u32,
    /// Fixed part of a step's power, in watts; an engine without a sequence runs no step.
    pub idle_watts: f64,
    /// Power that each running sequence adds, in watts.
    pub watts_per_sequence: f64,
    /// Share of the site's power at the start, in watts.
    pub share_watts: f64,
    /// The most live requests that may wait.
    pub live_queue_bound: usize,
    /// The most deferrable requests that may wait.
    pub deferrable_queue_bound: usize,
    /// The time within which a permit has to be used.
    pub permit_window: Duration,
    /// The time between two loads begun while the load scheduler can't be reached.
    ///
    /// Targets of the store times the seconds between loads of the store keeps them all together
    /// within the store's rate.
    pub unscheduled_load_interval: Duration,
    /// Other targets of the service, over which an adapter may be spread.
    pub peers: Vec<TargetName>,
    /// When calls to the target are stopped because they fail.
    pub breaker: BreakerConfig,
    /// What the deployment minds most.
    pub weights: PolicyWeights,
    /// The mechanisms that are on; all of them outside the bench.
    pub mechanisms: Mechanisms,
}
