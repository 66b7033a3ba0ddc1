//! The clock type of every deciding function.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on one process's monotonic clock, in microseconds since an origin of its own.
///
/// Moments of two processes can't be compared: what crosses the network is a duration. It is a
/// type of its own rather than `std::time::Instant`, so that tests and the policy bench can make
/// any point in time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(u64);

impl Moment {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the point that lies `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the point that lies `millis` milliseconds after the origin.
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

    /// Returns the time since `earlier`, or zero if `earlier` lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time from here until `later`, or zero if `later` has passed.
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
