//! The load of a target, as estimated by one instance.

use std::time::Duration;

use chervilshunt_model::Moment;

use super::facts::LoadReport;

/// The load of one target.
///
/// A report is as old as the response that carried it, and several instances send at the same time.
/// The requests of this instance are known exactly, so only the load of other instances is taken
/// from reports. If reports were used as they are, a report from before a burst of own requests
/// would direct the rest of the burst to the same target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetLoad {
    own: u32,
    /// Prompt tokens of this instance's requests that the target has not begun to answer.
    prefill_tokens: u32,
    others: f64,
    reported_at: Moment,
}

impl TargetLoad {
    /// Counts a request that was sent.
    pub(crate) fn sent(&mut self) {
        self.own += 1;
    }

    /// Adds prompt tokens that the target has to prefill.
    pub(crate) fn add_prefill(&mut self, tokens: u32) {
        self.prefill_tokens += tokens;
    }

    /// Removes prompt tokens that the target has prefilled or no longer has to.
    pub(crate) fn remove_prefill(&mut self, tokens: u32) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(tokens);
    }

    /// Returns the prompt tokens of this instance's requests that still await prefill.
    pub(crate) const fn prefill_tokens(&self) -> u32 {
        self.prefill_tokens
    }

    /// Returns the number of requests that this instance has in flight at the target.
    pub(crate) const fn own(&self) -> u32 {
        self.own
    }

    /// Counts a request that ended.
    pub(crate) fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Applies a load report that the target sent while `self.own` requests were in flight.
    pub(crate) fn load_reported(&mut self, report: LoadReport, now: Moment) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        self.others = (total - f64::from(self.own)).max(0.0);
        self.reported_at = now;
    }

    /// Applies the total number of requests that all instances have in flight.
    pub(crate) fn total_reported(&mut self, total: u32, now: Moment) {
        self.others = f64::from(total.saturating_sub(self.own));
        self.reported_at = now;
    }

    /// Returns the estimated number of requests at the target.
    pub(crate) fn total(&self) -> f64 {
        f64::from(self.own) + self.others
    }

    /// Returns the estimated number of requests at the target, ignoring other instances if their
    /// load was reported longer ago than `age`.
    pub(crate) fn known_within(&self, age: Duration, now: Moment) -> f64 {
        if now.since(self.reported_at) < age {
            self.total()
        } else {
            f64::from(self.own)
        }
    }

    /// Returns the time of the last report on the load of other instances.
    pub(crate) const fn reported_at(&self) -> Moment {
        self.reported_at
    }
}
