//! One way back to the platform for all watches of the process.

use std::sync::atomic::{AtomicBool, Ordering};

use chervilshunt_core::{Backoff, BackoffConfig};
use tokio::sync::Mutex;

use crate::PlatformError;

/// Lets only one watch at a time try to reach a platform that is down.
///
/// Each watch trying on its own would multiply the calls of an outage by the number of watches,
/// and bring all of them back in the same moment. While the platform answers, nothing waits here.
#[derive(Debug)]
pub(crate) struct Reconnects {
    down: AtomicBool,
    turn: Mutex<Backoff>,
}

impl Reconnects {
    pub(crate) fn new(cfg: BackoffConfig) -> Self {
        Self {
            down: AtomicBool::new(false),
            turn: Mutex::new(Backoff::new(cfg)),
        }
    }

    /// Makes a call of a watch; after an outage of the platform only in turn, with a wait after
    /// each failure.
    pub(crate) async fn call<T>(
        &self,
        call: impl AsyncFnOnce() -> Result<T, PlatformError>,
        failed: impl AsyncFnOnce(&PlatformError),
    ) -> Result<T, PlatformError> {
        if !self.down.load(Ordering::Relaxed) {
            let result = call().await;
            match &result {
                Err(err) if is_outage(err) => {
                    self.down.store(true, Ordering::Relaxed);
                    failed(err).await;
                    self.wait().await;
                }
                _ => {}
            }
            return result;
        }
        let mut turn = self.turn.lock().await;
        let result = call().await;
        match &result {
            Err(err) if is_outage(err) => {
                failed(err).await;
                let wait = turn.next_wait(rand::random::<f64>);
                tokio::time::sleep(wait).await;
            }
            _ => {
                self.down.store(false, Ordering::Relaxed);
                turn.reset();
            }
        }
        result
    }

    async fn wait(&self) {
        let wait = self.turn.lock().await.next_wait(rand::random::<f64>);
        tokio::time::sleep(wait).await;
    }
}

/// Says whether the platform can't be reached or does not serve.
pub(crate) const fn is_outage(err: &PlatformError) -> bool {
    matches!(
        err,
        PlatformError::Unavailable { .. } | PlatformError::Timeout { .. }
    )
}
