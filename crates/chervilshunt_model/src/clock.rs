//! The clock that beliefs age by.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::Moment;

/// Reads the time since the machine was booted, suspension included.
///
/// `std::time::Instant` stands still while a machine is suspended. A lease that ran out meanwhile
/// would look alive after it: the process would go on giving orders while its successor gives them
/// too. The boot clock counts that time, so that whatever was learnt before a suspension is as old
/// as it really is. The time of day is no substitute, since it jumps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    read: fn() -> Duration,
}

impl Clock {
    /// Returns the clock of this machine.
    pub const fn boot() -> Self {
        Self { read: boot_time }
    }

    /// Returns a clock that reads time from `read`, for tests that suspend a machine.
    pub const fn from_reading(read: fn() -> Duration) -> Self {
        Self { read }
    }

    /// Returns the present time.
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
