//! The bound on retries that all instances together make for a service in any window of time.
//!
//! An instance earns retries with its callers' requests, whatever others do. What is allowed
//! regardless of requests is granted by the placer, which keeps the account for all instances. See
//! `docs/design/retry-bound.md`.

mod counted;
mod counts;
mod earned;
mod instance;
mod ledger;
mod permit;

use std::time::Duration;

pub use earned::{EarnedRetries, EarnedUsage};
pub use instance::{InstanceRetries, ServiceRetries, SettledRetries};
pub use ledger::{AllowanceUsage, RetryGrant, RetryLedger};
pub use permit::{RetryPermit, RetrySource};

/// Longest time from the decision on a retry until it is sent, and from the sending of a request to the time at
/// which an instance counts it.
const TRANSIT: Duration = Duration::from_millis(500);

/// Limits on the attempts beyond the first one per request of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBoundConfig {
    /// The length of the sliding window in which attempts are counted.
    pub window: Duration,
    /// The number of extra attempts allowed per request in the window.
    pub ratio: f64,
    /// The number of extra attempts allowed in a window regardless of the number of requests,
    /// shared by all instances.
    pub allowance: f64,
}

impl Default for RetryBoundConfig {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            ratio: 0.2,
            allowance: 10.0,
        }
    }
}
