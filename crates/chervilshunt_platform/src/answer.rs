//! Maps error responses, lost responses and time-outs to [`PlatformError`].

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, StatusCode, header};

use crate::PlatformError;
use crate::accounting::Verb;
use crate::wire::Status;

/// Maps an error response to a [`PlatformError`].
///
/// The arguments are the call's label and verb, and the response's status, headers and body.
pub type FailureReader = fn(&Arc<str>, Verb, StatusCode, &HeaderMap, &[u8]) -> PlatformError;

/// Maps an error response of the object API to a [`PlatformError`].
///
/// The outcome of a write that fails with a 5xx status is unknown. The Kubernetes API server
/// returns 500 and 504 also when its store did not confirm a write in time, and a load balancer
/// in front of it returns 503 when it loses the connection after sending the write.
pub(crate) fn failure(
    call: &Arc<str>,
    verb: Verb,
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
) -> PlatformError {
    let call = Arc::clone(call);
    let reported: Status = serde_json::from_slice(body).unwrap_or_default();
    let message = || -> Arc<str> { format!("{status}: {}", reported.message).into() };
    match status {
        StatusCode::NOT_FOUND => PlatformError::NotFound { call },
        StatusCode::CONFLICT if reported.reason == "AlreadyExists" => {
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

/// Returns the error for a call that was at least partly sent and whose response was lost.
pub(crate) fn lost(call: &Arc<str>, verb: Verb, cause: impl Into<Arc<str>>) -> PlatformError {
    let call = Arc::clone(call);
    let cause = cause.into();
    if verb.writes() {
        PlatformError::OutcomeUnknown { call, cause }
    } else {
        PlatformError::Unavailable { call, cause }
    }
}

/// Returns the error for a call that was sent and got no response within the time limit.
pub(crate) fn timed_out(call: &Arc<str>, verb: Verb) -> PlatformError {
    let call = Arc::clone(call);
    if verb.writes() {
        PlatformError::OutcomeUnknown {
            call,
            cause: "no response within the time limit".into(),
        }
    } else {
        PlatformError::Timeout { call }
    }
}

/// Returns whether the call may be retried: it changed nothing, and a retry may succeed.
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

/// Parses the `Retry-After` header as seconds, which may be fractional. HTTP dates are ignored.
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
