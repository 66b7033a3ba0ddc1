//! Parses refusals and checks that they have the documented form.

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use serde::Deserialize;

use super::verdict::{Outcome, Refusal, Violation, ViolationKind};

/// A problem document (RFC 9457) with the fields that `docs/INTERFACES.md` specifies.
#[derive(Debug, Deserialize)]
struct Problem {
    r#type: String,
    title: String,
    status: u16,
    detail: String,
    outcome: Outcome,
    reason: Arc<str>,
    request_id: Arc<str>,
}

/// Parses a refusal from the head and body of a response.
pub(crate) fn read_refusal(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
    request_id: &str,
) -> Result<Refusal, Violation> {
    let kind = headers
        .get(CONTENT_TYPE)
        .and_then(|kind| kind.to_str().ok())
        .unwrap_or_default();
    if kind != "application/problem+json" {
        return Err(malformed(format!(
            "status {status} with content type {kind:?}"
        )));
    }
    let mut refusal = read_problem(body, request_id)?;
    if refusal.status != status.as_u16() {
        let said = refusal.status;
        return Err(malformed(format!(
            "status {status}, the problem document has status {said}"
        )));
    }
    refusal.retry_after = retry_after(headers)?;
    let ask_again = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    if ask_again && refusal.outcome == Outcome::NotRun && refusal.retry_after.is_none() {
        return Err(malformed(format!("status {status} without Retry-After")));
    }
    Ok(refusal)
}

/// Parses a problem document: the body of a refusal or the last event of an aborted stream.
pub(crate) fn read_problem(body: &[u8], request_id: &str) -> Result<Refusal, Violation> {
    let problem: Problem = serde_json::from_slice(body).map_err(|error| {
        let shown = String::from_utf8_lossy(body);
        malformed(format!("invalid problem document ({error}): {shown}"))
    })?;
    if problem.r#type.is_empty() || problem.title.is_empty() {
        return Err(malformed(
            "problem document without type or title".to_owned(),
        ));
    }
    if *problem.request_id != *request_id {
        let detail = format!("refusal belongs to request {}", problem.request_id);
        return Err(Violation::new(ViolationKind::WrongRequest, detail));
    }
    Ok(Refusal {
        outcome: problem.outcome,
        status: problem.status,
        reason: problem.reason,
        detail: problem.detail,
        retry_after: None,
    })
}

fn retry_after(headers: &HeaderMap) -> Result<Option<Duration>, Violation> {
    let Some(value) = headers.get(RETRY_AFTER) else {
        return Ok(None);
    };
    let seconds = value.to_str().ok().and_then(|text| text.parse().ok());
    let seconds = seconds.ok_or_else(|| malformed(format!("Retry-After: {value:?}")))?;
    Ok(Some(Duration::from_secs(seconds)))
}

fn malformed(detail: String) -> Violation {
    Violation::new(ViolationKind::Malformed, detail)
}
