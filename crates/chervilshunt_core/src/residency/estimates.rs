//! Estimates that a placer passes on, so that its successor does not have to repeat the
//! measurement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A placer's estimates of the weight store and of the targets' memory.
///
/// Estimating takes a second or more of loads, during which callers of cold adapters are refused.
/// The estimates are therefore sent to all instances, any of which may become the next placer. They
/// are only initial values: where they are wrong, the next rounds of loads correct them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEstimates {
    /// The duration of a load from the weight store at full speed.
    #[serde(rename = "t")]
    pub load_time: Duration,
    /// The number of concurrent loads that the weight store serves at full speed.
    #[serde(rename = "n")]
    pub loads_at_once: u32,
    /// The number of adapters that each target keeps in memory.
    #[serde(rename = "k")]
    pub kept_in_memory: u32,
}
