//! Whether a target's answer may be passed on, judged by its head.

use chervilshunt_model::TargetName;
use http::response::Parts;
use http::{HeaderName, StatusCode, header};

use crate::dialect::Headers;

/// What an answer's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is the target's answer to this request.
    PassOn,
    /// The target has no room for it, and has not run it.
    Full,
    /// The target does not hold the weights, or not in that version, and has not run it.
    NotHeld,
    /// Another target has the address by now, and has not run it.
    OtherTarget,
    /// The target has run it, or may have, and the answer can't be passed on: it failed in a way
    /// that reads as a promise that it has not, or is not signed.
    Failed,
    /// It belongs to another request.
    Crossed,
}

/// Judges the head of a target's answer to a request; `again` says whether another target may run it.
pub(crate) fn judge(
    names: &Headers,
    request: &str,
    target: &TargetName,
    head: &Parts,
    again: bool,
) -> Verdict {
    let text = |name: &HeaderName| head.headers.get(name).and_then(|it| it.to_str().ok());
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return match text(&names.target) {
            Some(other) if other != target.as_str() => Verdict::OtherTarget,
            _ => Verdict::NotHeld,
        };
    }
    if text(&names.request_id).is_some_and(|id| id != request) {
        return Verdict::Crossed;
    }
    if head.headers.contains_key(&names.not_run) {
        return Verdict::Full;
    }
    let sealed = head.headers.contains_key(&names.seal);
    let encoded = head.headers.contains_key(header::CONTENT_ENCODING);
    if head.status.is_success() {
        return if sealed && !encoded {
            Verdict::PassOn
        } else {
            Verdict::Failed
        };
    }
    // These statuses promise that the request has not run, which only the target's own header does.
    let promises = matches!(
        head.status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
    );
    if promises || (head.status.is_server_error() && again) {
        return Verdict::Failed;
    }
    Verdict::PassOn
}
