//! Answers of this instance's own: what the caller is told, and when it should come back.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

use super::body::ReplyBody;

/// Why a request gets no answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The request itself can't be served.
    Malformed,
    /// The body is longer than allowed.
    TooLong,
    /// The body did not come whole.
    BodyBroke,
    /// No route takes it.
    NoRoute,
    /// No configuration is known yet.
    NoConfiguration,
    /// No target of the service can take it.
    NoTarget,
    /// Its adapter is nowhere and could not be placed.
    NotPlaced,
    /// All targets are full.
    Full,
    /// Targets crash that run it.
    CrashesTargets,
    /// Targets refused it, and the budget of repeated sendings is spent.
    BudgetSpent,
    /// Time ran out before it was sent.
    Late,
    /// Time ran out after it was sent.
    Unanswered,
    /// It was sent and may have run, and its answer is lost.
    AnswerLost,
    /// It was still queued at its target when the version it was sent for became too old.
    OutdatedVersion,
    /// The target's answer is not one that may be passed on.
    BadAnswer,
}

impl Reason {
    /// Returns the name in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLong => "too_long",
            Self::BodyBroke => "body_broke",
            Self::NoRoute => "no_route",
            Self::NoConfiguration => "no_configuration",
            Self::NoTarget => "no_target",
            Self::NotPlaced => "not_placed",
            Self::Full => "full",
            Self::CrashesTargets => "crashes_targets",
            Self::BudgetSpent => "budget_spent",
            Self::Late => "late",
            Self::Unanswered => "unanswered",
            Self::AnswerLost => "answer_lost",
            Self::OutdatedVersion => "outdated_version",
            Self::BadAnswer => "bad_answer",
        }
    }

    /// Returns the status. 503 says that the request has not run and never will; 502 and 504 say
    /// nothing about that.
    const fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BodyBroke => StatusCode::BAD_REQUEST,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoConfiguration
            | Self::NoTarget
            | Self::NotPlaced
            | Self::Full
            | Self::CrashesTargets
            | Self::BudgetSpent
            | Self::Late => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unanswered => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerLost | Self::OutdatedVersion | Self::BadAnswer => StatusCode::BAD_GATEWAY,
        }
    }
}

/// An answer of this instance's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    /// When the caller should come back, if that is worth while.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) const fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Asks the caller to come back after about `pause`; callers that were refused together are
    /// spread over as much time again, since together they would meet the same refusal.
    pub(crate) fn retry_after(reason: Reason, pause: Duration) -> Self {
        Self::retry_between(reason, pause, pause * 2)
    }

    /// Asks the caller to come back at some time between two pauses.
    pub(crate) fn retry_between(reason: Reason, from: Duration, to: Duration) -> Self {
        let spread = to.saturating_sub(from).mul_f64(rand::random());
        Self {
            reason,
            retry_after: Some(from + spread),
        }
    }

    pub(crate) const fn status(self) -> StatusCode {
        self.reason.status()
    }

    pub(crate) fn into_response(self) -> Response<ReplyBody> {
        let body = Bytes::from_static(self.reason.as_str().as_bytes());
        let mut res = Response::new(ReplyBody::Own(Full::new(body)));
        *res.status_mut() = self.status();
        let headers = res.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(pause) = self.retry_after {
            let seconds = format!("{:.3}", pause.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        res
    }
}
