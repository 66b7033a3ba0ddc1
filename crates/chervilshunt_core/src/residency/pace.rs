//! How fast targets read prompts.

use std::time::Duration;

/// The pace that is taken until prompts have been read, in tokens a millisecond: that of a slow engine,
/// so that the first prompts are spread rather than queued.
const FIRST_GUESS: f64 = 15.0;
/// The tokens that a first guess counts for.
const GUESS_TOKENS: f64 = 20_000.0;
/// The tokens over which the pace is taken: about a hundred prompts.
const MEMORY_TOKENS: f64 = 200_000.0;

/// The pace at which the targets of all services read prompts, learnt from how long they take to begin
/// their answers.
///
/// Nothing tells it: it differs with the engine, with what else a target generates and with the parts of
/// prompts that it has kept.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadingPace {
    tokens: f64,
    millis: f64,
}

impl Default for ReadingPace {
    fn default() -> Self {
        Self {
            tokens: GUESS_TOKENS,
            millis: GUESS_TOKENS / FIRST_GUESS,
        }
    }
}

impl ReadingPace {
    /// Takes in that a target has read so many tokens in a time in which it had prompts to read.
    pub(crate) fn read(&mut self, tokens: u32, took: Duration) {
        if tokens == 0 {
            return;
        }
        self.tokens += f64::from(tokens);
        self.millis += took.as_secs_f64() * 1e3;
        if self.tokens > MEMORY_TOKENS {
            let kept = MEMORY_TOKENS / self.tokens;
            self.tokens *= kept;
            self.millis *= kept;
        }
    }

    /// Returns how long a target takes to read so many tokens, in milliseconds.
    pub(crate) fn millis(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.millis / self.tokens
    }
}
