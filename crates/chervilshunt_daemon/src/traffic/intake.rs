//! Reads a request's body within its size and time limits.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_config::Limits;
use chervilshunt_start::{BodyIntake, BodyLimits, IntakeError};
use hyper::body::Incoming;

use super::front::read_buffer;
use super::problem::{Problem, Reason};

/// The `Retry-After` for a request that arrived too slowly, or for whose body there is no memory.
pub(super) const SLOW_RETRY: Duration = Duration::from_secs(1);

/// Reads the whole body.
///
/// # Errors
/// Returns a problem if the body is longer than the limit, arrives too slowly, is truncated, or has no room beside
/// other bodies. No target has been called at that point.
pub(crate) async fn read_body(
    bodies: &Arc<BodyIntake>,
    body: Incoming,
    limits: &Limits,
) -> Result<Bytes, Problem> {
    let body_limits = BodyLimits {
        bytes: limits.body_bytes,
        time: limits.body_timeout,
        read_buffer: read_buffer(limits),
    };
    bodies.read(body, body_limits).await.map_err(problem)
}

fn problem(error: IntakeError) -> Problem {
    let reason = match &error {
        IntakeError::TooLong { .. } => Reason::BodyTooLarge,
        IntakeError::TooSlow { .. } => Reason::BodyTooSlow,
        IntakeError::NoRoom => Reason::NoBodyRoom,
        IntakeError::Broken { .. } => Reason::BadRequest,
    };
    let is_worth_a_retry = matches!(error, IntakeError::TooSlow { .. } | IntakeError::NoRoom);
    let problem = Problem::not_run(reason, error.to_string());
    if is_worth_a_retry {
        return problem.retry_after(SLOW_RETRY);
    }
    problem
}
