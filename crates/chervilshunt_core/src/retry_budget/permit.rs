//! A retry that is allowed and has not been sent yet.

use std::time::Duration;

use chervilshunt_model::Moment;

/// A retry that the accounts count as made when it was decided on.
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
}
