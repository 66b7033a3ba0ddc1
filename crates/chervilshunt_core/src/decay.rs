//! Averages that fade with time, without a timer.

use std::time::Duration;

use chervilshunt_model::Moment;

/// A rate of events that forgets exponentially; it is brought up to date only when it is used.
///
/// A sweep over all adapters on a timer would cost time in proportion to the adapters known, so
/// each counter carries the moment of its last update instead.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayedRate {
    count: f64,
    updated: Moment,
}

impl DecayedRate {
    /// Counts an event of weight `amount`.
    pub(crate) fn add(&mut self, amount: f64, half_life: Duration, now: Moment) {
        self.count = self.count_at(half_life, now) + amount;
        self.updated = now.max(self.updated);
    }

    /// Returns the events a second.
    pub(crate) fn per_second(&self, half_life: Duration, now: Moment) -> f64 {
        self.count_at(half_life, now) * std::f64::consts::LN_2 / half_life.as_secs_f64()
    }

    /// Returns the events a second as of the last event, and the time since then.
    pub(crate) fn last(&self, half_life: Duration, now: Moment) -> (f64, Duration) {
        let rate = self.count * std::f64::consts::LN_2 / half_life.as_secs_f64();
        (rate, now.since(self.updated))
    }

    fn count_at(&self, half_life: Duration, now: Moment) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.count * (-elapsed / half_life.as_secs_f64()).exp2()
    }
}

/// The average over time of a level that changes in steps, forgetting exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayedLevel {
    average: f64,
    level: f64,
    updated: Moment,
}

impl DecayedLevel {
    /// Notes that the level is `level` from now on.
    pub(crate) fn set(&mut self, level: f64, half_life: Duration, now: Moment) {
        self.average = self.average(half_life, now);
        self.level = level;
        self.updated = now.max(self.updated);
    }

    /// Returns the average.
    pub(crate) fn average(&self, half_life: Duration, now: Moment) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        let kept = (-elapsed / half_life.as_secs_f64()).exp2();
        self.average * kept + self.level * (1.0 - kept)
    }
}

/// The average of a sequence of durations, with more weight on later ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct DurationAverage {
    seconds: f64,
}

impl DurationAverage {
    /// Share of a new duration in the average.
    const GAIN: f64 = 0.1;

    /// Starts from an estimate.
    pub(crate) fn new(initial: Duration) -> Self {
        Self {
            seconds: initial.as_secs_f64(),
        }
    }

    /// Takes in a duration.
    pub(crate) fn add(&mut self, value: Duration) {
        self.seconds += Self::GAIN * (value.as_secs_f64() - self.seconds);
    }

    /// Returns the average.
    pub(crate) fn get(&self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}
