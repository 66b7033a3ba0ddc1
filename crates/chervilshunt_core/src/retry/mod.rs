//! When to call again, when to wait, and when not to call: retries, rates and circuit breaking.
//!
//! Each part decides without a clock or random source of its own: the present time and a random
//! number are arguments. The client of the platform and the calls to targets share them. See
//! `docs/design/platform-client.md`.

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
