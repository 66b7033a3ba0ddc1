//! Counters of the engine and its modelled power and energy.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Number of power changes kept. At 5 ms per step this covers a few minutes of a busy engine.
const KEPT_POWER_CHANGES: usize = 65_536;

/// Statistics of an engine stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Counters of calls, orders and steps.
    #[serde(flatten)]
    pub count: EngineCounts,
    /// Number of running sequences.
    pub running: usize,
    /// Number of queued sequences.
    pub waiting: usize,
    /// Names of the loaded adapters.
    pub loaded: Vec<Arc<str>>,
    /// Current power, in watts.
    pub watts: f64,
    /// The highest power so far, in watts.
    pub highest_watts: f64,
    /// Energy consumed so far, in joules.
    pub joules: f64,
}

/// Counters of an engine stand-in since it was started; the `restart` fault does not reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Completion and chat requests received.
    pub completions: u64,
    /// Requests for an adapter that was not loaded.
    pub adapters_missing: u64,
    /// Steps executed.
    pub steps: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// The highest number of sequences running in one step.
    pub highest_batch: u64,
    /// Load orders received.
    pub load_orders: u64,
    /// Unload orders received.
    pub unload_orders: u64,
    /// Loads that succeeded.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Unloads carried out.
    pub unloads: u64,
    /// Unloads of an adapter that was serving a running sequence.
    pub unloads_while_serving: u64,
    /// Orders with an outdated fencing number, whether refused or carried out.
    pub stale_orders: u64,
    /// Orders refused because of an outdated fencing number.
    pub fenced_orders: u64,
    /// Restarts caused by the `restart` fault.
    pub restarts: u64,
}

/// Updates the counters and integrates the modelled power into energy.
#[derive(Debug)]
pub(crate) struct Meter {
    pub(crate) count: EngineCounts,
    idle_watts: f64,
    watts_per_sequence: f64,
    watts: f64,
    highest_watts: f64,
    joules: f64,
    since: Instant,
    changes: VecDeque<PowerChange>,
}

/// A change in the power drawn by an engine.
///
/// Merging the changes of several engines on one machine by time gives their combined power.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PowerChange {
    /// The time of the change, in microseconds since the Unix epoch.
    pub unix_micros: u64,
    /// The power from this time on, in watts.
    pub watts: f64,
}

/// Returns the highest combined power of several engines at any one time, in watts.
pub fn peak_combined_power(engines: &[Vec<PowerChange>]) -> f64 {
    let mut changes: Vec<(PowerChange, usize)> = Vec::new();
    for (engine, list) in engines.iter().enumerate() {
        changes.extend(list.iter().map(|change| (*change, engine)));
    }
    changes.sort_by_key(|(change, _)| change.unix_micros);
    let mut present = vec![0.0; engines.len()];
    let mut highest = 0.0_f64;
    let mut at_one_time = changes.chunk_by(|(a, _), (b, _)| a.unix_micros == b.unix_micros);
    for simultaneous in &mut at_one_time {
        for (change, engine) in simultaneous {
            present[*engine] = change.watts;
        }
        highest = highest.max(present.iter().sum());
    }
    highest
}

impl Meter {
    pub(crate) fn new(idle_watts: f64, watts_per_sequence: f64, now: Instant) -> Self {
        let mut meter = Self {
            count: EngineCounts::default(),
            idle_watts,
            watts_per_sequence,
            watts: idle_watts,
            highest_watts: idle_watts,
            joules: 0.0,
            since: now,
            changes: VecDeque::new(),
        };
        meter.note_change();
        meter
    }

    /// Sets the number of running sequences, which determines the power from `now` on.
    pub(crate) fn set_running(&mut self, running: usize, now: Instant) {
        self.joules += self.watts * (now - self.since).as_secs_f64();
        self.since = now;
        let watts = self
            .watts_per_sequence
            .mul_add(running as f64, self.idle_watts);
        self.highest_watts = self.highest_watts.max(watts);
        self.count.highest_batch = self.count.highest_batch.max(running as u64);
        if self.watts.to_bits() != watts.to_bits() {
            self.watts = watts;
            self.note_change();
        }
    }

    /// Returns the recorded power changes, oldest first.
    pub(crate) fn power_changes(&self) -> Vec<PowerChange> {
        self.changes.iter().copied().collect()
    }

    fn note_change(&mut self) {
        if self.changes.len() == KEPT_POWER_CHANGES {
            self.changes.pop_front();
        }
        let since_1970 = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        self.changes.push_back(PowerChange {
            unix_micros: u64::try_from(since_1970.as_micros()).unwrap_or(u64::MAX),
            watts: self.watts,
        });
    }

    pub(crate) fn step(&mut self, tokens: usize) {
        self.count.steps += 1;
        self.count.tokens += tokens as u64;
    }

    pub(crate) fn stats(&self, now: Instant) -> EngineStats {
        EngineStats {
            count: self.count,
            running: 0,
            waiting: 0,
            loaded: Vec::new(),
            watts: self.watts,
            highest_watts: self.highest_watts,
            joules: self
                .watts
                .mul_add((now - self.since).as_secs_f64(), self.joules),
        }
    }
}
