//! The fault switches of the engine stand-in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A partial update of the fault switches; absent fields leave their switch unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaultChange {
    /// Refuses new connections and closes the existing ones.
    pub down: Option<bool>,
    /// Refuses connections for this many milliseconds, then accepts them again.
    pub down_ms: Option<u64>,
    /// Added to the duration of each step, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Stops stepping and leaves calls unanswered until it is switched off.
    pub freeze: Option<bool>,
    /// Restarts the engine once: loaded adapters, running sequences and the fencing number are
    /// lost.
    pub restart: Option<bool>,
    /// The fraction of loads that fail, from 0 to 1.
    pub load_fails: Option<f64>,
    /// Added to the duration of each load, in milliseconds.
    pub load_slow_ms: Option<u64>,
    /// Carries out orders regardless of their fencing number.
    pub ignore_fencing: Option<bool>,
    /// Overrides the delay of load reports and cache events, in milliseconds.
    pub late_reports_ms: Option<u64>,
    /// Closes the connection of each stream after this many tokens, and of each non-streaming
    /// response half-way through its body. A negative number switches the fault off.
    pub cut_after_tokens: Option<i64>,
    /// Whether a stream that is cut off after its tokens ends inside the next event.
    pub cut_inside_event: Option<bool>,
    /// Sends responses without a length or chunks; they end with their connection.
    pub unframed: Option<bool>,
    /// Serves the next completion with a different adapter, or with the base model.
    pub wrong_model: Option<bool>,
    /// Delays each finished response to a completion or an order, in milliseconds.
    pub answer_late_ms: Option<u64>,
    /// Carries out orders, then closes the connection instead of responding.
    pub lose_order_answers: Option<bool>,
    /// Responds to each unload order with 500.
    pub refuse_unload: Option<bool>,
    /// The fraction of cache events that are dropped, from 0 to 1.
    pub cache_event_gaps: Option<f64>,
}

/// The faults currently in effect.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) slow: Duration,
    pub(crate) frozen: bool,
    pub(crate) load_fails: f64,
    pub(crate) load_slow: Duration,
    pub(crate) ignore_fencing: bool,
    pub(crate) report_lag: Option<Duration>,
    pub(crate) cut_after_tokens: Option<u32>,
    pub(crate) cut_inside_event: bool,
    pub(crate) wrong_model: bool,
    pub(crate) answer_late: Duration,
    pub(crate) lose_order_answers: bool,
    pub(crate) refuse_unload: bool,
    pub(crate) cache_event_gaps: f64,
}

impl Faults {
    /// Applies the persistent switches of `change`. The switches of the port and the one-shot ones
    /// are applied by the engine.
    pub(crate) fn merge(&mut self, change: &EngineFaultChange) {
        set_millis(&mut self.slow, change.slow_ms);
        set(&mut self.frozen, change.freeze);
        set(&mut self.load_fails, change.load_fails);
        set_millis(&mut self.load_slow, change.load_slow_ms);
        set(&mut self.ignore_fencing, change.ignore_fencing);
        if let Some(millis) = change.late_reports_ms {
            self.report_lag = Some(Duration::from_millis(millis));
        }
        if let Some(tokens) = change.cut_after_tokens {
            self.cut_after_tokens = u32::try_from(tokens).ok();
        }
        set(&mut self.cut_inside_event, change.cut_inside_event);
        set(&mut self.wrong_model, change.wrong_model);
        set_millis(&mut self.answer_late, change.answer_late_ms);
        set(&mut self.lose_order_answers, change.lose_order_answers);
        set(&mut self.refuse_unload, change.refuse_unload);
        set(&mut self.cache_event_gaps, change.cache_event_gaps);
    }
}

fn set<T: Copy>(place: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *place = value;
    }
}

fn set_millis(place: &mut Duration, millis: Option<u64>) {
    set(place, millis.map(Duration::from_millis));
}
