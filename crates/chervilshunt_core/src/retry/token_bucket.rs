//! A token bucket.

use std::time::Duration;

use chervilshunt_model::Moment;

/// A rate limit that allows bursts.
///
/// In any time span at most the burst plus the rate times the span is taken.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    level: f64,
    filled_at: Moment,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens, which refills with `per_second` tokens per second.
    pub const fn new(per_second: f64, burst: f64, now: Moment) -> Self {
        Self {
            per_second,
            burst,
            level: burst,
            filled_at: now,
        }
    }

    /// Takes one token if at least `reserve` tokens remain in the bucket afterwards.
    ///
    /// Callers that leave a reserve can't starve callers that leave none.
    ///
    /// # Errors
    /// Returns the time at which the token is available if nobody else takes one until then, or
    /// `None` if it never is.
    pub fn try_take(&mut self, reserve: f64, now: Moment) -> Result<(), Option<Moment>> {
        self.refill(now);
        let missing = reserve + 1.0 - self.level;
        if missing <= 0.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let reachable = self.per_second > 0.0 && reserve + 1.0 <= self.burst;
        let wait = Duration::try_from_secs_f64(missing / self.per_second).ok();
        // Rounded up by a microsecond, so that the token is available at that time.
        Err(wait
            .filter(|_| reachable)
            .map(|wait| now + wait + Duration::from_micros(1)))
    }

    /// Changes the rate and the burst. Tokens already taken are not returned.
    pub fn reconfigure(&mut self, per_second: f64, burst: f64, now: Moment) {
        self.refill(now);
        self.per_second = per_second;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Adds tokens in addition to the refill, up to the burst.
    pub fn deposit(&mut self, tokens: f64, now: Moment) {
        self.refill(now);
        self.level = (self.level + tokens).min(self.burst);
    }

    /// Returns the number of available tokens.
    pub fn level(&mut self, now: Moment) -> f64 {
        self.refill(now);
        self.level
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.level = elapsed.mul_add(self.per_second, self.level).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }
}
