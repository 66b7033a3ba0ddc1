//! Estimates how fast targets prefill prompts.

use std::time::Duration;

/// The initial estimate, in tokens per millisecond. It is that of a slow engine, so that the first
/// prompts are spread over targets rather than queued.
const INITIAL_RATE: f64 = 15.0;
/// The number of tokens that the initial estimate counts for.
const INITIAL_TOKENS: f64 = 20_000.0;
/// The number of tokens over which the rate is averaged: about a hundred prompts.
const AVERAGED_TOKENS: f64 = 200_000.0;

/// The prefill rate of the targets of all services, estimated from the time that they take to begin
/// their answers.
///
/// Targets do not report it: it depends on the engine, on concurrent generation and on how much of
/// the prompts is cached.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillRate {
    tokens: f64,
    millis: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
            millis: INITIAL_TOKENS / INITIAL_RATE,
        }
    }
}

impl PrefillRate {
    /// Records that a target prefilled `tokens` tokens in a time in which it had prompts to
    /// process.
    pub(crate) fn record(&mut self, tokens: u32, took: Duration) {
        if tokens == 0 {
            return;
        }
        self.tokens += f64::from(tokens);
        self.millis += took.as_secs_f64() * 1e3;
        if self.tokens > AVERAGED_TOKENS {
            let kept = AVERAGED_TOKENS / self.tokens;
            self.tokens *= kept;
            self.millis *= kept;
        }
    }

    /// Returns how long a target takes to prefill `tokens` tokens, in milliseconds.
    pub(crate) fn millis(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.millis / self.tokens
    }
}
