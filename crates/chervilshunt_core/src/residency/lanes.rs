//! Switches the separation of long prompts on and off, based on observed pauses of streams.
//!
//! A long prompt delays the streams on the same target. By how much depends on the engine, on the
//! number of tokens per stream event and on the pause that callers accept, about which the placer
//! knows little. Separating long prompts has a cost: an adapter that both kinds of requests use
//! needs a slot on two targets. Long prompts are therefore separated only while streams have been
//! observed to pause for too long.

use std::time::Duration;

use chervilshunt_model::Moment;

use crate::decay::DecayedRate;

/// The half-life of the compared rates, long enough to cover the pauses of several streams.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// The share of requests with a pause above which long prompts are separated: a target that
/// restarts or is briefly overloaded pauses fewer streams.
const PAUSED_SHARE: f64 = 0.025;
/// The minimum rate of pauses at which long prompts are separated, in pauses per second, so that a
/// single pause among few requests does not count.
const MIN_PAUSES_PER_SECOND: f64 = 1.5;
/// How long the separation lasts after the last pauses that justified it. It is then switched off
/// as a trial: with separation the pauses stop, so nothing would show that it is no longer needed.
const SEPARATION_TIME: Duration = Duration::from_secs(30);

/// Whether long prompts are sent to targets of their own.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LaneSwitch {
    paused: DecayedRate,
    ended: DecayedRate,
    until: Option<Moment>,
}

impl LaneSwitch {
    /// Records how many requests have ended and how many streams have paused for too long.
    pub(crate) fn note(&mut self, ended: usize, paused: u32, now: Moment) {
        self.ended.add(ended as f64, HALF_LIFE, now);
        if paused == 0 {
            return;
        }
        self.paused.add(f64::from(paused), HALF_LIFE, now);
        let paused = self.paused.per_second(HALF_LIFE, now);
        let ended = self.ended.per_second(HALF_LIFE, now);
        if paused >= MIN_PAUSES_PER_SECOND.max(ended * PAUSED_SHARE) {
            self.until = Some(now + SEPARATION_TIME);
        }
    }

    /// Returns whether long prompts are separated.
    pub(crate) fn is_on(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
