//! The process's monotonic clock, read at the edge and passed to every deciding function.

use std::time::Instant;

use chervilshunt_model::Moment;

/// Counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    /// Starts at zero.
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the present time.
    pub(crate) fn now(self) -> Moment {
        Moment::from_micros(u64::try_from(self.0.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
