//! Reads a request's body within its limits.

use std::time::Duration;

use bytes::Bytes;
use chervilshunt_start::{BodyLimits, IntakeError};
use hyper::body::Incoming;

use super::refusal::{Reason, Refusal};
use crate::shared::Shared;

/// Timeout of a body: well above what a body of the longest allowed length takes on the slowest
/// link, and below the time for which callers wait.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// The shortest `Retry-After` of a request for whose body there is no memory.
const ROOM_RETRY: Duration = Duration::from_millis(500);

/// Reads the whole body, so that it can be sent more than once.
pub(crate) async fn read_body(
    shared: &Shared,
    body: Incoming,
    limit: usize,
    read_buffer: usize,
) -> Result<Bytes, Refusal> {
    let limits = BodyLimits {
        bytes: limit,
        time: BODY_TIMEOUT,
        read_buffer,
    };
    let read = shared.bodies.read(body, limits).await;
    read.map_err(|error| match error {
        IntakeError::TooLong { .. } => Refusal::new(Reason::TooLong),
        IntakeError::TooSlow { .. } => Refusal::new(Reason::BodySlow),
        IntakeError::Broken { .. } => Refusal::new(Reason::BodyBroke),
        IntakeError::NoRoom => Refusal::retry_after(Reason::NoBodyRoom, ROOM_RETRY),
    })
}
