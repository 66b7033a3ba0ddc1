//! A retry budget shared by all calls to one destination.

use chervilshunt_model::Moment;

use super::TokenBucket;

/// How many retries a destination may receive in addition to first attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Retries per second allowed regardless of the number of first attempts.
    pub per_second: f64,
    /// Maximum number of retries that can accumulate.
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

/// Bounds the load that retries add to a failing destination.
///
/// Without a budget a failing destination receives each call as often as callers retry, just when
/// it can handle the least, and retries alone can keep it down. In any time span the number of
/// retries is at most `burst + ratio * first attempts + per_second * span`.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    ratio: f64,
    tokens: TokenBucket,
}

impl RetryBudget {
    /// Creates a budget with the full burst available.
    pub const fn new(cfg: RetryBudgetConfig, now: Moment) -> Self {
        Self {
            ratio: cfg.ratio,
            tokens: TokenBucket::new(cfg.per_second, cfg.burst, now),
        }
    }

    /// Records a first attempt, which earns a part of a retry.
    pub fn record_first_try(&mut self, now: Moment) {
        self.tokens.deposit(self.ratio, now);
    }

    /// Returns whether another retry is allowed, and counts it if so.
    pub fn try_retry(&mut self, now: Moment) -> bool {
        self.tokens.try_take(0.0, now).is_ok()
    }
}
