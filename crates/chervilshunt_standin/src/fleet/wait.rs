//! Polling with a time limit.

use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

/// Interval between two polls.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `poll` until it returns a value, for at most `bound`.
///
/// Returns `None` if the time limit is exceeded.
pub async fn wait_until<T, F, Fut>(bound: Duration, mut poll: F) -> Option<T>
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let end = Instant::now() + bound;
    loop {
        if let Some(found) = poll().await {
            return Some(found);
        }
        if Instant::now() >= end {
            return None;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
