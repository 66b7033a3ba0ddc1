//! The promises and vouches of one elector.

use std::time::Duration;

use chervilshunt_model::Moment;

use crate::bugs::{Bug, Bugs};

/// Configuration of an elector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ElectorConfig {
    /// How long a promise not to vouch is valid.
    pub promise_for: Duration,
    /// How long a vouch is valid. In this time the elector makes no promise.
    pub vouch_for: Duration,
    /// How long calls to the platform must have failed before a promise is made.
    pub failing_for: Duration,
    /// The maximum age of the platform's last answer for a vouch.
    pub answered_within: Duration,
}

impl Default for ElectorConfig {
    fn default() -> Self {
        Self {
            promise_for: Duration::from_secs(10),
            vouch_for: Duration::from_secs(3),
            failing_for: Duration::from_secs(3),
            answered_within: Duration::from_secs(8),
        }
    }
}

/// Decides on the promises and vouches of one elector.
///
/// The elector either promises not to vouch, or vouches, and never gives one while the other is
/// valid. A majority of promises and a majority of vouches from the same electorate can therefore
/// never exist at the same time. A restarted process at the same address does not know what its
/// predecessor answered, so it answers neither until that has expired.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ElectorState {
    cfg: ElectorConfig,
    started_at: Moment,
    promised_until: Moment,
    vouched_until: Moment,
    last_answer: Option<Moment>,
    /// When the oldest unanswered call since the last answer was made.
    waiting_since: Option<Moment>,
    failing_since: Option<Moment>,
    bugs: Bugs,
}

impl ElectorState {
    /// Creates an elector that has neither promised nor vouched.
    pub const fn new(cfg: ElectorConfig, now: Moment) -> Self {
        Self {
            cfg,
            started_at: now,
            promised_until: Moment::ZERO,
            vouched_until: Moment::ZERO,
            last_answer: None,
            waiting_since: None,
            failing_since: None,
            bugs: Bugs::NONE,
        }
    }

    /// Seeds a bug.
    #[cfg(test)]
    pub(crate) const fn seed(&mut self, bugs: Bugs) {
        self.bugs = bugs;
    }

    /// Records the start of a call to the platform.
    ///
    /// A platform that hangs is detected by calls that stay unanswered. If only their timeout
    /// counted, a lease could expire before that, and promises could then no longer extend it.
    pub fn record_call_start(&mut self, now: Moment) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records the end of a call to the platform; `answered` is false if the platform gave no
    /// answer.
    pub fn record_call_end(&mut self, answered: bool, now: Moment) {
        if answered {
            self.last_answer = Some(now);
            self.waiting_since = None;
            self.failing_since = None;
        } else {
            let since = self.waiting_since.take().unwrap_or(now);
            self.failing_since.get_or_insert(since);
        }
    }

    /// Returns whether calls to the platform have failed or stayed unanswered for
    /// [`ElectorConfig::failing_for`].
    pub fn is_failing(&self, now: Moment) -> bool {
        let since = self.failing_since.or(self.waiting_since);
        since.is_some_and(|since| now.since(since) >= self.cfg.failing_for)
    }

    /// Promises not to vouch for the returned time; returns `None` if no promise can be made.
    pub fn promise(&mut self, now: Moment) -> Option<Duration> {
        let settled = now >= self.started_at + self.cfg.vouch_for;
        if !settled || now < self.vouched_until || !self.is_failing(now) {
            return None;
        }
        self.promised_until = now + self.cfg.promise_for;
        Some(self.cfg.promise_for)
    }

    /// Vouches that the platform is reachable and makes no promise for the returned time; returns
    /// `None` if the elector cannot vouch.
    pub fn vouch(&mut self, now: Moment) -> Option<Duration> {
        let settled = now >= self.started_at + self.cfg.promise_for;
        let answered = self.failing_since.is_none()
            && !self.is_failing(now)
            && self
                .last_answer
                .is_some_and(|at| now.since(at) <= self.cfg.answered_within);
        let promised = now < self.promised_until && !self.bugs.has(Bug::VouchDespitePromise);
        if !settled || promised || !answered {
            return None;
        }
        self.vouched_until = now + self.cfg.vouch_for;
        Some(self.cfg.vouch_for)
    }
}
