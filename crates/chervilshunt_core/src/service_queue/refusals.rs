//! The requests that were refused lately.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use chervilshunt_model::Moment;

use crate::quarantine::Fingerprint;

/// Time for which a refusal is remembered. Callers retry within a third of their remaining time,
/// which is a second or less for most.
const REMEMBERED_FOR: Duration = Duration::from_secs(2);
/// The number of refusals that are remembered, which bounds the memory.
const MAX_REMEMBERED: usize = 4_096;

/// The requests that were refused lately, by their content.
///
/// A caller that retries before its time is late already, and its response is worth less than that
/// of a first-time caller.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentRefusals {
    order: VecDeque<(Moment, Fingerprint)>,
    counts: HashMap<Fingerprint, u32>,
}

impl RecentRefusals {
    /// Records that a request was refused.
    pub(super) fn record(&mut self, content: Fingerprint, now: Moment) {
        self.remove_old(now);
        if self.order.len() >= MAX_REMEMBERED {
            self.remove_oldest();
        }
        self.order.push_back((now, content));
        *self.counts.entry(content).or_default() += 1;
    }

    /// Returns whether a request with this content was refused lately.
    pub(super) fn includes(&mut self, content: Fingerprint, now: Moment) -> bool {
        self.remove_old(now);
        self.counts.contains_key(&content)
    }

    fn remove_old(&mut self, now: Moment) {
        while self
            .order
            .front()
            .is_some_and(|(at, _)| now.since(*at) > REMEMBERED_FOR)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((_, content)) = self.order.pop_front() else {
            return;
        };
        if let Some(count) = self.counts.get_mut(&content) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&content);
            }
        }
    }
}
