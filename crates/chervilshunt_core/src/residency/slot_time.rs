//! Estimates how long a request occupies a slot of its target's batch.

use std::time::Duration;

/// The initial estimate.
const INITIAL: Duration = Duration::from_millis(800);
/// The number of requests over which the time is averaged.
const AVERAGED_REQUESTS: f64 = 200.0;

/// The last slots of a target, which count as taken. Requests of instances that choose by themselves
/// come to them, and a request that finds none free waits for a whole answer.
const SPARE_SLOTS: u32 = 2;

/// The mean time that requests occupy a slot, estimated from when targets begin and end their
/// answers.
///
/// It depends on the lengths of the answers, which callers state only roughly, and on how many
/// requests a target generates for at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotTime {
    millis: f64,
    requests: f64,
}

impl Default for SlotTime {
    fn default() -> Self {
        Self {
            millis: INITIAL.as_secs_f64() * 1e3,
            requests: 1.0,
        }
    }
}

impl SlotTime {
    /// Records the time from the begin to the end of an answer.
    pub(crate) fn record(&mut self, took: Duration) {
        self.requests = (self.requests + 1.0).min(AVERAGED_REQUESTS);
        let took = took.as_secs_f64() * 1e3;
        self.millis += (took - self.millis) / self.requests;
    }

    /// Returns how long a request waits at a target with `slots` slots for which `in_flight`
    /// requests were sent before it, in milliseconds.
    ///
    /// Full slots become free at the rate of the slots over the time that each is occupied.
    pub(crate) fn wait_millis(&self, in_flight: u32, slots: u32) -> f64 {
        let slots = slots.max(1);
        let free_before = (in_flight + 1 + SPARE_SLOTS).saturating_sub(slots);
        f64::from(free_before) * self.millis / f64::from(slots)
    }
}
