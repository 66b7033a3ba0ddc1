//! Backoff between attempts.

use std::time::Duration;

use chervilshunt_model::Moment;

/// Maximum ratio of a wait to the previous one.
const MAX_GROWTH_RATIO: f64 = 3.0;

/// Bounds of the wait between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffConfig {
    /// The shortest wait.
    pub base: Duration,
    /// The longest wait.
    pub cap: Duration,
}

impl Default for BackoffConfig {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            cap: Duration::from_secs(5),
        }
    }
}

/// Backoff with decorrelated jitter.
///
/// Each wait is drawn uniformly between the base and three times the previous wait, up to the cap.
/// This spreads out the retries of clients that failed at the same time; plain doubling would bring
/// them back together each time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backoff {
    cfg: BackoffConfig,
    previous: Duration,
}

impl Backoff {
    /// Creates a backoff in its initial state, as if nothing had failed yet.
    pub const fn new(cfg: BackoffConfig) -> Self {
        Self {
            previous: cfg.base,
            cfg,
        }
    }

    /// Returns when to make the next attempt. `random` returns a number in `[0, 1)`.
    pub fn next_try(&mut self, now: Moment, random: impl FnOnce() -> f64) -> Moment {
        now + self.next_wait(random)
    }

    /// Returns how long to wait before the next attempt. `random` returns a number in `[0, 1)`.
    pub fn next_wait(&mut self, random: impl FnOnce() -> f64) -> Duration {
        let longest = self.previous.mul_f64(MAX_GROWTH_RATIO).max(self.cfg.base);
        let range = longest - self.cfg.base;
        let wait = self.cfg.base + range.mul_f64(random().clamp(0.0, 1.0));
        self.previous = wait.min(self.cfg.cap);
        self.previous
    }

    /// Resets the backoff after a success.
    pub const fn reset(&mut self) {
        self.previous = self.cfg.base;
    }
}
