//! The bound on calls a second, beyond which the platform turns them away.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The calls of the last second.
#[derive(Debug, Default)]
pub(crate) struct RateWindow(VecDeque<Instant>);

impl RateWindow {
    /// Says whether one more call fits under `per_second`; 0 is no bound.
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
