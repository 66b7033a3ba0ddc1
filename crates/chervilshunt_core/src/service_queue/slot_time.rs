//! How long a request occupies a slot of a plain target.

use std::time::Duration;

use chervilshunt_model::Moment;

use super::INITIAL_SLOT_TIME;

/// The number of requests over which the time is averaged: a fraction of a second of one busy
/// target's requests.
const AVERAGED_REQUESTS: f64 = 30.0;
/// The longest time that counts, as a multiple of the mean. A request whose end was reported late,
/// by an instance that had no processor time, would otherwise dominate the mean.
const MAX_RATIO: f64 = 8.0;
/// The expected time of a request is the mean plus this multiple of the mean deviation, which
/// covers about nine in ten requests.
const MARGIN_DEVIATIONS: f64 = 2.0;
/// Half-life of what is known of one target beyond the mean of its service. A target that was slow
/// and is sent nothing is tried again within seconds.
const TARGET_HALF_LIFE: Duration = Duration::from_secs(2);

/// The mean time in a slot and its mean deviation, in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotTime {
    mean: f64,
    deviation: f64,
    requests: f64,
    recorded_at: Moment,
}

impl Default for SlotTime {
    fn default() -> Self {
        Self {
            mean: INITIAL_SLOT_TIME.as_secs_f64(),
            deviation: 0.0,
            requests: 1.0,
            recorded_at: Moment::ZERO,
        }
    }
}

impl SlotTime {
    /// Records the time that a request has occupied its slot.
    pub(super) fn record(&mut self, took: Duration, now: Moment) {
        let took = took.as_secs_f64().min(MAX_RATIO * self.mean);
        self.requests = (self.requests + 1.0).min(AVERAGED_REQUESTS);
        self.deviation += ((took - self.mean).abs() - self.deviation) / self.requests;
        self.mean += (took - self.mean) / self.requests;
        self.recorded_at = now;
    }

    /// Returns the estimate for one target whose service has the mean `of_service`; what is known
    /// of the target itself counts less the older it is.
    pub(super) fn of_target(&self, of_service: &Self, now: Moment) -> Self {
        let age = now.since(self.recorded_at).as_secs_f64();
        let weight = (-age / TARGET_HALF_LIFE.as_secs_f64()).exp2();
        let mix = |own: f64, service: f64| service + weight * (own - service);
        Self {
            mean: mix(self.mean, of_service.mean),
            deviation: mix(self.deviation, of_service.deviation),
            ..*self
        }
    }

    /// Returns the mean time in seconds.
    pub(super) fn mean(&self) -> f64 {
        self.mean.max(1e-4)
    }

    /// Returns the time within which most requests end, in seconds.
    pub(super) fn with_margin(&self) -> f64 {
        self.mean() + MARGIN_DEVIATIONS * self.deviation
    }
}
