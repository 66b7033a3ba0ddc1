//! The wait between tries.

use std::time::Duration;

use chervilshunt_model::Moment;

/// How much longer a wait can be than the one before.
const GROWTH: f64 = 3.0;

/// The bounds of the wait between tries.
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

/// Waits with decorrelated jitter.
///
/// Each wait is drawn evenly between the base and three times the wait before, up to the cap.
/// Clients that failed together thus come back spread out. Plain doubling would bring them back
/// together each time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backoff {
    cfg: BackoffConfig,
    previous: Duration,
}

impl Backoff {
    /// Starts as if nothing had failed yet.
    pub const fn new(cfg: BackoffConfig) -> Self {
        Self {
            previous: cfg.base,
            cfg,
        }
    }

    /// Returns when to try next; `random` gives a number from 0 to below 1.
    pub fn next_try(&mut self, now: Moment, random: impl FnOnce() -> f64) -> Moment {
        now + self.next_wait(random)
    }

    /// Returns how long to wait; `random` gives a number from 0 to below 1.
    pub fn next_wait(&mut self, random: impl FnOnce() -> f64) -> Duration {
        let longest = self.previous.mul_f64(GROWTH).max(self.cfg.base);
        let spread = longest - self.cfg.base;
        let wait = self.cfg.base + spread.mul_f64(random().clamp(0.0, 1.0));
        self.previous = wait.min(self.cfg.cap);
        self.previous
    }

    /// Starts over after a success.
    pub const fn reset(&mut self) {
        self.previous = self.cfg.base;
    }
}
