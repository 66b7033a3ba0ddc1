//! The rate limits that targets name, as this instance applies them to its own choices.

use std::time::Duration;

use chervilshunt_model::{Moment, TargetName};

use super::facts::TargetStart;
use super::state::Dispatch;
use crate::rate_limit::{LimitChange, LimitReport, RequestRate};

impl Dispatch {
    /// Records the rate limit that a target names in an answer, or that it names none. `sent_at` is
    /// the time at which the answered request was sent.
    pub fn limit_answered(
        &mut self,
        target: &TargetName,
        started: Option<TargetStart>,
        limit: Option<RequestRate>,
        sent_at: Moment,
        now: Moment,
    ) -> Option<LimitChange> {
        let change = self
            .rate_limits
            .answer_received(target, started, limit, sent_at, now);
        self.limit_changed(target, change)
    }

    /// Applies what another instance has observed of a target's rate limit.
    pub fn limit_reported(&mut self, report: &LimitReport, now: Moment) -> Option<LimitChange> {
        let change = self.rate_limits.reported(report, now);
        self.limit_changed(&report.target, change)
    }

    /// Lets a target be chosen again whose limit has changed.
    fn limit_changed(
        &mut self,
        target: &TargetName,
        change: Option<LimitChange>,
    ) -> Option<LimitChange> {
        if let (Some(_), Some(target)) = (change, self.targets.get_mut(target)) {
            target.held_back_until = Moment::ZERO;
        }
        change
    }

    /// Returns what the placer has to be told of a target's rate limit now.
    pub fn limit_report_due(&mut self, target: &TargetName, now: Moment) -> Option<LimitReport> {
        self.rate_limits.report_due(target, now)
    }

    /// Returns what is known of the rate limits of targets.
    ///
    /// A target whose entry is gone keeps its limit for some time, since it may still serve: entries
    /// lapse while the platform is unavailable.
    pub fn limit_reports(&mut self, now: Moment) -> Vec<LimitReport> {
        let targets = &self.targets;
        self.rate_limits
            .retain_listed(|name| targets.contains_key(name), now);
        let limits = &self.rate_limits;
        self.send_shares
            .retain_limited(|name| limits.get(name).is_some());
        self.rate_limits.reports(now)
    }

    /// Returns what is known of a target's rate limit, if anything.
    pub fn limit_report(&self, target: &TargetName, now: Moment) -> Option<LimitReport> {
        self.rate_limits.report(target, now)
    }

    /// Returns the rate limit that a target has named, if any.
    pub fn limit_of(&self, target: &TargetName) -> Option<RequestRate> {
        self.rate_limits.get(target)
    }

    /// Uses this instance's share of a target's rate limit for a request, as nobody schedules it for all
    /// instances. Otherwise returns when the share allows one.
    pub fn try_send_alone(
        &mut self,
        target: &TargetName,
        instances: Option<usize>,
        draw: f64,
        now: Moment,
    ) -> Result<(), Duration> {
        let Some(limit) = self.rate_limits.get(target) else {
            return Ok(());
        };
        self.send_shares
            .try_send(target, limit, instances, draw, now)
    }

    /// Records that a target's rate limit allows this instance no request for a time.
    pub fn hold_back(&mut self, target: &TargetName, time: Duration, now: Moment) {
        if let Some(target) = self.targets.get_mut(target) {
            target.held_back_until = now + time;
        }
    }

    /// Returns the number of targets that have named a rate limit.
    pub fn limited_target_count(&self) -> usize {
        self.rate_limits.count()
    }
}
