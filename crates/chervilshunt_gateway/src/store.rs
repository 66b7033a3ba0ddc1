//! Calls to the platform's service, whose answers tell in which era they were given.

use std::time::Duration;

use bytes::Bytes;
use chervilshunt_platform::{Call, Exchange, PlatformError, Timeouts};

use crate::dialect::StoreDialect;

/// An answer of the platform's service.
#[derive(Clone, Debug)]
pub(crate) struct StoreAnswer {
    /// The era in which it was given; an answer that was held up may be of an earlier one than another.
    pub(crate) era: u64,
    pub(crate) body: Bytes,
}

/// Makes one try of a call, within a time.
pub(crate) async fn call_once(
    exchange: &Exchange,
    dialect: &StoreDialect,
    call: &Call,
    within: Duration,
) -> Result<StoreAnswer, PlatformError> {
    let timeouts = Timeouts {
        attempt: within,
        call: within,
        max_attempts: 1,
        ..exchange.config().timeouts
    };
    let answer = exchange.call_for_response(call, timeouts).await?;
    Ok(StoreAnswer {
        era: (dialect.era)(answer.headers()),
        body: answer.into_body(),
    })
}
