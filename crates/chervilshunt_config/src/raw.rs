//! Settings as they are deserialized: every key is optional, unknown keys are errors.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::settings::{KeyedDuringOutage, LogLevel};

#[cfg(test)]
mod tests;

/// A settings file before validation.
///
/// `Serialize` is derived for a test, which checks that each field has an entry in the table of
/// keys.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawSettings {
    pub(crate) instance: RawInstance,
    pub(crate) addresses: RawAddresses,
    pub(crate) advertise: RawAdvertise,
    pub(crate) platform: RawPlatform,
    pub(crate) limits: RawLimits,
    pub(crate) lease: RawLease,
    pub(crate) policy: RawPolicy,
    pub(crate) outage: RawOutage,
    pub(crate) runtime: RawRuntime,
    pub(crate) log: RawLog,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawInstance {
    pub(crate) id: Option<String>,
    pub(crate) zone: Option<String>,
    pub(crate) region: Option<String>,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawAddresses {
    pub(crate) callers: Option<SocketAddr>,
    pub(crate) peers: Option<SocketAddr>,
    pub(crate) operators: Option<SocketAddr>,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawAdvertise {
    pub(crate) peers: Option<SocketAddr>,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawPlatform {
    pub(crate) address: Option<SocketAddr>,
    pub(crate) namespace: Option<String>,
    pub(crate) timeout_ms: Option<u64>,
    pub(crate) calls_per_second: Option<f64>,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawLimits {
    pub(crate) body_bytes: Option<u64>,
    pub(crate) header_bytes: Option<u64>,
    pub(crate) header_timeout_ms: Option<u64>,
    pub(crate) body_timeout_ms: Option<u64>,
    pub(crate) open_requests: Option<u64>,
    pub(crate) queue_live: Option<u64>,
    pub(crate) queue_deferrable: Option<u64>,
    pub(crate) stream_buffer_bytes: Option<u64>,
    pub(crate) shutdown_ms: Option<u64>,
    pub(crate) retry_budget_ratio: Option<f64>,
    pub(crate) permit_window_ms: Option<u64>,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawLease {
    pub(crate) duration_ms: Option<u64>,
    pub(crate) renew_ms: Option<u64>,
    pub(crate) margin_ms: Option<u64>,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawPolicy {
    pub(crate) load_stalls: Option<f64>,
    pub(crate) batch_efficiency: Option<f64>,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawOutage {
    pub(crate) keyed_requests: Option<KeyedDuringOutage>,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawRuntime {
    pub(crate) traffic_threads: Option<u64>,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawLog {
    pub(crate) level: Option<LogLevel>,
}
