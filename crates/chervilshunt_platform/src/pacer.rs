//! The client-side rate limit and the retry budget for all calls of the process.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilshunt_core::{RetryBudget, TokenBucket};
use chervilshunt_model::Moment;

use crate::clock::{now, sleep_until};
use crate::{PlatformConfig, RateLimit};

/// Limits the rate of calls and the share of retries for the whole process.
#[derive(Debug)]
pub(crate) struct Pacer {
    bucket: Mutex<TokenBucket>,
    budget: Mutex<RetryBudget>,
    urgent_reserve: f64,
    /// Queues for urgent and normal calls. Only the first call in each queue waits for the bucket,
    /// so that calls are sent in order.
    urgent_queue: tokio::sync::Mutex<()>,
    queue: tokio::sync::Mutex<()>,
}

/// Whether a call may use the part of the burst reserved for urgent calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    Urgent,
    Normal,
}

impl Pacer {
    pub(crate) fn new(cfg: &PlatformConfig, now: Moment) -> Self {
        let RateLimit {
            per_second,
            burst,
            urgent_reserve,
        } = cfg.rate;
        Self {
            bucket: Mutex::new(TokenBucket::new(per_second, burst, now)),
            budget: Mutex::new(RetryBudget::new(cfg.retries, now)),
            urgent_reserve,
            urgent_queue: tokio::sync::Mutex::default(),
            queue: tokio::sync::Mutex::default(),
        }
    }

    /// Waits until the rate limit allows a call.
    ///
    /// # Errors
    /// Fails if the call can't be allowed before `deadline`. Returns the time until it would be
    /// allowed, or `None` if that is unknown, as when the deadline passes while the call is queued.
    pub(crate) async fn acquire(
        &self,
        urgency: Urgency,
        deadline: Moment,
    ) -> Result<(), Option<Duration>> {
        let (queue, reserve) = match urgency {
            Urgency::Urgent => (&self.urgent_queue, 0.0),
            Urgency::Normal => (&self.queue, self.urgent_reserve),
        };
        let head = tokio::time::timeout(now().until(deadline), queue.lock()).await;
        let _head = head.map_err(|_elapsed| None)?;
        loop {
            let taken = lock(&self.bucket).try_take(reserve, now());
            let ready_at = match taken {
                Ok(()) => return Ok(()),
                Err(ready_at) => ready_at.ok_or(None)?,
            };
            if ready_at > deadline {
                return Err(Some(now().until(ready_at)));
            }
            sleep_until(ready_at).await;
        }
    }

    /// Records the first attempt of a call in the retry budget.
    pub(crate) fn record_first_attempt(&self) {
        lock(&self.budget).record_first_try(now());
    }

    /// Returns whether the budget allows another retry, and deducts it if so.
    pub(crate) fn try_retry(&self) -> bool {
        lock(&self.budget).try_retry(now())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
