//! Validated settings, as the daemon uses them.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_core::PolicyWeights;
use chervilshunt_model::{InstanceId, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::check;
use crate::error::{ReadSnafu, SettingsError};

/// The settings of an instance; all values are within their bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The identity and location of this instance.
    pub instance: InstanceSettings,
    /// The addresses that it listens on.
    pub addresses: Addresses,
    /// The addresses that others use to connect to it.
    pub advertise: Advertise,
    /// The connection to the platform's object service.
    pub platform: PlatformSettings,
    /// Limits on the resources that callers use.
    pub limits: Limits,
    /// The lease that it renews to show that it is alive.
    pub lease: LeaseSettings,
    /// The weights of the scheduling policy.
    pub policy: PolicyWeights,
    /// The behaviour while the platform is unreachable.
    pub outage: OutageSettings,
    /// The threads of the process.
    pub runtime: RuntimeSettings,
    /// The settings of its log.
    pub log: LogSettings,
}

impl Settings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    /// Returns an error if the file can't be read, or one that lists all problems in it.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).context(ReadSnafu { file: &file })?;
        Self::parse(&text, &file)
    }

    /// Parses and validates the text of a settings file; `file` is its name in errors.
    ///
    /// # Errors
    /// Returns an error that lists all problems in the text.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        check::check(text, file)
    }
}

/// The identity and location of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Its name, which is unique among all instances.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
}

/// The addresses that an instance listens on; with port 0 the system chooses a free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// The address for requests of callers.
    pub callers: SocketAddr,
    /// The address for connections of other instances.
    pub peers: SocketAddr,
    /// The address for statements of operators.
    pub operators: SocketAddr,
}

/// The addresses that others use to connect to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advertise {
    /// The address for connections of other instances, if they can't use the one that the instance
    /// listens on.
    pub peers: Option<SocketAddr>,
}

/// The connection to the platform's object service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
    /// The namespace that holds the deployment's objects.
    pub namespace: Arc<str>,
    /// The time-out of a call.
    pub timeout: Duration,
    /// The maximum number of calls per second of this instance.
    pub calls_per_second: f64,
}

/// Limits on the resources of an instance that callers use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// The time within which the head of a request must arrive.
    pub header_timeout: Duration,
    /// The time within which the body of a request must arrive.
    pub body_timeout: Duration,
    /// The maximum number of open requests.
    pub open_requests: usize,
    /// The maximum number of requests that wait for one target.
    pub queue: QueueBounds,
    /// The maximum size of the part of an answer that is buffered for a slow caller, in bytes.
    pub stream_buffer_bytes: usize,
    /// The time that a graceful shutdown waits for open streams.
    pub shutdown: Duration,
    /// The maximum number of retries, as a ratio to first attempts.
    pub retry_budget_ratio: f64,
    /// The time within which a permit must be used.
    pub permit_window: Duration,
}

/// The maximum number of requests of each class that wait for one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    /// For live requests.
    pub live: usize,
    /// For deferrable requests.
    pub deferrable: usize,
}

/// The lease that an instance renews to show that it is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// The duration of the lease, counted from just before its renewal is sent.
    pub duration: Duration,
    /// The interval between renewals.
    pub renew_every: Duration,
    /// The time before the end of the lease at which the holder stops relying on it.
    pub margin: Duration,
}

/// The behaviour while the platform is unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageSettings {
    /// How non-idempotent requests with an idempotency key are handled.
    pub keyed_requests: KeyedDuringOutage,
}

/// How a non-idempotent request with an idempotency key is handled while its claim can't be
/// recorded.
///
/// There is no option to run it unrecorded, because a second instance could then run it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyedDuringOutage {
    /// It is refused at once as not run, with the time after which to retry.
    Refuse,
    /// It waits for the platform until its deadline, within the limit of the queue.
    Queue,
}

/// The threads of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuntimeSettings {
    /// The number of threads for traffic, in addition to the one for control state.
    pub traffic_threads: usize,
}

/// The settings of an instance's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: LogLevel,
}

/// The severity of a log line; decisions are logged at `Info`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Something has failed.
    Error,
    /// Something may fail soon, or a fault was worked around.
    Warning,
    /// Decisions and changes of state.
    Info,
    /// Details for debugging.
    Debug,
    /// Every message.
    Trace,
}
