//! Permits for requests to targets that have named a rate limit.

use std::time::Duration;

use chervilshunt_core::SendPermit;
use chervilshunt_model::TargetName;

use super::attempt::RequestAttempts;
use crate::peers::PeerMessage;

/// Time in which the placer answers. It is a part of what the shortest requests may take, and many
/// times the way to the placer and back.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest time for which a target is held back because the share of its limit is used up. There may be a
/// placer by then.
const MAX_ALONE_HOLD_BACK: Duration = Duration::from_secs(1);

/// How a request to a limited target is decided on, in metrics.
#[derive(Clone, Copy, Debug)]
enum PermitOutcome {
    /// The placer has scheduled it for now.
    Permitted,
    /// The placer has scheduled it for later.
    Delayed,
    /// This instance's share of the limit allows it.
    Alone,
    /// The limit does not allow it in time.
    HeldBack,
}

impl PermitOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Permitted => "permitted",
            Self::Delayed => "delayed",
            Self::Alone => "alone",
            Self::HeldBack => "held_back",
        }
    }
}

fn count(outcome: PermitOutcome) {
    metrics::counter!("chervilshunt_limited_sends_total", "outcome" => outcome.as_str())
        .increment(1);
}

impl RequestAttempts<'_> {
    /// Waits until a request may be sent to a limited target that this instance has chosen itself.
    /// Returns whether that is within the given time; otherwise the target is held back.
    pub(super) async fn wait_for_permit(&self, target: &TargetName, within: Duration) -> bool {
        let now = self.shared.clock.now();
        let placer = self.shared.placer.load_full();
        let placer = placer.filter(|_| !self.shared.is_placer_silent(now));
        let Some(placer) = placer else {
            return self.send_alone(target);
        };
        let message = PeerMessage::SendPermitRequest(target.clone(), within);
        let answer = self.shared.mesh.request(&placer, message, PERMIT_TIMEOUT);
        match answer.await {
            Ok(PeerMessage::SendPermitAnswer(SendPermit::After(delay))) => {
                self.record_placer_response();
                self.wait_to_send(delay).await;
                true
            }
            Ok(PeerMessage::SendPermitAnswer(SendPermit::Later { retry_in })) => {
                self.record_placer_response();
                self.hold_back(target, retry_in, "placer");
                false
            }
            Ok(PeerMessage::SendPermitAnswer(SendPermit::Unlimited)) => {
                self.report_unknown_limit(target);
                self.send_alone(target)
            }
            Ok(_) => self.send_alone(target),
            Err(error) => {
                slog::info!(self.shared.log, "placer did not schedule a request";
                    "request" => &*self.req.id, "target" => target.as_str(),
                    "reason" => error.to_string());
                self.send_alone(target)
            }
        }
    }

    /// Waits until a request may be sent that the placer has scheduled.
    pub(super) async fn wait_to_send(&self, delay: Duration) {
        if delay.is_zero() {
            return count(PermitOutcome::Permitted);
        }
        count(PermitOutcome::Delayed);
        slog::info!(self.shared.log, "request waits for rate limit of target";
            "request" => &*self.req.id, "delay_ms" => delay.as_millis() as u64);
        tokio::time::sleep(delay).await;
    }

    /// Returns whether a request may be sent to a target although nobody has scheduled it: the target
    /// has no limit, or this instance's share of the limit allows it.
    pub(super) fn send_alone(&self, target: &TargetName) -> bool {
        let now = self.shared.clock.now();
        let instances = self.shared.known_instances();
        let mut dispatch = self.shared.dispatch();
        if dispatch.limit_of(target).is_none() {
            return true;
        }
        let sent = dispatch.try_send_alone(target, instances, rand::random(), now);
        drop(dispatch);
        match sent {
            Ok(()) => {
                count(PermitOutcome::Alone);
                true
            }
            Err(retry_in) => {
                self.hold_back(target, retry_in.min(MAX_ALONE_HOLD_BACK), "share");
                false
            }
        }
    }

    /// Tells the placer of a limit that it has not taken into account.
    pub(super) fn report_unknown_limit(&self, target: &TargetName) {
        let now = self.shared.clock.now();
        let report = self.shared.dispatch().limit_report(target, now);
        if let Some(report) = report {
            self.shared.report_limit(report);
        }
    }

    /// Keeps requests of this instance's own choice from a target whose limit is used up.
    fn hold_back(&self, target: &TargetName, time: Duration, by: &str) {
        count(PermitOutcome::HeldBack);
        let now = self.shared.clock.now();
        let mut dispatch = self.shared.dispatch();
        dispatch.hold_back(target, time, now);
        let report = dispatch.limit_report(target, now);
        drop(dispatch);
        slog::info!(self.shared.log, "request held back by rate limit of target";
            "request" => &*self.req.id, "target" => target.as_str(), "by" => by,
            "per_s" => report.as_ref().and_then(|it| it.limit).map(|it| it.per_second()),
            "age_ms" => report.as_ref().map(|it| it.age.as_millis() as u64),
            "retry_in_ms" => time.as_millis() as u64);
    }
}
