//! What shows that a request has not run at a target.
//!
//! See `docs/design/answer-identity.md`.

use chervilshunt_engine::AnswerProof;
use http::StatusCode;

use super::attempt::{AttemptOutcome, RequestAttempts};
use super::place::SelectedTarget;
use super::refusal::Refusal;
use crate::transit::TransitOutcome;

/// A rejecting answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    pub(super) status: StatusCode,
    /// What shows that the answer belongs to the request.
    pub(super) proof: AnswerProof,
    /// Whether it names the target that answers.
    pub(super) names_target: bool,
    /// Whether its connection had carried another exchange before.
    pub(super) is_reused: bool,
}

/// What shows that a request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotRunProof {
    /// The target has rejected it.
    Rejected(Rejection),
    /// The instance in between has not sent it.
    NotPassedOn(TransitOutcome),
    /// No connection was opened.
    NotConnected,
    /// The connection ended before any of the request was written.
    Unwritten,
    /// The retry had expired before it was written.
    Withheld,
}

impl NotRunProof {
    /// Returns the name used in logs and metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Rejected(rejection) => match rejection.proof {
                AnswerProof::OwnId => "own_id",
                AnswerProof::NewConnection => "new_connection",
            },
            Self::NotPassedOn(_) => "not_passed_on",
            Self::NotConnected => "not_connected",
            Self::Unwritten => "unwritten",
            Self::Withheld => "withheld",
        }
    }

    const fn rejection(self) -> Option<Rejection> {
        match self {
            Self::Rejected(rejection) => Some(rejection),
            Self::NotPassedOn(_) | Self::NotConnected | Self::Unwritten | Self::Withheld => None,
        }
    }

    const fn transit_outcome(self) -> Option<TransitOutcome> {
        match self {
            Self::NotPassedOn(outcome) => Some(outcome),
            Self::Rejected(_) | Self::NotConnected | Self::Unwritten | Self::Withheld => None,
        }
    }
}

impl RequestAttempts<'_> {
    /// Withdraws the assumption that the request may have run at the last target.
    pub(super) fn not_run(
        &mut self,
        chosen: &SelectedTarget,
        proof: NotRunProof,
    ) -> AttemptOutcome {
        self.runs -= 1;
        self.set_charge_final(self.runs > 0);
        self.report_not_run(chosen, proof);
        AttemptOutcome::NotRun
    }

    /// Handles a retry that had expired when its connection was ready.
    pub(super) fn withheld(&mut self, chosen: &SelectedTarget) -> AttemptOutcome {
        self.arrivals -= 1;
        self.not_run(chosen, NotRunProof::Withheld);
        AttemptOutcome::Withheld
    }

    /// Logs how often a request that is refused was sent, and how often it may have run.
    pub(super) fn report_given_up(&self, refusal: Refusal) {
        if self.attempts == 0 {
            return;
        }
        slog::info!(self.shared.log, "request given up";
            "request" => &*self.req.id, "reason" => refusal.reason.as_str(),
            "status" => refusal.status().as_u16(),
            "attempts" => self.attempts, "may_have_run" => self.runs);
    }

    fn report_not_run(&self, chosen: &SelectedTarget, proof: NotRunProof) {
        let rejection = proof.rejection();
        slog::info!(self.shared.log, "request not run";
            "request" => &*self.req.id, "target" => chosen.target.as_str(),
            "via" => chosen.route.as_ref().map(|it| it.instance.as_str().to_owned()),
            "proof" => proof.as_str(),
            "outcome" => proof.transit_outcome().map(TransitOutcome::as_str),
            "status" => rejection.map(|it| it.status.as_u16()),
            "names_target" => rejection.map(|it| it.names_target),
            "reused" => rejection.map(|it| it.is_reused),
            "attempts" => self.attempts, "may_have_run" => self.runs);
        metrics::counter!("chervilshunt_not_run_total", "proof" => proof.as_str()).increment(1);
    }
}
