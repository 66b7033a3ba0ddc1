//! Retries that count against a bound.

use std::collections::VecDeque;
use std::time::Duration;

use chervilshunt_model::Moment;

use super::counts::{BUCKET, BucketCounts};

/// Longest time in which a retry without an answer may still arrive at its target.
pub(super) const MAX_UNANSWERED: Duration = Duration::from_secs(10);

/// The retries of one service that count in a window of time.
///
/// A retry counts from its decision until a window after its arrival. A target may read a request long after it
/// was sent, so that the arrival is only known once the target has answered; until then the retry is unanswered.
#[derive(Clone, Debug, Default)]
pub(super) struct CountedRetries {
    /// When those were decided on that may not have arrived yet, the oldest first.
    unanswered: VecDeque<Moment>,
    /// When the others were known to have arrived.
    arrived: BucketCounts,
}

impl CountedRetries {
    /// Counts a retry that is decided on.
    pub(super) fn add(&mut self, now: Moment) {
        self.unanswered.push_back(now);
    }

    /// Records that some retries have arrived, or will not arrive any more.
    ///
    /// The oldest ones are taken for them: which ones they are makes no difference to the number that may still
    /// arrive, and those that stay count for longer.
    pub(super) fn settle(&mut self, count: u32, now: Moment) {
        for _ in 0..count.min(self.unanswered()) {
            self.unanswered.pop_front();
            self.arrived.add(now);
        }
    }

    /// Forgets the retries that arrived before the window that ends now.
    pub(super) fn forget_expired(&mut self, window: Duration, now: Moment) {
        while let Some(decided) = self.unanswered.front()
            && now.since(*decided) > MAX_UNANSWERED
        {
            self.arrived.add(*decided + MAX_UNANSWERED);
            self.unanswered.pop_front();
        }
        self.arrived.forget_older(window + BUCKET, now);
    }

    /// Returns the number of retries that may not have arrived yet.
    pub(super) fn unanswered(&self) -> u32 {
        u32::try_from(self.unanswered.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of all retries that count.
    pub(super) fn len(&self) -> u32 {
        let arrived: u32 = self.arrived.newest_first().map(|(_, count)| count).sum();
        self.unanswered().saturating_add(arrived)
    }

    /// Returns when retries were known to have arrived and how many, the newest first.
    pub(super) fn arrived_newest_first(&self) -> impl Iterator<Item = (Moment, u32)> {
        self.arrived.newest_first()
    }

    /// Returns when the next retry stops counting that is known to have arrived.
    pub(super) fn next_expiry(&self, window: Duration) -> Option<Moment> {
        let oldest = self.arrived.oldest()?;
        Some(oldest + window + BUCKET)
    }
}
