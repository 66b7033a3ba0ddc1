//! A budget for retries, shared by all calls to one place.

use chervilshunt_model::Moment;

use super::TokenBucket;

/// How many retries a place gets, beside its first tries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries earned by each first try.
    pub ratio: f64,
    /// Retries a second that are allowed however few first tries there are.
    pub per_second: f64,
    /// Retries that may be saved up.
    pub burst: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            per_second: 0.2,
            burst: 10.0,
        }
    }
}

/// Bounds the load that retries add to a place that fails.
///
/// Without it a failing place gets each call as often as callers are willing to try, just when
/// it can bear it least, and stays down under the load of retries alone. In any span, retries are
/// at most `burst + ratio * first tries + per_second * span`.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    ratio: f64,
    tokens: TokenBucket,
}

impl RetryBudget {
    /// Starts with the burst saved up.
    pub const fn new(cfg: RetryBudgetConfig, now: Moment) -> Self {
        Self {
            ratio: cfg.ratio,
            tokens: TokenBucket::new(cfg.per_second, cfg.burst, now),
        }
    }

    /// Takes note of a first try.
    pub fn record_first_try(&mut self, now: Moment) {
        self.tokens.deposit(self.ratio, now);
    }

    /// Says whether one more retry is allowed, and counts it if so.
    pub fn try_retry(&mut self, now: Moment) -> bool {
        self.tokens.try_take(0.0, now).is_ok()
    }
}
