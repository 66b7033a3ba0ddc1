//! Passive health checks: judges from a target's responses whether it works.

use std::time::Duration;

use chervilshunt_model::Moment;

/// Configuration of how failing targets are avoided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthConfig {
    /// How long a target is excluded after its first failure; each further failure doubles the
    /// time.
    ///
    /// This is well below the time in which a crashed target disappears from the platform's list,
    /// so that a target that was slow only once is used again soon.
    pub initial_backoff: Duration,
    /// The longest time for which a target is excluded.
    pub max_backoff: Duration,
    /// The share of failed requests above which a reachable target is avoided.
    ///
    /// Healthy services fail up to one call in seven; a faulty target fails two out of five or
    /// more.
    pub failing_share: f64,
    /// The weight of one outcome in the moving average of the share of failures: about ten outcomes
    /// count.
    pub outcome_weight: f64,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            initial_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(2),
            failing_share: 0.35,
            outcome_weight: 0.1,
        }
    }
}

/// The health signal that one exchange with a target gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The target responded with success, or delivered part of a response.
    Served,
    /// The target responded with an error, or broke off a response.
    Failed,
    /// The connection failed or the target stopped responding, so it may be gone.
    Unreachable,
}

/// The health of one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetHealth {
    failures_in_row: u32,
    unreachable_until: Moment,
    failing_share: f64,
    last_response_at: Moment,
}

impl TargetHealth {
    pub(crate) const fn new(now: Moment) -> Self {
        Self {
            failures_in_row: 0,
            unreachable_until: Moment::ZERO,
            failing_share: 0.0,
            last_response_at: now,
        }
    }

    /// Records the signal of an exchange.
    pub(crate) fn record(&mut self, cfg: &HealthConfig, signal: HealthSignal, now: Moment) {
        match signal {
            HealthSignal::Served => {
                self.last_response_at = now;
                self.failures_in_row = 0;
                self.unreachable_until = Moment::ZERO;
                self.failing_share *= 1.0 - cfg.outcome_weight;
            }
            HealthSignal::Failed => {
                self.last_response_at = now;
                self.failing_share += cfg.outcome_weight * (1.0 - self.failing_share);
            }
            HealthSignal::Unreachable => {
                let pause = cfg.initial_backoff * 2_u32.saturating_pow(self.failures_in_row.min(8));
                self.failures_in_row = self.failures_in_row.saturating_add(1);
                self.unreachable_until = now + pause.min(cfg.max_backoff);
            }
        }
    }

    /// Returns whether the target is excluded because it did not respond.
    pub(crate) fn is_unreachable(&self, now: Moment) -> bool {
        now < self.unreachable_until
    }

    /// Returns the moving average of the share of failed requests.
    pub(crate) fn failing_share(&self) -> f64 {
        self.failing_share
    }

    /// Returns the time of the last sign of life from the target.
    pub(crate) const fn last_response_at(&self) -> Moment {
        self.last_response_at
    }

    /// Records that bytes were received from the target.
    pub(crate) fn response_received(&mut self, now: Moment) {
        self.last_response_at = now;
    }
}
