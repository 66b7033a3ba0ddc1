//! What an engine stand-in is told at its start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What an engine stand-in is told at its start.
#[derive(Clone, Debug)]
pub struct EngineStandinConfig {
    /// Where to listen; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where to answer its own paths also while connections to the other are refused.
    pub control: SocketAddr,
    /// The name of the base model.
    pub base_model: Arc<str>,
    /// Adapters that it holds at a time.
    pub slots: usize,
    /// Sequences that it runs at a time.
    pub max_batch: usize,
    /// The fixed part of a step's time.
    pub step: Duration,
    /// The part of a step's time that each running sequence adds.
    pub step_per_sequence: Duration,
    /// The weight store that loads come from; without one a load takes `load_time`.
    pub weights: Option<SocketAddr>,
    /// The time of a load without a weight store.
    pub load_time: Duration,
    /// Power of a step that runs no sequence, in watts.
    pub idle_watts: f64,
    /// Power that each running sequence adds, in watts.
    pub watts_per_sequence: f64,
    /// How old load reports and cache events are when they are given out.
    pub report_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Prompt prefixes that the cache holds.
    pub cached_prefixes: usize,
    /// Seeds what is random in faults.
    pub seed: u64,
}

impl Default for EngineStandinConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: SocketAddr::from(([127, 0, 0, 1], 0)),
            base_model: Arc::from("base"),
            slots: 4,
            max_batch: 16,
            step: Duration::from_millis(5),
            step_per_sequence: Duration::ZERO,
            weights: None,
            load_time: Duration::from_millis(20),
            idle_watts: 100.0,
            watts_per_sequence: 25.0,
            report_lag: Duration::from_millis(200),
            checks_fencing: true,
            cached_prefixes: 64,
            seed: 1,
        }
    }
}
