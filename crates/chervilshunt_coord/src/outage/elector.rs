//! The word that an elector gives.

use std::time::Duration;

use chervilshunt_model::Moment;

use crate::bugs::{Bug, Bugs};

/// How an elector gives its word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ElectorConfig {
    /// How long a promise not to vouch counts.
    pub promise_for: Duration,
    /// How long a vouch counts, in which nothing is promised.
    pub vouch_for: Duration,
    /// How long calls to the platform must have failed before a promise is given.
    pub failing_for: Duration,
    /// How recent an answer of the platform must be for a vouch.
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

/// Gives the word of one elector.
///
/// It promises not to vouch, or vouches, and never one while the other counts. So of two
/// majorities of the same electors, one that has promised and one that vouches, never both exist.
/// What the process before it at the same address said is not known to it, so it says nothing
/// until that no longer counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ElectorDesk {
    cfg: ElectorConfig,
    started_at: Moment,
    promised_until: Moment,
    vouched_until: Moment,
    last_answer: Option<Moment>,
    /// When the oldest call was made that has waited for an answer since the last one came.
    waiting_since: Option<Moment>,
    failing_since: Option<Moment>,
    bugs: Bugs,
}

impl ElectorDesk {
    /// Starts without a word given.
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

    /// Takes note of a call to the platform that was made.
    ///
    /// A platform that hangs shows by calls that wait. Were it found out only when they time out,
    /// that could come after a lease is over, and no promise could extend it any more.
    pub fn note_begun(&mut self, now: Moment) {
        self.waiting_since.get_or_insert(now);
    }

    /// Takes note of a call to the platform that has ended.
    pub fn note_call(&mut self, answered: bool, now: Moment) {
        if answered {
            self.last_answer = Some(now);
            self.waiting_since = None;
            self.failing_since = None;
        } else {
            let since = self.waiting_since.take().unwrap_or(now);
            self.failing_since.get_or_insert(since);
        }
    }

    /// Returns whether the platform seems to have failed.
    pub fn is_failing(&self, now: Moment) -> bool {
        let since = self.failing_since.or(self.waiting_since);
        since.is_some_and(|since| now.since(since) >= self.cfg.failing_for)
    }

    /// Promises not to vouch for a while; `None` if it can't.
    pub fn promise(&mut self, now: Moment) -> Option<Duration> {
        let settled = now >= self.started_at + self.cfg.vouch_for;
        if !settled || now < self.vouched_until || !self.is_failing(now) {
            return None;
        }
        self.promised_until = now + self.cfg.promise_for;
        Some(self.cfg.promise_for)
    }

    /// Vouches that the platform can be reached, and promises nothing for a while; `None` if it
    /// can't.
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
