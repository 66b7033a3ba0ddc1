//! Reconnection to the platform, coordinated among all watches of the process.

use std::sync::atomic::{AtomicBool, Ordering};

use chervilshunt_core::{Backoff, BackoffConfig};
use tokio::sync::Mutex;

use crate::PlatformError;

/// Allows only one watch at a time to call a platform that is unreachable.
///
/// If each watch retried independently, the calls during an outage would multiply by the number of
/// watches, and all watches would reconnect at the same moment. While the platform is reachable,
/// calls are not delayed.
#[derive(Debug)]
pub(crate) struct Reconnects {
    down: AtomicBool,
    shared_backoff: Mutex<Backoff>,
}

impl Reconnects {
    pub(crate) fn new(cfg: BackoffConfig) -> Self {
        Self {
            down: AtomicBool::new(false),
            shared_backoff: Mutex::new(Backoff::new(cfg)),
        }
    }

    /// Makes a call of a watch. During an outage, calls are made one at a time, with a backoff
    /// after each failure.
    ///
    /// `on_outage` runs before the backoff if the call fails because the platform is unreachable.
    pub(crate) async fn call<T>(
        &self,
        call: impl AsyncFnOnce() -> Result<T, PlatformError>,
        on_outage: impl AsyncFnOnce(&PlatformError),
    ) -> Result<T, PlatformError> {
        if !self.down.load(Ordering::Relaxed) {
            let result = call().await;
            match &result {
                Err(err) if is_unreachable(err) => {
                    self.down.store(true, Ordering::Relaxed);
                    on_outage(err).await;
                    self.wait().await;
                }
                _ => {}
            }
            return result;
        }
        let mut shared_backoff = self.shared_backoff.lock().await;
        let result = call().await;
        match &result {
            Err(err) if is_unreachable(err) => {
                on_outage(err).await;
                let wait = shared_backoff.next_wait(rand::random::<f64>);
                tokio::time::sleep(wait).await;
            }
            _ => {
                self.down.store(false, Ordering::Relaxed);
                shared_backoff.reset();
            }
        }
        result
    }

    async fn wait(&self) {
        let wait = self
            .shared_backoff
            .lock()
            .await
            .next_wait(rand::random::<f64>);
        tokio::time::sleep(wait).await;
    }
}

/// Returns whether the error shows that the platform is unreachable or unavailable.
///
/// Unlike [`PlatformError::is_outage`], this excludes rate limits and unknown outcomes.
pub(crate) const fn is_unreachable(err: &PlatformError) -> bool {
    matches!(
        err,
        PlatformError::Unavailable { .. } | PlatformError::Timeout { .. }
    )
}
