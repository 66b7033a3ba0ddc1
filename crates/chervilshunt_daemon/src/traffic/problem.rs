//! Refusals as problem documents (RFC 9457), each of which says whether the request ran.

#[cfg(test)]
mod tests;

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_core::RefusalReason;
use chervilshunt_model::RequestId;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// What a caller may conclude from a refusal.
///
/// `NotRun` is a promise: it may be said only as long as no byte of the call can have left for a
/// target. See `docs/design/request-path.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// Nothing ran and nothing will.
    NotRun,
    /// The call may have run.
    Unknown,
    /// The answer broke off after its beginning.
    CutShort,
}

impl Outcome {
    /// Returns the name that documents, logs and metrics use.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::CutShort => "cut_short",
        }
    }
}

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Reason {
    /// The request itself can't be understood.
    BadRequest,
    /// The adapter or version does not exist.
    UnknownModel,
    /// The service does not exist.
    UnknownService,
    /// There is nothing at the path.
    UnknownPath,
    /// The path does not take the method.
    BadMethod,
    /// The head did not arrive in time.
    HeadTooSlow,
    /// The body is over its limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The instance may not take new work, since it can't tell whether its configuration is in
    /// force.
    NotReady,
    /// The instance has as many open requests as it may have.
    TooManyRequests,
    /// The owner refused.
    Owner(RefusalReason),
    /// No owner of a suitable target could be reached.
    NoOwner,
    /// No target could be reached.
    NoTarget,
    /// The target failed when the call may have reached it.
    TargetFailed,
    /// The target took the call and did not answer in time.
    TargetTimeout,
    /// The target said no.
    TargetRefused,
    /// The answer named another model.
    WrongModel,
    /// The answer broke off.
    BrokenOff,
    /// A request with this idempotency key runs.
    KeyInProgress,
    /// A request with this idempotency key has run, or may have.
    KeyUsed,
    /// The idempotency key was used for another request.
    KeyMismatch,
    /// Claims can't be recorded now.
    ClaimUnavailable,
}

impl Reason {
    /// Returns the name that documents, logs and metrics use.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::UnknownModel => "unknown_model",
            Self::UnknownService => "unknown_service",
            Self::UnknownPath => "unknown_path",
            Self::BadMethod => "bad_method",
            Self::HeadTooSlow => "head_too_slow",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::NotReady => "not_ready",
            Self::TooManyRequests => "too_many_requests",
            Self::Owner(reason) => reason.as_str(),
            Self::NoOwner => "no_owner",
            Self::NoTarget => "no_target",
            Self::TargetFailed => "target_failed",
            Self::TargetTimeout => "target_timeout",
            Self::TargetRefused => "target_refused",
            Self::WrongModel => "wrong_model",
            Self::BrokenOff => "broken_off",
            Self::KeyInProgress => "key_in_progress",
            Self::KeyUsed => "key_used",
            Self::KeyMismatch => "key_mismatch",
            Self::ClaimUnavailable => "claim_unavailable",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownModel | Self::UnknownService | Self::UnknownPath => StatusCode::NOT_FOUND,
            Self::BadMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooSlow | Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::TooManyRequests => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady | Self::NoOwner | Self::NoTarget | Self::ClaimUnavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Owner(reason) => match reason {
                RefusalReason::QueueFull => StatusCode::TOO_MANY_REQUESTS,
                RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
                RefusalReason::LoadFailed
                | RefusalReason::Draining
                | RefusalReason::NotOwner
                | RefusalReason::TargetDown
                | RefusalReason::TargetFailing => StatusCode::SERVICE_UNAVAILABLE,
            },
            // draft-ietf-httpapi-idempotency-key-header, section 2.7.
            Self::KeyInProgress | Self::KeyUsed => StatusCode::CONFLICT,
            Self::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::TargetTimeout => StatusCode::GATEWAY_TIMEOUT,
            Self::TargetFailed | Self::TargetRefused | Self::WrongModel | Self::BrokenOff => {
                StatusCode::BAD_GATEWAY
            }
        }
    }
}

/// One refusal, to be rendered for the caller.
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    /// What the caller may conclude.
    pub(crate) outcome: Outcome,
    /// Why.
    pub(crate) reason: Reason,
    /// What happened and what the caller can do, in a sentence.
    pub(crate) detail: String,
    /// When asking again is worth it.
    pub(crate) retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Document<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
    reason: &'a str,
    request_id: &'a str,
}

impl Problem {
    /// Makes a refusal of a request that has not run.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Makes a failure of a request that may have run.
    pub(crate) fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Makes the end of an answer that broke off.
    pub(crate) fn cut_short(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::CutShort,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Says when asking again is worth it.
    #[must_use]
    pub(crate) fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns what the caller is told when the last of several tries ends with this.
    ///
    /// A try that may have run stays true whatever became of those after it: when a retry was
    /// refused, the caller was told "not run" of a request that a target had run. So the earlier
    /// problem is told, with the time that the later one names for coming back.
    #[must_use]
    pub(crate) fn after(self, earlier: Option<Self>) -> Self {
        match (self.outcome, earlier) {
            (Outcome::NotRun, Some(earlier)) => Self {
                retry_after: self.retry_after.or(earlier.retry_after),
                ..earlier
            },
            (Outcome::NotRun | Outcome::Unknown | Outcome::CutShort, _) => self,
        }
    }

    /// Renders the document's JSON.
    pub(crate) fn to_json(&self, request: &RequestId) -> Bytes {
        let reason = self.reason.as_str();
        let status = self.reason.status();
        let document = Document {
            r#type: format!("/problems/{reason}"),
            title: status.canonical_reason().unwrap_or("Error"),
            status: status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome,
            reason,
            request_id: request.as_str(),
        };
        serde_json::to_vec(&document).unwrap_or_default().into()
    }

    /// Renders the whole answer.
    pub(crate) fn to_response(&self, request: &RequestId) -> Response<Bytes> {
        let mut res = Response::new(self.to_json(request));
        *res.status_mut() = self.reason.status();
        let headers = res.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(after) = self.retry_after {
            // Whole seconds, rounded up: coming back earlier would meet the same refusal.
            let seconds = after.as_secs_f64().ceil().max(1.0);
            if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.0}")) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        res
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ({}): {}",
            self.reason.as_str(),
            self.outcome.as_str(),
            self.detail
        )
    }
}
