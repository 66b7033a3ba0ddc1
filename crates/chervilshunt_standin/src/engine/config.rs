//! Configuration of an engine stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Configuration of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineStandinConfig {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address that serves `/standin/…` even while connections to the main address are refused.
    pub control: SocketAddr,
    /// The name of the base model.
    pub base_model: Arc<str>,
    /// Maximum number of adapters loaded at the same time.
    pub slots: usize,
    /// Maximum number of sequences running at the same time.
    pub max_batch: usize,
    /// Fixed duration of a step.
    pub step: Duration,
    /// Time that each running sequence adds to a step.
    pub step_per_sequence: Duration,
    /// The weight store from which adapters are loaded; without one, a load takes `load_time`.
    pub weights: Option<SocketAddr>,
    /// Duration of a load without a weight store.
    pub load_time: Duration,
    /// Power drawn while no sequence runs, in watts.
    pub idle_watts: f64,
    /// Power added by each running sequence, in watts.
    pub watts_per_sequence: f64,
    /// Delay with which load reports and cache events become visible.
    pub report_lag: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Capacity of the prefix cache, in prompt prefixes.
    pub cached_prefixes: usize,
    /// Seed of the random faults.
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
