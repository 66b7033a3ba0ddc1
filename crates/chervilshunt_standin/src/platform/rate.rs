//! Rate limit for calls to the platform.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// A sliding window with the times of the calls admitted in the last second.
#[derive(Debug, Default)]
pub(crate) struct RateWindow(VecDeque<Instant>);

impl RateWindow {
    /// Returns whether one more call is within `per_second`, and counts it if so. A limit of 0
    /// admits every call.
    pub(crate) fn admits(&mut self, per_second: u32, now: Instant) -> bool {
        if per_second == 0 {
            return true;
        }
        while self
            .0
            .front()
            .is_some_and(|at| now.duration_since(*at) >= Duration::from_secs(1))
        {
            self.0.pop_front();
        }
        let admitted = self.0.len() < usize::try_from(per_second).unwrap_or(usize::MAX);
        if admitted {
            self.0.push_back(now);
        }
        admitted
    }
}
