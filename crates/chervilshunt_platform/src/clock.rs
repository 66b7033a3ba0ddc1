//! The process's clock, as the deciding parts know time.

use chervilshunt_model::{Clock, Moment};

/// Returns the present time.
pub(crate) fn now() -> Moment {
    Clock::boot().now()
}

/// Waits until a moment.
pub(crate) async fn sleep_until(moment: Moment) {
    tokio::time::sleep(now().until(moment)).await;
}
