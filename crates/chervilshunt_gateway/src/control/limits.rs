//! The rate limits of targets at the placer, which schedules the requests of all instances.

use std::time::Duration;

use chervilshunt_core::{LimitReport, ResidencyEvent};
use chervilshunt_mesh::Reply;
use chervilshunt_model::{InstanceId, TargetName};

use super::actor::Control;
use crate::peers::PeerMessage;

impl Control {
    /// Returns what this instance knows of targets' rate limits.
    pub(super) fn known_limits(&self) -> Vec<LimitReport> {
        self.shared.dispatch().limit_reports(self.now())
    }

    /// Passes the rate limits of all targets to the planner.
    pub(super) fn plan_rate_limits(&mut self, known: &[LimitReport]) {
        let limited = known.iter();
        let limited = limited.filter_map(|it| Some((it.target.clone(), it.limit?)));
        self.plan(ResidencyEvent::RateLimits(limited.collect()));
    }

    /// Applies what another instance, or this instance's own traffic, has observed of a limit.
    pub(super) fn handle_limit_report(&mut self, report: &LimitReport, from: &InstanceId) {
        self.apply_limit(report, from.as_str());
        if self.placer.is_some() {
            let known = self.known_limits();
            self.plan_rate_limits(&known);
        }
    }

    /// Applies what another instance has observed; `source` tells which.
    pub(super) fn apply_limit(&self, report: &LimitReport, source: &str) {
        let now = self.now();
        let change = self.shared.dispatch().limit_reported(report, now);
        if let Some(change) = change {
            self.shared
                .record_limit_change(&report.target, change, source);
        }
    }

    /// Decides whether an instance may send a request to a target that it has chosen itself.
    pub(super) fn handle_send_permit(
        &mut self,
        target: &TargetName,
        within: Duration,
        reply: Option<Reply<PeerMessage>>,
    ) {
        let now = self.now();
        // A process that was paused beyond the end of its lease is not the only one with a schedule
        // any more. Dropping the reply tells the requester at once that there is no answer.
        let (Some(reply), Some(placer)) = (reply, self.lease_holder(now)) else {
            return;
        };
        let permit = placer.residency.permit_send(target, within, now);
        if let Err(error) = reply.send(PeerMessage::SendPermitAnswer(permit)) {
            slog::debug!(self.shared.log, "requester is gone"; "reason" => error.to_string());
        }
    }
}
