//! The fault switches of the engine stand-in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A change of fault switches; what is absent stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaultChange {
    /// Refuses connections and cuts those that are there.
    pub down: Option<bool>,
    /// Refuses connections for this long, then takes them again.
    pub down_ms: Option<u64>,
    /// Adds to each step.
    pub slow_ms: Option<u64>,
    /// Hangs: steps stop and calls go unanswered until it is taken back.
    pub freeze: Option<bool>,
    /// Starts anew once: adapters, running work and the fencing number are gone.
    pub restart: Option<bool>,
    /// The share of loads that fail, 0 to 1.
    pub load_fails: Option<f64>,
    /// Adds to each load.
    pub load_slow_ms: Option<u64>,
    /// Carries out orders whatever their fencing number.
    pub ignore_fencing: Option<bool>,
    /// Replaces the age of load reports and cache events.
    pub late_reports_ms: Option<u64>,
    /// Cuts each stream after this many tokens, and each whole answer half-way; a negative number
    /// takes it back.
    pub cut_after_tokens: Option<i64>,
    /// Serves the next completion by another adapter, or by the base model.
    pub wrong_model: Option<bool>,
    /// Holds back each finished answer to a completion or an order.
    pub answer_late_ms: Option<u64>,
    /// Carries out orders and then cuts the connection in place of the answer.
    pub lose_order_answers: Option<bool>,
    /// Answers each unload order with 500.
    pub refuse_unload: Option<bool>,
    /// The share of cache events that are left out, 0 to 1.
    pub cache_event_gaps: Option<f64>,
}

/// The faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) slow: Duration,
    pub(crate) frozen: bool,
    pub(crate) load_fails: f64,
    pub(crate) load_slow: Duration,
    pub(crate) ignore_fencing: bool,
    pub(crate) report_lag: Option<Duration>,
    pub(crate) cut_after_tokens: Option<u32>,
    pub(crate) wrong_model: bool,
    pub(crate) answer_late: Duration,
    pub(crate) lose_order_answers: bool,
    pub(crate) refuse_unload: bool,
    pub(crate) cache_event_gaps: f64,
}

impl Faults {
    /// Merges the lasting switches of `change`; the port's and the one-shot ones are the engine's.
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
