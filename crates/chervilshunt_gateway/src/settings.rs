//! Settings of an instance: JSON with comments, decoded and then checked in one step.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use chervilshunt_core::{QuotaTolerance, RetryBoundConfig};
use chervilshunt_model::{InstanceId, RegionName, ZoneName};
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Errors in settings.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("can't read the settings file {file}: {source}"))]
    Read {
        /// The file.
        file: String,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The text is not JSON with comments, or has unknown keys or invalid values.
    #[snafu(display("{file}: {problem}"))]
    Parse {
        /// The file.
        file: String,
        /// The problem, with line and column where they are known.
        problem: String,
    },
    /// A key is missing.
    #[snafu(display("{file}: missing key {key}"))]
    Missing {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
    },
    /// Two ports have the same address.
    #[snafu(display("{file}: addresses.{first} and addresses.{second} must differ"))]
    SameAddress {
        /// The file.
        file: String,
        /// The key of the first address.
        first: &'static str,
        /// The key of the second address.
        second: &'static str,
    },
    /// A value is out of bounds.
    #[snafu(display("{file}: {key} must {must}"))]
    OutOfBounds {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// The condition that the value has to meet.
        must: &'static str,
    },
}

/// The settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Identity and location of the instance.
    pub instance: InstanceSettings,
    /// The addresses on which it listens.
    pub addresses: Addresses,
    /// How it reaches the platform's object service.
    pub platform: PlatformSettings,
    /// The limits that the operators set.
    pub bounds: Bounds,
    /// Which requests to plain services the placer admits.
    pub plain_admission: PlainAdmission,
    /// The lowest level of lines that are logged.
    pub log_level: LogLevel,
}

/// Identity and location of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceSettings {
    /// Its name, which is unique.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Its share of a processor core; more than 1 if it has several cores.
    pub processor_share: f64,
    /// The number of descriptors that it may open; `None` to ask the system.
    pub max_descriptors: Option<usize>,
    /// The memory that its process may have, in bytes; `None` to ask the system.
    pub max_memory: Option<usize>,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
}

/// The addresses on which an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's readiness probe.
    pub readiness: SocketAddr,
    /// For messages of other instances.
    pub peers: SocketAddr,
    /// For requests that this instance passes on for others.
    pub transit: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// How the platform's object service is reached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// The limits that the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long a shutdown may take before the process is killed.
    pub shutdown: Duration,
    /// Time between two holders of the placer's lease in which no instance may send orders.
    pub handover_gap: Duration,
    /// The bound on retries that all instances make together.
    pub retries: RetryBoundConfig,
    /// By how much teams' quotas may be exceeded.
    pub quota_tolerance: QuotaTolerance,
    /// Time without confirmation of the configuration after which requests that need a key are
    /// refused, because their keys may have been taken away; `None` to serve them.
    pub max_key_age: Option<Duration>,
}

/// Which requests to plain services the placer admits, for all instances together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlainAdmission {
    /// Those of teams with a quota, which ask the placer for their charge anyway.
    #[default]
    Auto,
    /// All.
    Placer,
    /// None: each instance sends them where it sees room.
    Off,
}

/// The lowest level of lines that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures of the instance itself.
    Error,
    /// Conditions that an operator should look at.
    Warning,
    /// Decisions on requests, and changes of what the instance knows.
    #[default]
    Info,
    /// Details of single calls and messages.
    Debug,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawSettings {
    instance: RawInstance,
    addresses: RawAddresses,
    platform: RawPlatform,
    bounds: RawBounds,
    admission: RawAdmission,
    log: RawLog,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawInstance {
    id: Option<String>,
    zone: Option<String>,
    region: Option<String>,
    processor_share: Option<f64>,
    max_descriptors: Option<usize>,
    max_memory_mb: Option<f64>,
    first_start: Option<bool>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawAddresses {
    callers: Option<SocketAddr>,
    readiness: Option<SocketAddr>,
    peers: Option<SocketAddr>,
    transit: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawPlatform {
    address: Option<SocketAddr>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawBounds {
    shutdown_s: Option<f64>,
    lease_rest_ms: Option<u64>,
    retry_window_s: Option<f64>,
    retry_ratio: Option<f64>,
    retry_allowance: Option<f64>,
    quota_window_s: Option<f64>,
    quota_overage: Option<f64>,
    quota_slack: Option<f64>,
    max_key_age_ms: Option<u64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawAdmission {
    plain_services: PlainAdmission,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLog {
    level: LogLevel,
}

/// The smallest number of descriptors with which an instance can serve.
const MIN_DESCRIPTORS: usize = 128;
/// Default share of a processor core.
const DEFAULT_PROCESSOR_SHARE: f64 = 1.0;
/// Default limit of the shutdown.
const DEFAULT_SHUTDOWN: Duration = Duration::from_secs(8);
/// Default time between two placers. [`MAX_ORDER_TRANSIT`] is added to this or to the configured
/// time, because an order may take that long to arrive.
const DEFAULT_HANDOVER_GAP: Duration = Duration::from_secs(3);
const MAX_ORDER_TRANSIT: Duration = Duration::from_millis(300);

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors Fails if the file can't be read or its settings are invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).context(ReadSnafu { file: &file })?;
        Self::parse(&text, &file)
    }

    /// Checks the text of a settings file; `file` is the name used in errors.
    ///
    /// # Errors Fails if the text can't be decoded or a setting is missing or invalid.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsError> {
        let parsed =
            jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default());
        let value: Option<serde_json::Value> = parsed.map_err(|error| problem(file, &error))?;
        let value = value.unwrap_or_default();
        let raw: RawSettings =
            serde_json::from_value(value).map_err(|error| problem(file, &error))?;
        resolve(raw, file)
    }
}

fn problem(file: &str, problem: &dyn std::fmt::Display) -> SettingsError {
    ParseSnafu {
        file,
        problem: problem.to_string(),
    }
    .build()
}

fn resolve(raw: RawSettings, file: &str) -> Result<Settings, SettingsError> {
    let missing = |key| MissingSnafu { file, key };
    let RawSettings {
        instance,
        addresses,
        platform,
        bounds,
        admission,
        log,
    } = raw;
    let id = instance.id.context(missing("instance.id"))?;
    ensure!(
        !id.is_empty(),
        OutOfBoundsSnafu {
            file,
            key: "instance.id",
            must: "not be empty"
        }
    );
    let zone = instance.zone.context(missing("instance.zone"))?;
    let region = instance.region.context(missing("instance.region"))?;
    let processor_share = instance.processor_share.unwrap_or(DEFAULT_PROCESSOR_SHARE);
    ensure!(
        processor_share > 0.0,
        OutOfBoundsSnafu {
            file,
            key: "instance.processor_share",
            must: "be greater than 0"
        }
    );
    ensure!(
        instance
            .max_descriptors
            .is_none_or(|it| it >= MIN_DESCRIPTORS),
        OutOfBoundsSnafu {
            file,
            key: "instance.max_descriptors",
            must: "be 128 or more"
        }
    );
    ensure!(
        instance.max_memory_mb.is_none_or(|it| it > 0.0),
        OutOfBoundsSnafu {
            file,
            key: "instance.max_memory_mb",
            must: "be greater than 0"
        }
    );
    Ok(Settings {
        instance: InstanceSettings {
            id: InstanceId::new(id),
            zone: ZoneName::new(zone),
            region: RegionName::new(region),
            processor_share,
            max_descriptors: instance.max_descriptors,
            max_memory: instance.max_memory_mb.map(|it| (it * 1e6) as usize),
            is_first_start: instance.first_start.unwrap_or(true),
        },
        addresses: resolve_addresses(&addresses, file)?,
        platform: PlatformSettings {
            address: platform.address.context(missing("platform.address"))?,
        },
        bounds: resolve_bounds(&bounds, file)?,
        plain_admission: admission.plain_services,
        log_level: log.level,
    })
}

fn resolve_addresses(raw: &RawAddresses, file: &str) -> Result<Addresses, SettingsError> {
    let missing = |key| MissingSnafu { file, key };
    let addresses = Addresses {
        callers: raw.callers.context(missing("addresses.callers"))?,
        readiness: raw.readiness.context(missing("addresses.readiness"))?,
        peers: raw.peers.context(missing("addresses.peers"))?,
        transit: raw.transit.context(missing("addresses.transit"))?,
        metrics: raw.metrics.context(missing("addresses.metrics"))?,
    };
    let keyed = [
        ("callers", addresses.callers),
        ("readiness", addresses.readiness),
        ("peers", addresses.peers),
        ("transit", addresses.transit),
        ("metrics", addresses.metrics),
    ];
    for (number, (first, address)) in keyed.iter().enumerate() {
        // The system chooses a different port for each 0.
        let same = keyed[number + 1..].iter().find(|it| it.1 == *address);
        if let Some((second, _)) = same
            && address.port() != 0
        {
            return SameAddressSnafu {
                file,
                first: *first,
                second: *second,
            }
            .fail();
        }
    }
    Ok(addresses)
}

fn resolve_bounds(raw: &RawBounds, file: &str) -> Result<Bounds, SettingsError> {
    let defaults = RetryBoundConfig::default();
    let seconds = |key, value: Option<f64>, default: Duration| {
        let value = value.unwrap_or(default.as_secs_f64());
        let must = "be a duration greater than 0";
        ensure!(value > 0.0, OutOfBoundsSnafu { file, key, must });
        Duration::try_from_secs_f64(value)
            .ok()
            .context(OutOfBoundsSnafu { file, key, must })
    };
    let tolerance = QuotaTolerance::default();
    let overage = raw.quota_overage.unwrap_or(tolerance.overage);
    let slack = raw.quota_slack.unwrap_or(tolerance.slack);
    let ratio = raw.retry_ratio.unwrap_or(defaults.ratio);
    let allowance = raw.retry_allowance.unwrap_or(defaults.allowance);
    let must = "be a duration greater than 0";
    let key = "bounds.max_key_age_ms";
    ensure!(
        raw.max_key_age_ms != Some(0),
        OutOfBoundsSnafu { file, key, must }
    );
    for (key, value) in [
        ("bounds.retry_ratio", ratio),
        ("bounds.retry_allowance", allowance),
        ("bounds.quota_overage", overage),
        ("bounds.quota_slack", slack),
    ] {
        let must = "not be negative";
        ensure!(value >= 0.0, OutOfBoundsSnafu { file, key, must });
    }
    let gap = raw
        .lease_rest_ms
        .map_or(DEFAULT_HANDOVER_GAP, Duration::from_millis);
    Ok(Bounds {
        shutdown: seconds("bounds.shutdown_s", raw.shutdown_s, DEFAULT_SHUTDOWN)?,
        handover_gap: gap + MAX_ORDER_TRANSIT,
        retries: RetryBoundConfig {
            window: seconds("bounds.retry_window_s", raw.retry_window_s, defaults.window)?,
            ratio,
            allowance,
        },
        quota_tolerance: QuotaTolerance {
            window: seconds(
                "bounds.quota_window_s",
                raw.quota_window_s,
                tolerance.window,
            )?,
            overage,
            slack,
        },
        max_key_age: raw.max_key_age_ms.map(Duration::from_millis),
    })
}
