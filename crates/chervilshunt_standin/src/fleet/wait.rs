//! Bounded waits.

use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

/// How long to wait between two looks.
pub(crate) const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Looks again and again until `look` finds something, for at most `bound`.
///
/// Returns nothing if the time ran out.
pub async fn wait_until<T, F, Fut>(bound: Duration, mut look: F) -> Option<T>
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let end = Instant::now() + bound;
    loop {
        if let Some(found) = look().await {
            return Some(found);
        }
        if Instant::now() >= end {
            return None;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
