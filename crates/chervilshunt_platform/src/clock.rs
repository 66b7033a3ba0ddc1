//! The process's clock, as the deciding parts know time.

use std::sync::LazyLock;
use std::time::Instant;

use chervilshunt_model::Moment;

static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the present time.
pub(crate) fn now() -> Moment {
    let elapsed = ORIGIN.elapsed().as_micros();
    Moment::from_micros(u64::try_from(elapsed).unwrap_or(u64::MAX))
}

/// Waits until a moment.
pub(crate) async fn sleep_until(moment: Moment) {
    tokio::time::sleep(now().until(moment)).await;
}
