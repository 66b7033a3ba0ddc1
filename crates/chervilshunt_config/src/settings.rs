//! Checked settings, as the daemon uses them.

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

/// Everything that one instance learns from its settings; all values are within their bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who this instance is and where it stands.
    pub instance: InstanceSettings,
    /// Where it listens.
    pub addresses: Addresses,
    /// What others are told of where it listens.
    pub advertise: Advertise,
    /// How it reaches the platform's object service.
    pub platform: PlatformSettings,
    /// Bounds on what callers may use.
    pub limits: Limits,
    /// The lease that it renews to show that it lives.
    pub lease: LeaseSettings,
    /// What the deployment minds most.
    pub policy: PolicyWeights,
    /// What happens while the platform is out of reach.
    pub outage: OutageSettings,
    /// Threads of the process.
    pub runtime: RuntimeSettings,
    /// What it writes to its log.
    pub log: LogSettings,
}

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    /// Fails if the file can't be read, or lists all that is wrong with it.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).context(ReadSnafu { file: &file })?;
        Self::parse(&text, &file)
    }

    /// Checks the text of a settings file; `file` is the name that errors give.
    ///
    /// # Errors
    /// Lists all that is wrong with the text.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        check::check(text, file)
    }
}

/// Who an instance is and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Its name, unlike that of any other instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
}

/// The addresses that an instance listens on; port 0 takes any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where other instances connect.
    pub peers: SocketAddr,
    /// Where operators send statements.
    pub operators: SocketAddr,
}

/// What others are told of where an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advertise {
    /// Where other instances connect, if it is not the address that the instance listens on.
    pub peers: Option<SocketAddr>,
}

/// How the platform's object service is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
    /// The namespace that holds the deployment's objects.
    pub namespace: Arc<str>,
    /// How long a call may take.
    pub timeout: Duration,
    /// The most calls that this instance makes a second.
    pub calls_per_second: f64,
}

/// Bounds on what callers may use of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest head of a request, in bytes.
    pub header_bytes: usize,
    /// How long the head of a request may take to arrive.
    pub header_timeout: Duration,
    /// How long the body of a request may take to arrive.
    pub body_timeout: Duration,
    /// The most requests that are open at a time.
    pub open_requests: usize,
    /// The most requests that wait for one target.
    pub queue: QueueBounds,
    /// The most of an answer that is held for a slow caller, in bytes.
    pub stream_buffer_bytes: usize,
    /// How long a graceful shutdown waits for open streams.
    pub shutdown: Duration,
    /// The most retries, as a share of first tries.
    pub retry_budget_ratio: f64,
    /// The time within which a permit has to be used.
    pub permit_window: Duration,
}

/// The most requests of each class that wait for one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    /// For live requests.
    pub live: usize,
    /// For deferrable requests.
    pub deferrable: usize,
}

/// The lease that an instance renews to show that it lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long the lease holds from before its renewal was sent.
    pub duration: Duration,
    /// How often it is renewed.
    pub renew_every: Duration,
    /// How much earlier than the lease's end the holder stops relying on it.
    pub margin: Duration,
}

/// What happens while the platform is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageSettings {
    /// What a keyed, non-idempotent request gets.
    pub keyed_requests: KeyedDuringOutage,
}

/// What a keyed, non-idempotent request gets while its claim can't be recorded.
///
/// There is no choice to run it unrecorded: a second instance could then run it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyedDuringOutage {
    /// It is refused at once as not run, and told when to come back.
    Refuse,
    /// It waits for the platform until its deadline, within the queue's bound.
    Queue,
}

/// Threads of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuntimeSettings {
    /// Threads that carry traffic, beside the one for control state.
    pub traffic_threads: usize,
}

/// What an instance writes to its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: LogLevel,
}

/// How severe a log line is; decisions are written at `Info`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Something has failed.
    Error,
    /// Something may fail soon, or was worked round.
    Warning,
    /// Decisions and changes of state.
    Info,
    /// Details for the search for a fault.
    Debug,
    /// Every message.
    Trace,
}
