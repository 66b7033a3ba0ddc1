//! An engine's reports of its load and its prefix cache, both of which are delayed.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Deserialize;

use crate::EngineClient;
use crate::call::ConnectionUse;
use crate::error::{EngineError, MalformedSnafu};
use crate::prometheus::{self, Sample};

const RUNNING: &str = "vllm:num_requests_running";
const WAITING: &str = "vllm:num_requests_waiting";
const CACHE_USAGE: &str = "vllm:kv_cache_usage_perc";
/// The value of this metric is the time of the report, in seconds since 1970.
const ADAPTERS: &str = "vllm:lora_requests_info";
const RUNNING_ADAPTERS: &str = "running_lora_adapters";

/// An engine's report of its load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of running sequences.
    pub running: u32,
    /// The number of sequences that wait in the engine.
    pub waiting: u32,
    /// The fraction of the KV cache memory that is in use, from 0 to 1.
    pub cache_usage: f64,
    /// The adapters that serve at least one sequence.
    pub running_adapters: Vec<String>,
    /// The age of the report when it was received; `None` if it has no timestamp.
    pub age: Option<Duration>,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// The sequence number; a jump means that events are missing.
    pub sequence: u64,
    /// The kind of change.
    pub kind: CacheEventKind,
    /// The hash of the prompt's prefix, as computed by [`chervilshunt_model::prefix_hash`].
    pub prefix: u64,
}

/// The kind of change to a cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was removed from the cache.
    Removed,
}

#[derive(Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

impl EngineClient {
    /// Requests the engine's load report.
    ///
    /// # Errors
    /// Fails if the engine is unreachable or its answer lacks the number of running sequences.
    pub async fn load_report(&self) -> Result<LoadReport, EngineError> {
        let body = self.get("/metrics", ConnectionUse::POOLED).await?;
        let text = String::from_utf8_lossy(&body);
        read_report(&prometheus::samples(&text), SystemTime::now())
    }

    /// Requests the changes of the engine's prefix cache after the sequence number `after`.
    ///
    /// Events are delayed and some may be missing, so they are only hints.
    ///
    /// # Errors
    /// Fails if the engine is unreachable or its answer is invalid.
    pub async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, EngineError> {
        let path = format!("/v1/cache_events?after={after}");
        let body = self.get(&path, ConnectionUse::POOLED).await?;
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
    // vLLM keeps one sample per set of label values; the newest one is current.
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

/// Returns the sum of a metric over the engine's ranks, or `None` if the metric is missing.
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
