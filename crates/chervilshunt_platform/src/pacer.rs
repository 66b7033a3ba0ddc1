//! The process's own rate limit, and the retry budget of all its calls.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilshunt_core::{RetryBudget, TokenBucket};
use chervilshunt_model::Moment;

use crate::clock::{now, sleep_until};
use crate::{PlatformConfig, RateLimit};

/// Paces every call of the process.
#[derive(Debug)]
pub(crate) struct Pacer {
    bucket: Mutex<TokenBucket>,
    budget: Mutex<RetryBudget>,
    urgent_reserve: f64,
    /// Only the first in each line waits for the bucket, so that calls go out in order.
    urgent_line: tokio::sync::Mutex<()>,
    line: tokio::sync::Mutex<()>,
}

/// Whether a call may use the part of the rate that is kept for urgent ones.
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
            urgent_line: tokio::sync::Mutex::default(),
            line: tokio::sync::Mutex::default(),
        }
    }

    /// Waits until a call may go out.
    ///
    /// # Errors
    /// Fails at once if that can't be before `deadline`; says how long it would take.
    pub(crate) async fn turn(
        &self,
        urgency: Urgency,
        deadline: Moment,
    ) -> Result<(), Option<Duration>> {
        let (line, reserve) = match urgency {
            Urgency::Urgent => (&self.urgent_line, 0.0),
            Urgency::Normal => (&self.line, self.urgent_reserve),
        };
        let in_line = tokio::time::timeout(now().until(deadline), line.lock()).await;
        let _first = in_line.map_err(|_elapsed| None)?;
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

    /// Takes note of the first try of a call.
    pub(crate) fn record_first_try(&self) {
        lock(&self.budget).record_first_try(now());
    }

    /// Says whether one more retry is allowed, and counts it if so.
    pub(crate) fn try_retry(&self) -> bool {
        lock(&self.budget).try_retry(now())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
