//! Parses and validates the text of a settings file, and collects all problems in one pass.

use std::net::SocketAddr;
use std::num::NonZero;
use std::time::Duration;

use chervilshunt_core::PolicyWeights;
use chervilshunt_model::{InstanceId, RegionName, ZoneName};
use jsonc_parser::ast::Value as Node;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::Value;
use serde_path_to_error::Segment;

use crate::error::{InvalidSnafu, Problem, SettingsError};
use crate::keys::{MAX_NAME_LEN, SECTIONS, Shape, find_key, find_section};
use crate::locate::{Position, duplicates, position_at, position_of};
use crate::raw::{RawLease, RawLimits, RawPlatform, RawSettings};
use crate::settings::{
    Addresses, Advertise, InstanceSettings, KeyedDuringOutage, LeaseSettings, Limits, LogLevel,
    LogSettings, OutageSettings, PlatformSettings, QueueBounds, RuntimeSettings, Settings,
};

/// Only comments and trailing commas are allowed beyond JSON, as in the JSONC modes of editors.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
};

/// The depth of a key's path: `section.key`; the values of keys are not objects.
const KEY_DEPTH: usize = 2;

/// Parses and validates the text of a settings file.
pub(crate) fn check(text: &str, file: &str) -> Result<Settings, SettingsError> {
    let (settings, problems) = resolve_text(text);
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => InvalidSnafu { file, problems }.fail(),
    }
}

fn resolve_text(text: &str) -> (Option<Settings>, Vec<Problem>) {
    let root = match parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS) {
        Ok(parsed) => parsed.value,
        Err(error) => {
            let position = position_at(text, error.range().start);
            return (None, vec![not_json(position, &error.kind().to_string())]);
        }
    };
    let Some(root) = root else {
        return (
            None,
            vec![not_json(position_at(text, 0), "the file is empty")],
        );
    };
    if root.as_object().is_none() {
        let position = position_at(text, root.start());
        return (
            None,
            vec![not_json(position, "the file does not hold a JSON object")],
        );
    }
    let mut checker = Checker {
        text,
        root: &root,
        problems: Vec::new(),
    };
    for (path, offset) in duplicates(&root) {
        checker.problem_at(position_at(text, offset), &path, "duplicate key");
    }
    let raw = checker.read_raw();
    let settings = checker.resolve(&raw);
    let mut problems = checker.problems;
    problems.sort_by_key(|problem| (problem.line, problem.column));
    (Some(settings), problems)
}

fn not_json(position: Position, message: &str) -> Problem {
    Problem {
        line: position.line,
        column: position.column,
        key: String::new(),
        message: message.to_owned(),
        allowed: "one JSON object, with comments and trailing commas".to_owned(),
    }
}

struct Checker<'a> {
    text: &'a str,
    root: &'a Node<'a>,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    /// Deserializes all valid values, and records a problem for each of the others.
    ///
    /// Deserialization stops at the first error, so the offending value is removed and
    /// deserialization repeated until it succeeds; this finds all errors in one run.
    fn read_raw(&mut self) -> RawSettings {
        let mut value = Value::from(self.root.clone());
        self.remove_non_objects(&mut value);
        loop {
            let error = match serde_path_to_error::deserialize::<_, RawSettings>(&value) {
                Ok(raw) => return raw,
                Err(error) => error,
            };
            let path = error.path().to_string();
            let names: Vec<_> = error.path().iter().filter_map(key_name).collect();
            let Some(removed) = remove(&mut value, &names) else {
                self.problem(&path, &error.inner().to_string());
                return RawSettings::default();
            };
            let message = if names.len() == KEY_DEPTH && find_key(&path).is_some() {
                format!("invalid value {removed}")
            } else {
                "unknown key".to_owned()
            };
            self.problem(&path, &message);
        }
    }

    /// Removes sections that are not objects, because serde would accept an array as a struct.
    fn remove_non_objects(&mut self, value: &mut Value) {
        for section in SECTIONS {
            let found = value.get(section.name);
            if found.is_some_and(|found| !found.is_object()) {
                self.problem(section.name, "the section is not an object");
                remove(value, &[section.name]);
            }
        }
    }

    fn resolve(&mut self, raw: &RawSettings) -> Settings {
        Settings {
            instance: InstanceSettings {
                id: InstanceId::new(self.name("instance.id", raw.instance.id.as_deref())),
                zone: ZoneName::new(self.name("instance.zone", raw.instance.zone.as_deref())),
                region: RegionName::new(
                    self.name("instance.region", raw.instance.region.as_deref()),
                ),
            },
            addresses: self.addresses(raw),
            advertise: Advertise {
                peers: self.advertised("advertise.peers", raw.advertise.peers),
            },
            platform: self.platform(&raw.platform),
            limits: self.limits(&raw.limits),
            lease: self.lease(&raw.lease),
            policy: self.policy(raw),
            outage: OutageSettings {
                keyed_requests: raw
                    .outage
                    .keyed_requests
                    .unwrap_or(KeyedDuringOutage::Refuse),
            },
            runtime: RuntimeSettings {
                traffic_threads: self.threads(raw.runtime.traffic_threads),
            },
            log: LogSettings {
                level: raw.log.level.unwrap_or(LogLevel::Info),
            },
        }
    }

    fn addresses(&mut self, raw: &RawSettings) -> Addresses {
        let addresses = Addresses {
            callers: self.address("addresses.callers", raw.addresses.callers),
            peers: self.address("addresses.peers", raw.addresses.peers),
            operators: self.address("addresses.operators", raw.addresses.operators),
        };
        let named = [
            ("addresses.callers", addresses.callers),
            ("addresses.peers", addresses.peers),
            ("addresses.operators", addresses.operators),
        ];
        for (index, (path, address)) in named.iter().enumerate() {
            let earlier = named[..index]
                .iter()
                .find(|(_, other)| conflicts(*address, *other));
            if let Some((other_path, other)) = earlier {
                let message = format!("{address} conflicts with {other_path}, which is {other}");
                self.problem(path, &message);
            }
        }
        addresses
    }

    fn platform(&mut self, raw: &RawPlatform) -> PlatformSettings {
        PlatformSettings {
            address: self.address("platform.address", raw.address),
            namespace: self
                .name("platform.namespace", raw.namespace.as_deref())
                .into(),
            timeout: self.millis("platform.timeout_ms", raw.timeout_ms),
            calls_per_second: self.number("platform.calls_per_second", raw.calls_per_second),
        }
    }

    fn limits(&mut self, raw: &RawLimits) -> Limits {
        Limits {
            body_bytes: self.count("limits.body_bytes", raw.body_bytes),
            header_bytes: self.count("limits.header_bytes", raw.header_bytes),
            header_timeout: self.millis("limits.header_timeout_ms", raw.header_timeout_ms),
            body_timeout: self.millis("limits.body_timeout_ms", raw.body_timeout_ms),
            open_requests: self.count("limits.open_requests", raw.open_requests),
            queue: QueueBounds {
                live: self.count("limits.queue_live", raw.queue_live),
                deferrable: self.count("limits.queue_deferrable", raw.queue_deferrable),
            },
            stream_buffer_bytes: self.count("limits.stream_buffer_bytes", raw.stream_buffer_bytes),
            shutdown: self.millis("limits.shutdown_ms", raw.shutdown_ms),
            retry_budget_ratio: self.number("limits.retry_budget_ratio", raw.retry_budget_ratio),
            permit_window: self.millis("limits.permit_window_ms", raw.permit_window_ms),
        }
    }

    fn lease(&mut self, raw: &RawLease) -> LeaseSettings {
        let lease = LeaseSettings {
            duration: self.millis("lease.duration_ms", raw.duration_ms),
            renew_every: self.millis("lease.renew_ms", raw.renew_ms),
            margin: self.millis("lease.margin_ms", raw.margin_ms),
        };
        // An instance must keep its roles if a single renewal is lost.
        if lease.renew_every * 2 + lease.margin > lease.duration {
            let message = format!(
                "{} ms is too short: two renewals of {} ms and the margin of {} ms don't fit into it",
                lease.duration.as_millis(),
                lease.renew_every.as_millis(),
                lease.margin.as_millis()
            );
            self.problem("lease.duration_ms", &message);
        }
        lease
    }

    fn policy(&mut self, raw: &RawSettings) -> PolicyWeights {
        let weights = PolicyWeights {
            load_stalls: self.number("policy.load_stalls", raw.policy.load_stalls),
            batch_efficiency: self.number("policy.batch_efficiency", raw.policy.batch_efficiency),
        };
        if weights.load_stalls == 0.0 && weights.batch_efficiency == 0.0 {
            let message = "both weights are 0; set at least one above 0";
            self.problem("policy.load_stalls", message);
        }
        weights
    }

    fn threads(&mut self, raw: Option<u64>) -> usize {
        match self.count("runtime.traffic_threads", raw) {
            0 => std::thread::available_parallelism().map_or(1, NonZero::get),
            threads => threads,
        }
    }

    fn name(&mut self, path: &str, raw: Option<&str>) -> String {
        let Some(name) = raw else {
            return self.absent(path).to_owned();
        };
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || name.len() > MAX_NAME_LEN || !name.chars().all(allowed) {
            self.problem(path, &format!("{name:?} is not a valid name"));
        }
        name.to_owned()
    }

    fn address(&mut self, path: &str, raw: Option<SocketAddr>) -> SocketAddr {
        raw.unwrap_or_else(|| {
            self.absent(path);
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }

    fn advertised(&mut self, path: &str, raw: Option<SocketAddr>) -> Option<SocketAddr> {
        if let Some(address) = raw.filter(|address| address.port() == 0) {
            self.problem(path, &format!("no instance can connect to {address}"));
        }
        raw
    }

    /// Returns the default of a key that is absent; records a problem if the key is required.
    fn absent(&mut self, path: &str) -> &'static str {
        match find_key(path).map(|key| key.shape) {
            Some(Shape::Name { default }) => default,
            _ => {
                self.problem(path, "missing required key");
                ""
            }
        }
    }

    fn millis(&mut self, path: &str, raw: Option<u64>) -> Duration {
        Duration::from_millis(self.integer(path, raw))
    }

    fn count(&mut self, path: &str, raw: Option<u64>) -> usize {
        usize::try_from(self.integer(path, raw)).unwrap_or(usize::MAX)
    }

    fn integer(&mut self, path: &str, raw: Option<u64>) -> u64 {
        let Some(Shape::Integer {
            default, min, max, ..
        }) = find_key(path).map(|key| key.shape)
        else {
            unreachable!("{path} is not an integer in the table of keys");
        };
        let value = raw.unwrap_or(default);
        if value < min || value > max {
            self.problem(path, &format!("{value} is out of range"));
        }
        value
    }

    fn number(&mut self, path: &str, raw: Option<f64>) -> f64 {
        let Some(Shape::Number { default, min, max }) = find_key(path).map(|key| key.shape) else {
            unreachable!("{path} is not a number in the table of keys");
        };
        let value = raw.unwrap_or(default);
        if !(min..=max).contains(&value) {
            self.problem(path, &format!("{value} is out of range"));
        }
        value
    }

    fn problem(&mut self, path: &str, message: &str) {
        let position = position_of(self.text, self.root, path);
        self.problem_at(position, path, message);
    }

    fn problem_at(&mut self, position: Position, path: &str, message: &str) {
        // A value that could not be read is treated as absent later and would be reported again.
        // The first problem of the key, or one of its whole section, is more specific.
        let section = path.split('.').next().unwrap_or(path);
        let reported = |problem: &Problem| problem.key == path || problem.key == section;
        if self.problems.iter().any(reported) {
            return;
        }
        self.problems.push(Problem {
            line: position.line,
            column: position.column,
            key: path.to_owned(),
            message: message.to_owned(),
            allowed: allowed_at(path),
        });
    }
}

/// Returns whether two listeners can't both be opened because their addresses overlap.
fn conflicts(one: SocketAddr, other: SocketAddr) -> bool {
    let same_ip =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && same_ip
}

fn key_name(segment: &Segment) -> Option<&str> {
    match segment {
        Segment::Map { key } => Some(key),
        Segment::Seq { .. } | Segment::Enum { .. } | Segment::Unknown => None,
    }
}

/// Describes what is allowed at a path: the values of a key, or the keys of a section.
fn allowed_at(path: &str) -> String {
    if let Some(key) = find_key(path) {
        return key.shape.allowed();
    }
    let section_name = path.split('.').next().unwrap_or(path);
    match find_section(section_name) {
        Some(section) => {
            let names: Vec<_> = section.keys.iter().map(|key| key.name).collect();
            format!("an object with the keys {}", names.join(", "))
        }
        None => {
            let names: Vec<_> = SECTIONS.iter().map(|section| section.name).collect();
            format!("the keys {}", names.join(", "))
        }
    }
}

/// Removes the value at a path of names; returns it if it existed.
fn remove(value: &mut Value, names: &[&str]) -> Option<Value> {
    let (last, parents) = names.split_last()?;
    let parent = parents
        .iter()
        .try_fold(value, |value, name| value.get_mut(name))?;
    parent.as_object_mut()?.remove(*last)
}
