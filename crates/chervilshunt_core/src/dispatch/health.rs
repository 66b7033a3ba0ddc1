//! Whether a target answers, judged from its answers alone.

use std::time::Duration;

use chervilshunt_model::Moment;

/// How targets that fail are passed over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthConfig {
    /// How long a target is passed over after its first failure; it doubles with each further one.
    ///
    /// It lies well under the time in which a crashed target leaves the platform's list, so that
    /// one that was only slow once gets work back at once.
    pub first_pause: Duration,
    /// The longest time for which a target is passed over.
    pub longest_pause: Duration,
    /// The share of failed requests beyond which a target that answers otherwise is passed over.
    ///
    /// Sound services fail up to a seventh of their calls by themselves; a faulty target fails two
    /// fifths and more.
    pub failing_share: f64,
    /// The weight of one outcome in the running share of failures: about ten outcomes count.
    pub outcome_weight: f64,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            first_pause: Duration::from_millis(250),
            longest_pause: Duration::from_secs(2),
            failing_share: 0.35,
            outcome_weight: 0.1,
        }
    }
}

/// What an exchange with a target showed of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered with success, or passed on a piece of an answer.
    Served,
    /// It answered that it failed, or broke an answer off.
    Failed,
    /// No connection could be had, or it went silent: nobody may be there.
    Silent,
}

/// The health of one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetHealth {
    failures_in_row: u32,
    silent_until: Moment,
    failing_share: f64,
    heard_at: Moment,
}

impl TargetHealth {
    pub(crate) const fn new(now: Moment) -> Self {
        Self {
            failures_in_row: 0,
            silent_until: Moment::ZERO,
            failing_share: 0.0,
            heard_at: now,
        }
    }

    /// Takes in what an exchange showed.
    pub(crate) fn note(&mut self, cfg: &HealthConfig, sign: Sign, now: Moment) {
        match sign {
            Sign::Served => {
                self.heard_at = now;
                self.failures_in_row = 0;
                self.silent_until = Moment::ZERO;
                self.failing_share *= 1.0 - cfg.outcome_weight;
            }
            Sign::Failed => {
                self.heard_at = now;
                self.failing_share += cfg.outcome_weight * (1.0 - self.failing_share);
            }
            Sign::Silent => {
                let pause = cfg.first_pause * 2_u32.saturating_pow(self.failures_in_row.min(8));
                self.failures_in_row = self.failures_in_row.saturating_add(1);
                self.silent_until = now + pause.min(cfg.longest_pause);
            }
        }
    }

    /// Says whether the target is passed over for silence.
    pub(crate) fn is_silent(&self, now: Moment) -> bool {
        now < self.silent_until
    }

    /// Returns the share of failed requests above which more than a fair part of it is faulty.
    pub(crate) fn failing_share(&self) -> f64 {
        self.failing_share
    }

    /// Returns when the target last showed that it lives.
    pub(crate) const fn heard_at(&self) -> Moment {
        self.heard_at
    }

    /// Takes note that bytes came from the target.
    pub(crate) fn heard(&mut self, now: Moment) {
        self.heard_at = now;
    }
}
