//! Retries, rate limits and circuit breaking.
//!
//! No part reads a clock or a random source: the current time and random numbers are arguments. The
//! platform client and the calls to targets share this code. See `docs/design/platform-client.md`.

mod backoff;
mod breaker;
mod budget;
mod token_bucket;

pub use backoff::{Backoff, BackoffConfig};
pub use breaker::{
    Admission, Breaker, BreakerConfig, BreakerState, BreakerTicket, BreakerTransition, CallOutcome,
};
pub use budget::{RetryBudget, RetryBudgetConfig};
pub use token_bucket::TokenBucket;
