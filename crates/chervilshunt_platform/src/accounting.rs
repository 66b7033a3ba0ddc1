//! Client metrics: calls by purpose, verb and result, bytes transferred, and open watches.

use std::time::Duration;

use metrics::{Gauge, counter, gauge, histogram};

use crate::PlatformError;

/// The operation of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Reads one object.
    Get,
    /// Reads all objects of a kind.
    List,
    /// Streams changes to objects of a kind.
    Watch,
    /// Creates an object.
    Create,
    /// Replaces an object.
    Update,
    /// Deletes an object.
    Delete,
}

impl Verb {
    /// Returns the name used in metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::Watch => "watch",
            Self::Create => "create",
            Self::Update => "update",
            Self::Delete => "delete",
        }
    }

    /// Returns whether the call changes an object.
    pub const fn writes(self) -> bool {
        matches!(self, Self::Create | Self::Update | Self::Delete)
    }
}

/// Counts one attempt of a call, as the platform counts it, and records its duration.
pub(crate) fn count_attempt(
    purpose: &'static str,
    verb: Verb,
    result: Result<(), &PlatformError>,
    took: Duration,
) {
    let verb = verb.as_str();
    let result = result.map_or_else(PlatformError::kind, |()| "ok");
    counter!(
        "chervilshunt_platform_calls_total",
        "purpose" => purpose, "verb" => verb, "result" => result
    )
    .increment(1);
    histogram!("chervilshunt_platform_call_seconds", "purpose" => purpose, "verb" => verb)
        .record(took);
}

/// Counts a retry that was made (`allowed`) or refused because the retry budget was used up.
pub(crate) fn count_retry(purpose: &'static str, allowed: bool) {
    let name = if allowed {
        "chervilshunt_platform_retries_total"
    } else {
        "chervilshunt_platform_retries_refused_total"
    };
    counter!(name, "purpose" => purpose).increment(1);
}

/// Counts a call that the client's own rate limit would have delayed beyond its deadline.
pub(crate) fn count_held_back(purpose: &'static str) {
    counter!("chervilshunt_platform_held_back_total", "purpose" => purpose).increment(1);
}

/// Counts the objects whose latest event a watch did not deliver.
pub(crate) fn count_missed_events(purpose: &'static str, missed: usize) {
    counter!("chervilshunt_platform_missed_events_total", "purpose" => purpose)
        .increment(missed as u64);
}

/// Counts bytes read from or written to connections, including HTTP headers.
pub(crate) fn count_bytes(direction: &'static str, bytes: usize) {
    counter!("chervilshunt_platform_bytes_total", "direction" => direction).increment(bytes as u64);
}

/// Counts a watch as open until dropped.
#[derive(Debug)]
pub(crate) struct OpenWatch(Gauge);

impl OpenWatch {
    pub(crate) fn new(purpose: &'static str) -> Self {
        let open = gauge!("chervilshunt_platform_open_watches", "purpose" => purpose);
        open.increment(1.0);
        Self(open)
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.decrement(1.0);
    }
}
