//! The process's monotonic clock as [`Moment`]s, the time type of the decision logic.

use chervilshunt_model::{Clock, Moment};

/// Returns the current time.
pub(crate) fn now() -> Moment {
    Clock::boot().now()
}

/// Sleeps until the given time.
pub(crate) async fn sleep_until(moment: Moment) {
    tokio::time::sleep(now().until(moment)).await;
}
