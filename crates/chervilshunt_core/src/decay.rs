//! Exponentially decaying averages that need no timer.

use std::time::Duration;

use chervilshunt_model::Moment;

/// An event rate with exponential decay, updated only when it is used.
///
/// Each counter stores the time of its last update. Decaying all of them on a timer would cost time
/// in proportion to the number of known adapters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayedRate {
    count: f64,
    updated: Moment,
}

impl DecayedRate {
    /// Records an event of weight `amount`.
    pub(crate) fn add(&mut self, amount: f64, half_life: Duration, now: Moment) {
        self.count = self.count_at(half_life, now) + amount;
        self.updated = now.max(self.updated);
    }

    /// Returns the current rate in events per second.
    pub(crate) fn per_second(&self, half_life: Duration, now: Moment) -> f64 {
        self.count_at(half_life, now) * std::f64::consts::LN_2 / half_life.as_secs_f64()
    }

    /// Returns the rate in events per second as of the last event, and the time elapsed since.
    pub(crate) fn last(&self, half_life: Duration, now: Moment) -> (f64, Duration) {
        let rate = self.count * std::f64::consts::LN_2 / half_life.as_secs_f64();
        (rate, now.since(self.updated))
    }

    fn count_at(&self, half_life: Duration, now: Moment) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.count * (-elapsed / half_life.as_secs_f64()).exp2()
    }
}

/// The exponentially weighted time average of a level that changes in steps.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayedLevel {
    average: f64,
    level: f64,
    updated: Moment,
}

impl DecayedLevel {
    /// Sets the level that applies from `now` on.
    pub(crate) fn set(&mut self, level: f64, half_life: Duration, now: Moment) {
        self.average = self.average(half_life, now);
        self.level = level;
        self.updated = now.max(self.updated);
    }

    /// Returns the average as of `now`.
    pub(crate) fn average(&self, half_life: Duration, now: Moment) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        let decay = (-elapsed / half_life.as_secs_f64()).exp2();
        self.average * decay + self.level * (1.0 - decay)
    }
}

/// The exponentially weighted moving average of a sequence of durations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct DurationAverage {
    seconds: f64,
}

impl DurationAverage {
    /// Weight of a new duration in the average.
    const GAIN: f64 = 0.1;

    /// Creates an average that starts from an estimate.
    pub(crate) fn new(initial: Duration) -> Self {
        Self {
            seconds: initial.as_secs_f64(),
        }
    }

    /// Adds a duration to the average.
    pub(crate) fn add(&mut self, value: Duration) {
        self.seconds += Self::GAIN * (value.as_secs_f64() - self.seconds);
    }

    /// Returns the average.
    pub(crate) fn get(&self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}
