//! Counters of the stand-in: calls by verb, resource and instance, open watches, and bytes
//! transferred.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// The counters of the stand-in since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// The number of calls by verb, resource and instance.
    pub calls: Vec<CallCount>,
    /// Number of watches currently open.
    pub open_watches: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Bytes read from connections, including request heads.
    pub bytes_in: u64,
    /// Bytes written to connections, including response heads.
    pub bytes_out: u64,
}

impl Stats {
    /// Returns the total number of calls with a verb.
    pub fn calls_of(&self, verb: &str) -> u64 {
        let calls = self.calls.iter().filter(|count| count.verb == verb);
        calls.map(|count| count.calls).sum()
    }

    /// Returns the total number of calls by an instance.
    pub fn calls_by(&self, instance: &str) -> u64 {
        let calls = self.calls.iter().filter(|count| count.instance == instance);
        calls.map(|count| count.calls).sum()
    }

    /// Returns the total number of calls.
    pub fn total_calls(&self) -> u64 {
        self.calls.iter().map(|count| count.calls).sum()
    }
}

/// The number of calls by verb, resource and instance, whatever their outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCount {
    /// `get`, `list`, `watch`, `create`, `update` or `delete`.
    pub verb: String,
    /// The plural of the resource.
    pub resource: String,
    /// The instance from the `X-Instance` header; empty without one.
    pub instance: String,
    /// The number of calls.
    pub calls: u64,
}

/// The counters behind [`Stats`].
#[derive(Debug, Default)]
pub(crate) struct Counters {
    calls: Mutex<BTreeMap<(String, String, String), u64>>,
    open_watches: AtomicU64,
    pub(crate) writes: AtomicU64,
    pub(crate) bytes_in: AtomicU64,
    pub(crate) bytes_out: AtomicU64,
}

impl Counters {
    /// Counts a call.
    pub(crate) fn call(&self, verb: &str, resource: &str, instance: &str) {
        let key = (verb.to_owned(), resource.to_owned(), instance.to_owned());
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        *calls.entry(key).or_default() += 1;
    }

    /// Counts a watch as open until the returned guard is dropped.
    pub(crate) fn open_watch(self: &std::sync::Arc<Self>) -> OpenWatch {
        self.open_watches.fetch_add(1, Ordering::Relaxed);
        OpenWatch(std::sync::Arc::clone(self))
    }

    /// Returns the current values of the counters.
    pub(crate) fn snapshot(&self) -> Stats {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let calls = calls.iter().map(|((verb, resource, instance), calls)| {
            let (verb, resource, instance) = (verb.clone(), resource.clone(), instance.clone());
            CallCount {
                verb,
                resource,
                instance,
                calls: *calls,
            }
        });
        Stats {
            calls: calls.collect(),
            open_watches: self.open_watches.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
        }
    }
}

/// A guard that counts a watch as open.
#[derive(Debug)]
pub(crate) struct OpenWatch(std::sync::Arc<Counters>);

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.open_watches.fetch_sub(1, Ordering::Relaxed);
    }
}
