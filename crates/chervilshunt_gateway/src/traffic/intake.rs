//! Reads a request's body within its limits.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::refusal::{Reason, Refusal};

/// Timeout of a body: well above what a body of the longest allowed length takes on the slowest
/// link, and below the time for which callers wait.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the whole body, so that it can be sent more than once.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let collected = Limited::new(body, limit).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::new(Reason::TooLong)),
        Ok(Err(_)) | Err(_) => Err(Refusal::new(Reason::BodyBroke)),
    }
}
