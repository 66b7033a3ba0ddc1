//! Calls to the platform's object service. Each answer carries the era in which it was given.

use std::time::Duration;

use bytes::Bytes;
use chervilshunt_platform::{Call, Exchange, PlatformError, Timeouts};

use crate::dialect::StoreDialect;

/// An answer of the platform's object service.
#[derive(Clone, Debug)]
pub(crate) struct StoreAnswer {
    /// The era in which it was given; a delayed answer may be from an earlier era than other
    /// answers.
    pub(crate) era: u64,
    pub(crate) body: Bytes,
}

/// Makes one attempt of a call, with a timeout.
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
