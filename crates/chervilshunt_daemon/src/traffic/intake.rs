//! Reads a request's body within its size and time limits.

use std::time::Duration;

use bytes::Bytes;
use chervilshunt_config::Limits;
use http::header;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use super::problem::{Problem, Reason};

/// The `Retry-After` for a request that arrived too slowly.
pub(super) const SLOW_RETRY: Duration = Duration::from_secs(1);

/// Reads the whole body.
///
/// # Errors
/// Returns a problem if the body is longer than the limit, arrives too slowly, or is truncated. No
/// target has been called at that point.
pub(crate) async fn read_body(
    headers: &http::HeaderMap,
    body: Incoming,
    limits: &Limits,
) -> Result<Bytes, Problem> {
    let announced = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<u64>().ok())
        .or_else(|| body.size_hint().exact());
    let limit = limits.body_bytes;
    if announced.is_some_and(|length| length > limit as u64) {
        return Err(too_large(limit));
    }
    let collected = Limited::new(body, limit).collect();
    match tokio::time::timeout(limits.body_timeout, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(limit)),
        Ok(Err(error)) => Err(Problem::not_run(
            Reason::BadRequest,
            format!("the body could not be read: {error}"),
        )),
        Err(_elapsed) => Err(Problem::not_run(
            Reason::BodyTooSlow,
            format!(
                "the body must arrive within {} s",
                limits.body_timeout.as_secs_f64()
            ),
        )
        .retry_after(SLOW_RETRY)),
    }
}

fn too_large(limit: usize) -> Problem {
    Problem::not_run(
        Reason::BodyTooLarge,
        format!("the body may have at most {limit} bytes"),
    )
}
