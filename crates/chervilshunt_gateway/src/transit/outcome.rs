//! Why an instance has not passed on an answer of a target.

use http::{HeaderMap, HeaderValue, StatusCode};

use super::header::OUTCOME;

/// Why an instance that was to pass on a request has no answer of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransitOutcome {
    /// The ticket is missing, or this process has not issued it.
    NoTicket,
    /// The request can't be read.
    Malformed,
    /// The instance is shutting down.
    Stopping,
    /// The instance passes on as many requests as it can.
    Busy,
    /// The instance does not reach the target's service either.
    CutOff,
    /// The target is not known, or is leaving.
    NoTarget,
    /// The target accepts no connection.
    Unreachable,
    /// The request's time ran out before it was sent.
    Late,
    /// The request was sent and may have run, and its answer is lost.
    AnswerLost,
}

impl TransitOutcome {
    const ALL: [Self; 9] = [
        Self::NoTicket,
        Self::Malformed,
        Self::Stopping,
        Self::Busy,
        Self::CutOff,
        Self::NoTarget,
        Self::Unreachable,
        Self::Late,
        Self::AnswerLost,
    ];

    /// Returns the name used in the header, in logs and in metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NoTicket => "no_ticket",
            Self::Malformed => "malformed",
            Self::Stopping => "stopping",
            Self::Busy => "busy",
            Self::CutOff => "cut_off",
            Self::NoTarget => "no_target",
            Self::Unreachable => "unreachable",
            Self::Late => "late",
            Self::AnswerLost => "answer_lost",
        }
    }

    /// Returns the outcome that the head of an answer states; `None` if it is a target's answer.
    /// An unknown outcome, of a newer version, may mean anything, also that the request has run.
    pub(crate) fn of(headers: &HeaderMap) -> Option<Self> {
        let stated = headers.get(OUTCOME)?;
        let known = Self::ALL.into_iter();
        let known = known.filter(|it| stated.as_bytes() == it.as_str().as_bytes());
        Some(known.last().unwrap_or(Self::AnswerLost))
    }

    /// Returns the head of the answer that states this outcome.
    pub(super) fn head(self) -> (StatusCode, HeaderValue) {
        let status = match self {
            Self::NoTicket => StatusCode::FORBIDDEN,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::Stopping
            | Self::Busy
            | Self::CutOff
            | Self::NoTarget
            | Self::Unreachable
            | Self::Late => StatusCode::SERVICE_UNAVAILABLE,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
        };
        (status, HeaderValue::from_static(self.as_str()))
    }

    /// Returns whether the instance passes on no request now, whatever its target.
    pub(crate) const fn closes_route(self) -> bool {
        matches!(
            self,
            Self::NoTicket | Self::Stopping | Self::Busy | Self::CutOff
        )
    }

    /// Returns whether the request may have run.
    pub(crate) const fn may_have_run(self) -> bool {
        matches!(self, Self::AnswerLost)
    }
}
