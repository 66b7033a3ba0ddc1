//! Whether long prompts are kept apart, as observed.
//!
//! A long prompt holds up the streams beside it. How much depends on the engine, on the tokens that an
//! event of a stream holds and on the pause that callers want kept, of which a placer knows little. Kept
//! apart, an adapter that both kinds of requests want needs a place at two targets. So long prompts are
//! kept apart only while streams have been seen to pause for too long.

use std::time::Duration;

use chervilshunt_model::Moment;

use crate::decay::DecayedRate;

/// The half-life of the rates that are compared: long enough for a few streams to pause in.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// The share of requests beyond which pauses call for it: a target that restarts or is overloaded for a
/// moment makes fewer streams pause.
const PAUSED_SHARE: f64 = 0.025;
/// The fewest pauses a second that call for it, against a single one among few requests.
const LEAST_A_SECOND: f64 = 1.5;
/// How long prompts are kept apart after the last pauses that called for it. Then it is tried without:
/// kept apart, streams pause no longer, and nothing would show that it is not needed any more.
const KEEPS_FOR: Duration = Duration::from_secs(30);

/// Whether long prompts are kept apart.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LaneSwitch {
    paused: DecayedRate,
    ended: DecayedRate,
    until: Option<Moment>,
}

impl LaneSwitch {
    /// Takes in how many requests have ended, and how many streams have paused for too long.
    pub(crate) fn note(&mut self, ended: usize, paused: u32, now: Moment) {
        self.ended.add(ended as f64, HALF_LIFE, now);
        if paused == 0 {
            return;
        }
        self.paused.add(f64::from(paused), HALF_LIFE, now);
        let paused = self.paused.per_second(HALF_LIFE, now);
        let ended = self.ended.per_second(HALF_LIFE, now);
        if paused >= LEAST_A_SECOND.max(ended * PAUSED_SHARE) {
            self.until = Some(now + KEEPS_FOR);
        }
    }

    /// Says whether long prompts are kept apart.
    pub(crate) fn is_on(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
