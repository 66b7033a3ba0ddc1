//! How much work a target has, as one instance estimates it.

use std::time::Duration;

use chervilshunt_model::Moment;

use super::facts::LoadReport;

/// The work at one target.
///
/// A report is as old as the answer that brought it, and several instances send at a time. What
/// this instance has under way is known exactly, so only the others' part is taken from reports:
/// counted whole, a report from before a burst of own requests would send the rest of the burst to
/// the same target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetLoad {
    own: u32,
    /// Prompt tokens of this instance's requests that the target has not begun to answer.
    reading: u32,
    others: f64,
    reported_at: Moment,
}

impl TargetLoad {
    /// Counts a request that was sent.
    pub(crate) fn sent(&mut self) {
        self.own += 1;
    }

    /// Counts prompt tokens that the target has to read.
    pub(crate) fn reads(&mut self, tokens: u32) {
        self.reading += tokens;
    }

    /// Counts prompt tokens that the target has read, or no longer has to.
    pub(crate) fn has_read(&mut self, tokens: u32) {
        self.reading = self.reading.saturating_sub(tokens);
    }

    /// Returns the prompt tokens of this instance's requests that the target has still to read.
    pub(crate) const fn reading(&self) -> u32 {
        self.reading
    }

    /// Counts a request that ended.
    pub(crate) fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes in what the target said while `self.own` requests were under way.
    pub(crate) fn reported(&mut self, report: LoadReport, now: Moment) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        self.others = (total - f64::from(self.own)).max(0.0);
        self.reported_at = now;
    }

    /// Takes in how many requests all instances together have under way.
    pub(crate) fn told(&mut self, total: u32, now: Moment) {
        self.others = f64::from(total.saturating_sub(self.own));
        self.reported_at = now;
    }

    /// Returns the requests at the target.
    pub(crate) fn total(&self) -> f64 {
        f64::from(self.own) + self.others
    }

    /// Returns the requests at the target, without the others' part if that was learnt longer ago.
    pub(crate) fn known_within(&self, age: Duration, now: Moment) -> f64 {
        if now.since(self.reported_at) < age {
            self.total()
        } else {
            f64::from(self.own)
        }
    }

    /// Returns when the others' part was learnt.
    pub(crate) const fn reported_at(&self) -> Moment {
        self.reported_at
    }
}
