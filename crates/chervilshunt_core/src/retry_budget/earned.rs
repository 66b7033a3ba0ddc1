//! What one instance earns with its own requests.

use std::time::Duration;

use chervilshunt_model::Moment;

use super::counted::CountedRetries;
use super::counts::{BUCKET, BucketCounts};
use super::{RetryBoundConfig, TRANSIT};

/// What one instance has earned for a service and what it has spent, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EarnedUsage {
    /// The requests that earn retries now.
    pub requests: u32,
    /// The retries in the window.
    pub retries: u32,
    /// The most retries that the window may hold.
    pub limit: f64,
}

/// The retries that one instance has earned for one service, and those that it has made.
///
/// The bound counts the requests of a window or of the one before it, whichever are more. In any window an
/// instance makes no more retries than half the ratio of its requests in that window and in the one
/// before together. Summed over all instances, these are at most the ratio times the mean of both
/// windows' requests. No instance has to know of another one for this, and the requests and retries of
/// instances that have ended count like those of others.
#[derive(Clone, Debug)]
pub struct EarnedRetries {
    cfg: RetryBoundConfig,
    requests: BucketCounts,
    retries: CountedRetries,
}

impl EarnedRetries {
    /// Creates the state of an instance without requests.
    pub fn new(cfg: RetryBoundConfig) -> Self {
        Self {
            cfg,
            requests: BucketCounts::default(),
            retries: CountedRetries::default(),
        }
    }

    /// Counts a request that a caller has sent at a moment or before it, up to half a second.
    pub fn record_request(&mut self, sent: Moment) {
        self.requests.add(sent);
        self.requests.forget_older(self.earning_time(), sent);
    }

    /// Counts a retry if it has been earned, and returns whether it has.
    pub fn try_retry(&mut self, now: Moment) -> bool {
        let is_allowed = self.allows_retry(now);
        if is_allowed {
            self.retries.add(now);
        }
        is_allowed
    }

    /// Records that some retries have arrived at their targets, or will not arrive any more.
    pub fn settle(&mut self, count: u32, now: Moment) {
        self.forget_expired(now);
        self.retries.settle(count, now);
    }

    /// Returns whether a retry has been earned.
    fn allows_retry(&mut self, now: Moment) -> bool {
        self.forget_expired(now);
        let mut requests = 0;
        let mut earning = self.requests.newest_first().peekable();
        let mut retries = 0;
        // Every window that ends now, from the shortest on: its retries, and the requests in it and in the
        // one before it. Unanswered retries may arrive now, as the next one does.
        let arriving = self.retries.unanswered().saturating_add(1);
        let made = std::iter::once((now, arriving)).chain(self.retries.arrived_newest_first());
        for (start, count) in made {
            retries += count;
            let earned_since = start - self.lookback();
            while let Some((_, count)) = earning.next_if(|(at, _)| *at >= earned_since) {
                requests += count;
            }
            if f64::from(retries) > self.earned(requests) {
                return false;
            }
        }
        true
    }

    /// Returns what has been spent, and what the requests known now would allow at most.
    pub fn usage(&mut self, now: Moment) -> EarnedUsage {
        self.forget_expired(now);
        let requests = self.requests.since(now - self.earning_time());
        EarnedUsage {
            requests,
            retries: self.retries.len(),
            limit: self.earned(requests),
        }
    }

    fn earned(&self, requests: u32) -> f64 {
        self.cfg.ratio / 2.0 * f64::from(requests)
    }

    fn forget_expired(&mut self, now: Moment) {
        self.retries.forget_expired(self.cfg.window, now);
        self.requests.forget_older(self.earning_time(), now);
    }

    /// Returns how long before the first retry of a window a request may have been counted to earn it: one
    /// window, less the time by which retries arrive later and requests are counted later.
    fn lookback(&self) -> Duration {
        self.cfg.window.saturating_sub(TRANSIT * 2 + BUCKET)
    }

    /// Returns for how long a request earns retries.
    fn earning_time(&self) -> Duration {
        self.cfg.window + TRANSIT + self.lookback()
    }
}
