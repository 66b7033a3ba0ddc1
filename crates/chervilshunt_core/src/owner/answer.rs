//! Answers to permit requests, each with its log record.

use std::time::Duration;

use chervilshunt_model::{Class, Moment, TargetName};
use smallvec::SmallVec;

use super::Owner;
use super::action::OwnerAction;
use super::queue::TimedRequest;
use super::settled::Settlement;
use super::tuning::RETRY_AFTER_RANGE;
use crate::{DecisionKind, Permit, PermitAnswer, PermitRequest, RefusalReason};

impl Owner {
    pub(super) fn grant(
        &mut self,
        timed: impl Into<TimedRequest>,
        reason: &'static str,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let timed = timed.into();
        let req = &timed.req;
        if let (true, Some(model)) = (self.slots.exist(), &req.model) {
            self.slots.pin(model, now);
        }
        match req.class {
            Class::Live => {
                self.live_grants_since_deferrable =
                    self.live_grants_since_deferrable.saturating_add(1)
            }
            Class::Deferrable => {
                self.live_grants_since_deferrable = 0;
                self.last_deferrable_grant = now;
            }
        }
        let permit = Permit {
            attempt: req.attempt,
            entry: req.entry.clone(),
            target: self.cfg.target.clone(),
            model: req.model.clone(),
            class: req.class,
            epoch: self.cfg.epoch,
            window_ms: u64::try_from(self.cfg.permit_window.as_millis()).unwrap_or(u64::MAX),
        };
        let ticket = self.health.admit(permit.attempt, now);
        self.permits.insert(permit.clone(), ticket, now);
        self.permits_changed(now);
        let spread = self.spread_of(req.model.as_ref());
        let answer = answer_to(req, PermitAnswer::Granted { permit, spread });
        self.log_request(DecisionKind::Grant, &timed, reason, out);
        out.push(answer);
    }

    pub(super) fn redirect(
        &mut self,
        timed: impl Into<TimedRequest>,
        targets: SmallVec<[TargetName; 4]>,
        reason: &'static str,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let timed = timed.into();
        let mut decision = self.decision(DecisionKind::Redirect, &timed, reason);
        decision.sent_on.clone_from(&targets);
        out.push(OwnerAction::Log(decision));
        self.settle(&timed.req, PermitAnswer::Redirect { targets }, now, out);
    }

    pub(super) fn refuse(
        &mut self,
        timed: impl Into<TimedRequest>,
        reason: RefusalReason,
        retry_after: Duration,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let timed = timed.into();
        self.log_request(DecisionKind::Refuse, &timed, reason.as_str(), out);
        let retry_after = retry_after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        let answer = PermitAnswer::Refused {
            reason,
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        };
        self.settle(&timed.req, answer, now, out);
    }

    fn settle(
        &mut self,
        req: &PermitRequest,
        answer: PermitAnswer,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let settlement = Settlement::Answered(Box::new(answer.clone()));
        self.settled.insert(req.attempt, req.hops, settlement, now);
        out.push(answer_to(req, answer));
    }

    pub(super) fn retry_after(
        &self,
        req: &PermitRequest,
        reason: RefusalReason,
        now: Moment,
    ) -> Duration {
        match reason {
            RefusalReason::LoadFailed => {
                let until = self.load_suspended_until(req, now);
                until.map_or(RETRY_AFTER_RANGE.0, |until| now.until(until))
            }
            RefusalReason::QueueFull => self.expected_wait(self.queue_class(req.class)),
            RefusalReason::Deadline => {
                let load = self
                    .waits_for_load(req)
                    .then(|| self.expected_load(req, now));
                load.unwrap_or_default()
                    .max(self.expected_wait(self.queue_class(req.class)))
            }
            RefusalReason::Draining | RefusalReason::NotOwner => RETRY_AFTER_RANGE.0,
            RefusalReason::TargetDown => Duration::from_secs(2),
            RefusalReason::TargetFailing => {
                let until = self.health.refused_until(now);
                until.map_or(RETRY_AFTER_RANGE.0, |until| now.until(until))
            }
        }
    }
}

pub(super) fn answer_to(req: &PermitRequest, answer: PermitAnswer) -> OwnerAction {
    OwnerAction::Answer {
        entry: req.entry.clone(),
        attempt: req.attempt,
        answer,
    }
}
