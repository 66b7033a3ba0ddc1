//! Times at which refused callers are told to return.
//!
//! A caller that is told to wait without a reserved place competes with first-time callers when it
//! returns, and under load only those that retry most often get in. A schedule gives each refused
//! caller a time of its own, spaced by the pace at which room becomes free, and recognizes the
//! caller when it returns. A caller is recognized by the content of its request, because each of
//! its attempts has another id and may come to another instance. See `docs/design/returns.md`.

use std::collections::VecDeque;
use std::time::Duration;

use chervilshunt_model::Moment;

use crate::quarantine::Fingerprint;

/// How much earlier than told a caller may return, for differences between clocks and rounding of
/// the time in the answer.
const EARLY_MARGIN: Duration = Duration::from_millis(20);
/// How long after its time a caller keeps its place: a new connection and a busy instance may delay
/// it by some hundred milliseconds.
const KEPT_FOR: Duration = Duration::from_secs(1);
/// The number of callers that may be expected at a time, which bounds the memory of a schedule.
const MAX_EXPECTED: usize = 4_096;

/// The times at which refused callers are told to return, for one queue.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    /// In ascending order of their times.
    expected: VecDeque<ExpectedReturn>,
    last_given: Moment,
}

#[derive(Clone, Copy, Debug)]
struct ExpectedReturn {
    at: Moment,
    content: Fingerprint,
}

impl ReturnSchedule {
    /// Schedules the return of a caller, at least `interval` after the caller scheduled before it and
    /// not before `earliest` has passed. Returns the time until then, or `None` if the caller would
    /// not wait that long or too many are expected; nothing is reserved then.
    pub fn schedule(
        &mut self,
        content: Fingerprint,
        earliest: Duration,
        interval: Duration,
        patience: Duration,
        now: Moment,
    ) -> Option<Duration> {
        self.remove_lapsed(now);
        let at = (now + earliest).max(self.last_given + interval);
        let wait = now.until(at);
        if wait > patience || self.expected.len() >= MAX_EXPECTED {
            return None;
        }
        self.last_given = at;
        self.expected.push_back(ExpectedReturn { at, content });
        Some(wait)
    }

    /// Returns whether a request comes from a caller whose time to return has come, and ends its
    /// reservation. A caller that returns earlier keeps its time.
    pub fn redeem(&mut self, content: Fingerprint, now: Moment) -> bool {
        self.remove_lapsed(now);
        let due = self.due_count(now + EARLY_MARGIN);
        let found = self.expected.iter().take(due);
        let found = found.enumerate().find(|(_, it)| it.content == content);
        let Some(index) = found.map(|(index, _)| index) else {
            return false;
        };
        self.expected.remove(index);
        true
    }

    /// Returns the number of callers whose time has come and that have not returned yet.
    pub fn due(&mut self, now: Moment) -> usize {
        self.remove_lapsed(now);
        self.due_count(now)
    }

    /// Returns the number of callers that are expected to return.
    pub fn len(&self) -> usize {
        self.expected.len()
    }

    /// Returns whether no caller is expected to return.
    pub fn is_empty(&self) -> bool {
        self.expected.is_empty()
    }

    fn due_count(&self, now: Moment) -> usize {
        self.expected.partition_point(|it| it.at <= now)
    }

    fn remove_lapsed(&mut self, now: Moment) {
        while self
            .expected
            .front()
            .is_some_and(|it| it.at + KEPT_FOR < now)
        {
            self.expected.pop_front();
        }
    }
}
