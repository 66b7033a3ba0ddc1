//! The configuration of an owner.

use std::time::Duration;

use chervilshunt_model::{Epoch, Fencing, TargetName};

use crate::{BreakerConfig, Mechanisms, PolicyWeights};

/// What an owner needs to know about its target and its deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerConfig {
    /// The target.
    pub target: TargetName,
    /// The fencing number under which this owner holds the role.
    pub epoch: Epoch,
    /// Whether the target refuses orders with an old fencing number.
    pub fencing: Fencing,
    /// Number of adapters that the target can hold; 0 for a plain service.
    pub slots: u32,
    /// Number of sequences that the target can run at the same time.
    pub max_batch: u32,
    /// Fixed part of the power that a step draws, in watts. An engine without sequences runs no
    /// steps.
    pub idle_watts: f64,
    /// Power that each running sequence adds, in watts.
    pub watts_per_sequence: f64,
    /// Initial share of the site's power, in watts.
    pub share_watts: f64,
    /// Maximum number of live requests in the queue.
    pub live_queue_bound: usize,
    /// Maximum number of deferrable requests in the queue.
    pub deferrable_queue_bound: usize,
    /// Time within which a permit must be used.
    pub permit_window: Duration,
    /// Minimum time between two loads that start while the load scheduler is unreachable.
    ///
    /// Set to the number of targets that share a weight store multiplied by the store's interval
    /// between loads, it keeps all of them together within the store's load rate.
    pub unscheduled_load_interval: Duration,
    /// The other targets of the service, over which an adapter may be spread.
    pub peers: Vec<TargetName>,
    /// When the circuit breaker stops calls to the target because they fail.
    pub breaker: BreakerConfig,
    /// The relative weights of the deployment's objectives.
    pub weights: PolicyWeights,
    /// The mechanisms that are enabled; outside the bench, all of them are.
    pub mechanisms: Mechanisms,
}
