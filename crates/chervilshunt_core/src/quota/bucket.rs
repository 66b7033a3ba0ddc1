//! A token bucket.

use std::time::Duration;

use chervilshunt_model::Moment;

/// Units that come in at a rate and are kept up to a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TokenBucket {
    rate: f64,
    capacity: f64,
    level: f64,
    updated: Moment,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub(crate) const fn empty(rate: f64, capacity: f64, now: Moment) -> Self {
        Self {
            rate,
            capacity,
            level: 0.0,
            updated: now,
        }
    }

    /// Changes the limits. What the bucket holds beyond a lower capacity is lost.
    pub(crate) fn set_limits(&mut self, rate: f64, capacity: f64, now: Moment) {
        self.level = self.level(now).min(capacity);
        self.updated = now.max(self.updated);
        self.rate = rate;
        self.capacity = capacity;
    }

    /// Returns what the bucket holds; negative if more was taken than there was.
    pub(crate) fn level(&self, now: Moment) -> f64 {
        let refilled = self.rate * now.since(self.updated).as_secs_f64();
        (self.level + refilled).min(self.capacity)
    }

    /// Returns the most that the bucket holds.
    pub(crate) const fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Adds to the bucket, or takes from it. It goes no further into debt than its capacity.
    pub(crate) fn add(&mut self, amount: f64, now: Moment) {
        let level = self.level(now) + amount;
        self.level = level.clamp(-self.capacity, self.capacity);
        self.updated = now.max(self.updated);
    }

    /// Returns how long it takes until the bucket holds an amount.
    pub(crate) fn time_until(&self, amount: f64, now: Moment) -> Duration {
        let missing = (amount - self.level(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }
}
