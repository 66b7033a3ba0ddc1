//! Counts of events in a sliding time.

use std::collections::VecDeque;
use std::time::Duration;

use chervilshunt_model::Moment;

/// Length of the time whose events are counted together.
pub(super) const BUCKET: Duration = Duration::from_millis(100);

/// Numbers of events in short buckets of time, the oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct BucketCounts(VecDeque<(Moment, u32)>);

impl BucketCounts {
    /// Counts an event, which may be older than the last one.
    pub(super) fn add(&mut self, at: Moment) {
        let next = self.0.partition_point(|(start, _)| *start <= at);
        let bucket = next.checked_sub(1).and_then(|it| self.0.get_mut(it));
        match bucket {
            Some((start, count)) if at.since(*start) < BUCKET => *count += 1,
            Some(_) | None => self.0.insert(next, (at, 1)),
        }
    }

    /// Forgets buckets that began longer ago than the given time.
    pub(super) fn forget_older(&mut self, age: Duration, now: Moment) {
        while self
            .0
            .front()
            .is_some_and(|(start, _)| now.since(*start) > age)
        {
            self.0.pop_front();
        }
    }

    /// Returns when the oldest bucket began.
    pub(super) fn oldest(&self) -> Option<Moment> {
        self.0.front().map(|(start, _)| *start)
    }

    /// Returns the buckets with their starts, the newest first.
    pub(super) fn newest_first(&self) -> impl Iterator<Item = (Moment, u32)> {
        self.0.iter().rev().copied()
    }

    /// Returns the number of events in the buckets that began at or after a moment.
    pub(super) fn since(&self, moment: Moment) -> u32 {
        let recent = self.newest_first();
        let recent = recent.take_while(|(start, _)| *start >= moment);
        recent.map(|(_, count)| count).sum()
    }
}
