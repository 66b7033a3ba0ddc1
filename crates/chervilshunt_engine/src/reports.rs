//! What an engine tells of its load and its prefix cache. Both come late.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Deserialize;

use crate::EngineClient;
use crate::error::{EngineError, MalformedSnafu};
use crate::prometheus::{self, Sample};

const RUNNING: &str = "vllm:num_requests_running";
const WAITING: &str = "vllm:num_requests_waiting";
const CACHE_USAGE: &str = "vllm:kv_cache_usage_perc";
/// Its value is the time at which the report was taken, in seconds since 1970.
const ADAPTERS: &str = "vllm:lora_requests_info";
const RUNNING_ADAPTERS: &str = "running_lora_adapters";

/// An engine's report of its load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting inside the engine.
    pub waiting: u32,
    /// Share of the memory for KV cache that is in use, 0 to 1.
    pub cache_usage: f64,
    /// Adapters that serve a sequence.
    pub running_adapters: Vec<String>,
    /// How old the report was when it was read; none if it doesn't say.
    pub age: Option<Duration>,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Its number; a jump is a gap.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The hash of the prompt's start, as [`chervilshunt_model::prefix_hash`] makes it.
    pub prefix: u64,
}

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It is cached now.
    Stored,
    /// It is no longer cached.
    Removed,
}

#[derive(Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

impl EngineClient {
    /// Asks the engine for its report of its load.
    ///
    /// # Errors
    /// Fails if it can't be reached, or its answer lacks the number of running sequences.
    pub async fn report(&self) -> Result<LoadReport, EngineError> {
        let body = self.question("/metrics").await?;
        let text = String::from_utf8_lossy(&body);
        read_report(&prometheus::samples(&text), SystemTime::now())
    }

    /// Asks the engine for the changes of its prefix cache after number `after`.
    ///
    /// Events come late and some are missing, so that they may serve as hints only.
    ///
    /// # Errors
    /// Fails if it can't be reached or its answer can't be read.
    pub async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, EngineError> {
        let body = self
            .question(&format!("/v1/cache_events?after={after}"))
            .await?;
        match serde_json::from_slice::<CacheEvents>(&body) {
            Ok(answer) => Ok(answer.events),
            Err(err) => MalformedSnafu {
                problem: err.to_string(),
            }
            .fail(),
        }
    }
}

fn read_report(samples: &[Sample<'_>], now: SystemTime) -> Result<LoadReport, EngineError> {
    let Some(running) = sum(samples, RUNNING) else {
        return MalformedSnafu {
            problem: format!("{RUNNING} is missing"),
        }
        .fail();
    };
    // vLLM leaves a sample behind for each set of labels; the newest one is in force.
    let adapters = samples
        .iter()
        .filter(|sample| sample.name == ADAPTERS)
        .max_by(|a, b| a.value.total_cmp(&b.value));
    Ok(LoadReport {
        running: running as u32,
        waiting: sum(samples, WAITING).unwrap_or(0.0) as u32,
        cache_usage: sum(samples, CACHE_USAGE).unwrap_or(0.0),
        running_adapters: adapters.map(running_adapters).unwrap_or_default(),
        age: adapters.map(|sample| age(sample.value, now)),
    })
}

/// Adds up a metric over the engine's ranks; none if it isn't there.
fn sum(samples: &[Sample<'_>], name: &str) -> Option<f64> {
    let mut values = samples.iter().filter(|sample| sample.name == name);
    let first = values.next()?.value;
    Some(values.fold(first, |sum, sample| sum + sample.value))
}

fn running_adapters(sample: &Sample<'_>) -> Vec<String> {
    let names = sample.label(RUNNING_ADAPTERS).unwrap_or_default();
    names
        .split(',')
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
        .collect()
}

fn age(taken_unix: f64, now: SystemTime) -> Duration {
    let taken = Duration::try_from_secs_f64(taken_unix).unwrap_or_default();
    let now = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_sub(taken)
}
