//! What an answer, or the lack of one, says about a call.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, StatusCode, header};

use crate::PlatformError;
use crate::accounting::Verb;
use crate::wire::Status;

/// Reads the failure of a call from an answer that is no success: its name, what it does, and the
/// answer's status, headers and body.
pub type FailureReader = fn(&Arc<str>, Verb, StatusCode, &HeaderMap, &[u8]) -> PlatformError;

/// Turns an answer that is no success into the error that it stands for.
///
/// A write that is answered with 5xx has an unknown outcome. Kubernetes' API server answers
/// 500 and 504 also when its store did not tell in time whether a write took effect, and a
/// balancer before it answers 503 when it lost the connection after the write was sent.
pub(crate) fn failure(
    call: &Arc<str>,
    verb: Verb,
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
) -> PlatformError {
    let call = Arc::clone(call);
    let told: Status = serde_json::from_slice(body).unwrap_or_default();
    let message = || -> Arc<str> { format!("{status}: {}", told.message).into() };
    match status {
        StatusCode::NOT_FOUND => PlatformError::NotFound { call },
        StatusCode::CONFLICT if told.reason == "AlreadyExists" => {
            PlatformError::AlreadyExists { call }
        }
        StatusCode::CONFLICT => PlatformError::Conflict { call },
        StatusCode::GONE => PlatformError::Expired { call },
        StatusCode::TOO_MANY_REQUESTS => PlatformError::RateLimited {
            call,
            retry_after: retry_after(headers),
        },
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => PlatformError::Denied {
            call,
            message: message(),
        },
        status if status.is_server_error() && verb.writes() => PlatformError::OutcomeUnknown {
            call,
            cause: message(),
        },
        status if status.is_server_error() => PlatformError::Unavailable {
            call,
            cause: message(),
        },
        _ => PlatformError::Invalid {
            call,
            problem: message(),
        },
    }
}

/// Returns the error of a call that was sent, at least in part, and whose answer was lost.
pub(crate) fn lost(call: &Arc<str>, verb: Verb, cause: impl Into<Arc<str>>) -> PlatformError {
    let call = Arc::clone(call);
    let cause = cause.into();
    if verb.writes() {
        PlatformError::OutcomeUnknown { call, cause }
    } else {
        PlatformError::Unavailable { call, cause }
    }
}

/// Returns the error of a call that was sent and went unanswered for too long.
pub(crate) fn timed_out(call: &Arc<str>, verb: Verb) -> PlatformError {
    let call = Arc::clone(call);
    if verb.writes() {
        PlatformError::OutcomeUnknown {
            call,
            cause: "no answer in time".into(),
        }
    } else {
        PlatformError::Timeout { call }
    }
}

/// Says whether the same call may be made again: it was not applied, and may work later.
pub(crate) const fn may_retry(err: &PlatformError) -> bool {
    match err {
        PlatformError::Unavailable { .. }
        | PlatformError::RateLimited { .. }
        | PlatformError::Timeout { .. } => true,
        PlatformError::Conflict { .. }
        | PlatformError::AlreadyExists { .. }
        | PlatformError::NotFound { .. }
        | PlatformError::Expired { .. }
        | PlatformError::OutcomeUnknown { .. }
        | PlatformError::Denied { .. }
        | PlatformError::Invalid { .. } => false,
    }
}

/// Returns the seconds of a `Retry-After`, which may be a fraction; a date is left aside.
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
