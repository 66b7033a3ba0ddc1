//! A retry that is allowed and has not been sent yet.

use std::time::Duration;

use chervilshunt_model::Moment;

use super::TRANSIT;

/// Part of the transit time that is left for the way to the target after the request has been written.
const DELIVERY_TIME: Duration = Duration::from_millis(50);

/// The account that a retry is taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySource {
    /// What the instance's own requests earn.
    Earned,
    /// The allowance, as granted by a placer.
    Granted {
        /// The number of the placer's ledger.
        ledger: u64,
    },
}

/// A retry that the accounts count from its decision on.
///
/// One that waits takes a place that another request could use, so it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPermit {
    decided_at: Moment,
}

impl RetryPermit {
    /// Creates the permit of a retry that was decided on, or asked for, at a moment.
    pub const fn new(decided_at: Moment) -> Self {
        Self { decided_at }
    }

    /// Returns how long ago the retry was decided on.
    pub fn age(self, now: Moment) -> Duration {
        now.since(self.decided_at)
    }

    /// Returns for how long the retry may still be sent; zero if it has expired.
    pub fn time_left(self, now: Moment) -> Duration {
        let sendable = TRANSIT.saturating_sub(DELIVERY_TIME);
        sendable.saturating_sub(self.age(now))
    }
}
