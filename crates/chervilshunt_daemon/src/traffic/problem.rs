//! Problem documents (RFC 9457) for refused and failed requests; each states whether the request
//! ran.

#[cfg(test)]
mod tests;

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_core::RefusalReason;
use chervilshunt_model::RequestId;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// Whether a refused or failed request has run.
///
/// `NotRun` is a guarantee: it may only be given if no byte of the call can have been sent to a
/// target, or if the target is known not to have run it. See `docs/design/request-path.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The answer was interrupted after a part of it had been relayed.
    CutShort,
}

impl Outcome {
    /// Returns the name that is used in problem documents, logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::CutShort => "cut_short",
        }
    }
}

/// The reason why a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The adapter or version does not exist.
    UnknownModel,
    /// The service does not exist.
    UnknownService,
    /// The path does not exist.
    UnknownPath,
    /// The path does not support the method.
    BadMethod,
    /// The request head did not arrive in time.
    HeadTooSlow,
    /// The request body is larger than the limit.
    BodyTooLarge,
    /// The request body did not arrive in time.
    BodyTooSlow,
    /// There is no memory for the request body beside others.
    NoBodyRoom,
    /// The instance may not accept new work, because it can't determine whether its configuration
    /// is in force.
    NotReady,
    /// The instance has reached its limit of open requests.
    TooManyRequests,
    /// The target's owner refused the request.
    Owner(RefusalReason),
    /// No owner of a suitable target could be reached.
    NoOwner,
    /// No target could be reached.
    NoTarget,
    /// The call failed after it may have reached the target.
    TargetFailed,
    /// The target accepted the call and did not answer in time.
    TargetTimeout,
    /// The target refused the call.
    TargetRefused,
    /// The answer came from another model than the requested one.
    WrongModel,
    /// The answer was interrupted.
    BrokenOff,
    /// A request with this idempotency key is running.
    KeyInProgress,
    /// A request with this idempotency key has run, or may have.
    KeyUsed,
    /// The idempotency key was used for another request.
    KeyMismatch,
    /// The claim of the idempotency key can't be recorded now.
    ClaimUnavailable,
}

impl Reason {
    /// Returns the name that is used in problem documents, logs and metrics.
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
            Self::NoBodyRoom => "no_body_room",
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
            Self::NoBodyRoom
            | Self::NotReady
            | Self::NoOwner
            | Self::NoTarget
            | Self::ClaimUnavailable => StatusCode::SERVICE_UNAVAILABLE,
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

/// A refusal or failure of a request, which is rendered for the caller.
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    /// Whether the request has run.
    pub(crate) outcome: Outcome,
    /// The reason.
    pub(crate) reason: Reason,
    /// A sentence on what happened and what the caller can do.
    pub(crate) detail: String,
    /// The time after which a retry may succeed.
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
    /// Creates a problem for a request that has not run.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates a problem for a request that may have run.
    pub(crate) fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates a problem for an answer that was interrupted.
    pub(crate) fn cut_short(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::CutShort,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub(crate) fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the problem to report if the last of several attempts ended with this one and
    /// `earlier` is that of an attempt that may have run.
    ///
    /// A later attempt that did not run does not undo an earlier one that may have: reporting only
    /// the last attempt would answer "not run" for a request that a target had run. In that case
    /// the earlier problem is returned, with the retry time of the later one if it has one.
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

    /// Renders the problem document as JSON.
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

    /// Renders the whole response.
    pub(crate) fn to_response(&self, request: &RequestId) -> Response<Bytes> {
        let mut res = Response::new(self.to_json(request));
        *res.status_mut() = self.reason.status();
        let headers = res.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(after) = self.retry_after {
            // Whole seconds, rounded up: an earlier retry would be refused again.
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
