//! The time type of the decision logic.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time on a process's monotonic clock, in microseconds since the origin of that clock.
///
/// Moments of different processes can't be compared, so messages between instances contain
/// durations instead. Unlike `std::time::Instant`, a moment can be created from a number, which
/// lets tests and the policy benchmark simulate any point in time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(u64);

impl Moment {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a moment from the number of microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a moment from the number of milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the origin, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this moment.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time from this moment until `later`, or zero if `later` is in the past.
    pub const fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
