//! How quickly the placer answers, as one instance measures it.
//!
//! A request has 100 ms to 500 ms until its first byte is late, and the way to the placer and back
//! takes 3 ms. A placer that is alive but short of processor time answers after most of that time,
//! although it answers at once if no load is needed and this instance knows targets that hold the
//! adapter. While it counts as slow, the instance selects among these targets itself, which also
//! relieves the placer. See `docs/design/slow-placer.md`.

use std::collections::VecDeque;
use std::time::Duration;

use chervilshunt_model::Moment;

/// The number of answers that are considered. A placer that pauses once, for instance to take over
/// many targets, delays fewer of an instance's requests than half of these.
const CONSIDERED_ANSWERS: usize = 16;
/// The number of answers without which nothing is concluded.
const MIN_ANSWERS: usize = CONSIDERED_ANSWERS / 2;
/// The maximum age of a considered answer.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(2);
/// The median time of answers above which the placer counts as slow: nearly half of the time that
/// the shortest requests have, and many times the way to the placer and back.
const SLOW_ANSWER: Duration = Duration::from_millis(40);
/// The number of requests in a row without an answer after which the placer counts as slow.
const UNANSWERED_LIMIT: u32 = 4;
/// The time of an answer that counts towards recovery. A request waits as long for the answer to a
/// probe, which leaves most of its time if there is none.
const QUICK_ANSWER: Duration = Duration::from_millis(20);
/// The number of quick answers in a row after which the placer counts as recovered. A placer that
/// has used up its processor time answers a few requests quickly at the start of each period.
const QUICK_ANSWERS: u32 = 8;
/// One request in this number probes a slow placer.
const PROBE_INTERVAL: u32 = 16;
/// The same after a probe that was answered quickly, to establish the recovery soon.
const HOPEFUL_PROBE_INTERVAL: u32 = 2;
/// The time since the last probe after which the next request is one. An instance with few requests
/// would otherwise need minutes to notice the recovery.
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(1);

/// How a request that needs no load uses the placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacerUse {
    /// It asks the placer and waits for the answer.
    Ask,
    /// It asks the placer to measure it, and waits for the answer only for a short time.
    Probe,
    /// It does not ask the placer.
    Bypass,
}

/// A change of whether the placer counts as slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacerPaceChange {
    /// The placer counts as slow now.
    Slow {
        /// The median time of the considered answers; `None` if there are none.
        median: Option<Duration>,
        /// The number of requests in a row that got no answer.
        unanswered: u32,
    },
    /// The placer no longer counts as slow.
    Recovered {
        /// The longest time among the answers that showed it.
        longest: Duration,
    },
}

/// The time that the placer takes to answer requests that need no load, as measured by one
/// instance.
///
/// Answers to requests that wait for a load are not recorded, because their time is that of the
/// load.
#[derive(Clone, Debug, Default)]
pub struct PlacerPace {
    /// When the last answers were received, and the time that each took.
    answers: VecDeque<(Moment, Duration)>,
    /// Requests in a row without an answer.
    unanswered: u32,
    is_slow: bool,
    /// The times of the quick answers in a row, while the placer counts as slow.
    quick: Vec<Duration>,
    /// The number of requests since the last probe.
    since_probe: u32,
    probed_at: Moment,
}

impl PlacerPace {
    /// The time that a request waits for the answer to a probe.
    pub const PROBE_WAIT: Duration = QUICK_ANSWER;

    /// Returns whether the placer counts as slow.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Returns how the next request uses the placer that can be sent to a target known to hold its
    /// adapter.
    pub fn next_use(&mut self, now: Moment) -> PlacerUse {
        if !self.is_slow {
            return PlacerUse::Ask;
        }
        self.since_probe += 1;
        let interval = if self.quick.is_empty() {
            PROBE_INTERVAL
        } else {
            HOPEFUL_PROBE_INTERVAL
        };
        if self.since_probe < interval && now.since(self.probed_at) < MAX_PROBE_PAUSE {
            return PlacerUse::Bypass;
        }
        self.since_probe = 0;
        self.probed_at = now;
        PlacerUse::Probe
    }

    /// Records an answer to a request that needed no load, and the time that it took.
    pub fn answered(&mut self, took: Duration, now: Moment) -> Option<PlacerPaceChange> {
        self.unanswered = 0;
        self.answers.push_back((now, took));
        if self.answers.len() > CONSIDERED_ANSWERS {
            self.answers.pop_front();
        }
        self.remove_expired(now);
        if self.is_slow {
            return self.recovers(took);
        }
        let median = self.median()?;
        let is_slow = self.answers.len() >= MIN_ANSWERS && median > SLOW_ANSWER;
        is_slow.then(|| self.become_slow(now))
    }

    /// Records that a request that needed no load got no answer.
    pub fn unanswered(&mut self, now: Moment) -> Option<PlacerPaceChange> {
        self.unanswered = self.unanswered.saturating_add(1);
        self.quick.clear();
        self.remove_expired(now);
        let is_new = !self.is_slow && self.unanswered >= UNANSWERED_LIMIT;
        is_new.then(|| self.become_slow(now))
    }

    /// Forgets everything, because another instance is the placer now.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn become_slow(&mut self, now: Moment) -> PlacerPaceChange {
        self.is_slow = true;
        self.quick.clear();
        self.since_probe = 0;
        self.probed_at = now;
        PlacerPaceChange::Slow {
            median: self.median(),
            unanswered: self.unanswered,
        }
    }

    fn recovers(&mut self, took: Duration) -> Option<PlacerPaceChange> {
        if took > QUICK_ANSWER {
            self.quick.clear();
            return None;
        }
        self.quick.push(took);
        if (self.quick.len() as u32) < QUICK_ANSWERS {
            return None;
        }
        let longest = self.quick.iter().max().copied().unwrap_or_default();
        // Answers from before the recovery say nothing about the placer now.
        self.reset();
        Some(PlacerPaceChange::Recovered { longest })
    }

    fn median(&self) -> Option<Duration> {
        let mut times: Vec<Duration> = self.answers.iter().map(|(_, took)| *took).collect();
        times.sort_unstable();
        times.get(times.len().saturating_sub(1) / 2).copied()
    }

    fn remove_expired(&mut self, now: Moment) {
        while self
            .answers
            .front()
            .is_some_and(|(at, _)| now.since(*at) > MAX_ANSWER_AGE)
        {
            self.answers.pop_front();
        }
    }
}
