//! Handles targets whose answers name a rate limit.

use chervilshunt_core::{LimitChange, LimitReport, TargetStart};
use chervilshunt_model::{Moment, TargetName};
use http::HeaderMap;

use crate::peers::PeerMessage;
use crate::shared::Shared;

impl Shared {
    /// Handles the head of an answer, which may name the target's rate limit.
    ///
    /// `sent_at` is the time at which the answered request was sent. It is `None` for answers to
    /// others than callers' requests, which don't show that a limit is lifted.
    pub(crate) fn check_limit(
        &self,
        target: &TargetName,
        started: Option<TargetStart>,
        headers: &HeaderMap,
        sent_at: Option<Moment>,
    ) {
        let named = (self.dialect.targets.limit)(headers);
        if let Some(malformed) = &named.malformed {
            slog::warn!(self.log, "rate limit of target can't be read";
                "target" => target.as_str(), "reason" => malformed.to_string(),
                "used" => named.limit.map(|it| it.per_second()));
            count_change("unreadable");
        }
        let limit = named.limit;
        if limit.is_none() && (named.malformed.is_some() || sent_at.is_none()) {
            return;
        }
        let now = self.clock.now();
        let mut dispatch = self.dispatch();
        let sent_at = sent_at.unwrap_or(now);
        let change = dispatch.limit_answered(target, started, limit, sent_at, now);
        let report = dispatch.limit_report_due(target, now);
        drop(dispatch);
        if let Some(change) = change {
            self.record_limit_change(target, change, "answer");
        }
        if let Some(report) = report {
            self.report_limit(report);
        }
    }

    /// Tells the placer of a target's limit, which it schedules requests by.
    pub(crate) fn report_limit(&self, report: LimitReport) {
        let Some(placer) = self.placer.load_full() else {
            return;
        };
        if let Err(error) = self.mesh.send(&placer, PeerMessage::RateLimit(report)) {
            slog::debug!(self.log, "message to placer not sent"; "reason" => error.to_string());
        }
    }

    /// Logs and counts a change of a target's rate limit; `source` tells from where it is known.
    pub(crate) fn record_limit_change(
        &self,
        target: &TargetName,
        change: LimitChange,
        source: &str,
    ) {
        let LimitChange { before, now } = change;
        slog::info!(self.log, "rate limit of target changed";
            "target" => target.as_str(), "source" => source,
            "before_per_s" => before.map(|it| it.per_second()),
            "per_s" => now.map(|it| it.per_second()));
        count_change(match (before, now) {
            (None, _) => "named",
            (Some(_), Some(_)) => "changed",
            (Some(_), None) => "lifted",
        });
        let limited = self.dispatch().limited_target_count();
        metrics::gauge!("chervilshunt_limited_targets").set(limited as f64);
    }
}

fn count_change(change: &'static str) {
    metrics::counter!("chervilshunt_target_limit_changes_total", "change" => change).increment(1);
}
