//! Counts what an engine does, and adds up its modelled power.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Changes of power that are kept; at a step of 5 ms, some minutes of a busy engine.
const KEPT_POWER_CHANGES: usize = 65_536;

/// The counters of an engine stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Calls and orders by kind.
    #[serde(flatten)]
    pub count: EngineCounts,
    /// Sequences running.
    pub running: usize,
    /// Sequences waiting.
    pub waiting: usize,
    /// Adapters loaded.
    pub loaded: Vec<Arc<str>>,
    /// Power drawn now, in watts.
    pub watts: f64,
    /// The highest power drawn so far, in watts.
    pub highest_watts: f64,
    /// Energy drawn so far, in joules.
    pub joules: f64,
}

/// Counts of an engine stand-in since its start; restarts don't reset them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Completions and chats asked for.
    pub completions: u64,
    /// Of these, ones for an adapter that was not loaded.
    pub adapters_missing: u64,
    /// Steps taken.
    pub steps: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// The most sequences in one step.
    pub highest_batch: u64,
    /// Orders to load.
    pub load_orders: u64,
    /// Orders to unload.
    pub unload_orders: u64,
    /// Loads that succeeded.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Unloads carried out.
    pub unloads: u64,
    /// Of these, ones of an adapter that was serving a sequence.
    pub unloads_while_serving: u64,
    /// Orders that came with an old fencing number.
    pub stale_orders: u64,
    /// Of these, ones that were refused for it.
    pub fenced_orders: u64,
    /// Restarts.
    pub restarts: u64,
}

/// Counts, and adds up power and energy.
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

/// From when on an engine drew this power.
///
/// The changes of several engines on one machine, laid side by side, give the power that they drew
/// together at each time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PowerChange {
    /// The time, in microseconds since 1970.
    pub unix_micros: u64,
    /// The power from then on, in watts.
    pub watts: f64,
}

/// Returns the highest power that several engines drew together at any one time, in watts.
pub fn highest_power_together(engines: &[Vec<PowerChange>]) -> f64 {
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

    /// Notes the number of running sequences, which sets the power from `now` on.
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

    /// Returns the changes of power, oldest first.
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
