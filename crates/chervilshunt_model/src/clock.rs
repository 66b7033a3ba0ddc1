//! The clock for expiry times and the age of observations.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::Moment;

/// A clock that reads the time since the machine was booted, including time spent suspended.
///
/// `std::time::Instant` does not advance while a machine is suspended. A lease that expired during
/// the suspension would still look valid afterwards, and the process would continue to send orders
/// while its successor does so too. The boot clock includes the suspension, so observations made
/// before it get their actual age. The wall clock is not suitable because it can jump.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    read: fn() -> Duration,
}

impl Clock {
    /// Returns the clock of this machine.
    pub const fn boot() -> Self {
        Self { read: boot_time }
    }

    /// Returns a clock that reads the time from `read`, for tests that simulate a suspension.
    pub const fn from_reading(read: fn() -> Duration) -> Self {
        Self { read }
    }

    /// Returns the current time.
    pub fn now(self) -> Moment {
        Moment::ZERO + (self.read)()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::boot()
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
