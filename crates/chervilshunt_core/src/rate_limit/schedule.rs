//! The placer's schedule of requests to targets that have named a rate limit.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use chervilshunt_model::{Moment, TargetName};
use serde::{Deserialize, Serialize};

use super::rate::RequestRate;

/// Length of the windows over which operators count the requests that a limited target gets.
const WINDOW: Duration = Duration::from_secs(4);
/// The most that is scheduled in a window, as a multiple of the limit.
const WINDOW_FACTOR: f64 = 1.25;
/// Requests that are scheduled in a window beyond that. A limit of a fraction of a request a second
/// would otherwise allow none.
const WINDOW_SLACK: f64 = 3.0;
/// Time by which requests may run ahead of the limit's rate, so that two which come together need
/// not wait for each other.
const MAX_AHEAD: Duration = Duration::from_millis(250);
/// Time before a limit is known from which requests count against it.
const COUNTED_BEFORE: Duration = Duration::from_secs(1);
/// Part of a window that requests from before the limit may take up. With more, nothing would be sent
/// for seconds.
const PART_BEFORE: f64 = 0.5;
/// Interval at which a target is sent a request whatever its limit. Only an answer shows that a limit
/// of zero is lifted.
pub(super) const MAX_INTERVAL: Duration = Duration::from_secs(4);

/// Whether a request may be sent to a target that may have a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendPermit {
    /// The target has no limit that the placer knows of.
    #[serde(rename = "u")]
    Unlimited,
    /// The request counts against the limit and may be sent after this delay.
    #[serde(rename = "a")]
    After(Duration),
    /// The limit does not allow the request in time.
    #[serde(rename = "l")]
    Later {
        /// How long to wait before another attempt.
        #[serde(rename = "r")]
        retry_in: Duration,
    },
}

/// The requests that targets have been sent lately and are to be sent, for all instances.
///
/// A new placer starts with empty schedules: a target's first request is due one interval after it
/// knows the limit, so that two placers in one window stay within what one may schedule.
#[derive(Clone, Debug, Default)]
pub struct SendSchedules {
    targets: HashMap<TargetName, Schedule>,
}

#[derive(Clone, Debug, Default)]
struct Schedule {
    limit: Option<RequestRate>,
    /// When the next request is due at the limit's rate.
    next_at: Moment,
    /// The times of requests within the last window, and of those to come, the latest last.
    sends: VecDeque<Moment>,
}

impl SendSchedules {
    /// Sets the limits of all targets that have one.
    pub fn set_limits(&mut self, limits: &[(TargetName, RequestRate)], now: Moment) {
        let named: HashMap<_, _> = limits.iter().map(|(name, limit)| (name, *limit)).collect();
        for (name, schedule) in &mut self.targets {
            schedule.set_limit(named.get(name).copied(), now);
        }
        for (name, limit) in limits {
            let schedule = self.targets.entry(name.clone()).or_default();
            schedule.set_limit(Some(*limit), now);
        }
        self.targets.retain(|_, it| !it.is_idle(now));
    }

    /// Returns whether a target has a limit.
    pub fn is_limited(&self, target: &TargetName) -> bool {
        let schedule = self.targets.get(target);
        schedule.is_some_and(|it| it.limit.is_some())
    }

    /// Returns how long a request to a target has to wait now; zero if the target has no limit.
    pub fn wait(&self, target: &TargetName, now: Moment) -> Duration {
        let schedule = self.targets.get(target);
        schedule.map_or(Duration::ZERO, |it| now.until(it.earliest(now)))
    }

    /// Schedules a request and returns when it may be sent; `None` if the target has no limit.
    pub fn reserve(&mut self, target: &TargetName, now: Moment) -> Option<Moment> {
        let schedule = self.targets.entry(target.clone()).or_default();
        schedule.reserve(now)
    }

    /// Schedules a request that waits for at most `within`.
    pub fn permit(&mut self, target: &TargetName, within: Duration, now: Moment) -> SendPermit {
        let wait = self.wait(target, now);
        if wait > within {
            return SendPermit::Later { retry_in: wait };
        }
        match self.reserve(target, now) {
            Some(at) => SendPermit::After(now.until(at)),
            None => SendPermit::Unlimited,
        }
    }
}

impl Schedule {
    fn set_limit(&mut self, limit: Option<RequestRate>, now: Moment) {
        let before = std::mem::replace(&mut self.limit, limit);
        let Some(limit) = limit else {
            return;
        };
        let Some(before) = before else {
            self.next_at = self.next_at.max(now + interval(limit));
            return self.count_before(limit, now);
        };
        if limit == before {
            return;
        }
        // As many requests remain ahead of the rate as before.
        let ahead = now.until(self.next_at).as_secs_f64() / interval(before).as_secs_f64();
        let ahead = interval(limit).as_secs_f64() * ahead;
        self.next_at = now + Duration::try_from_secs_f64(ahead).unwrap_or_default();
        if limit < before {
            self.count_before(limit, now);
        }
    }

    /// Drops requests that don't count against a limit which is new.
    fn count_before(&mut self, limit: RequestRate, now: Moment) {
        let from = now - COUNTED_BEFORE;
        let most = (window_capacity(limit) as f64 * PART_BEFORE) as usize;
        while self.sends.len() > most || self.sends.front().is_some_and(|at| *at < from) {
            self.sends.pop_front();
        }
    }

    /// Returns when the next request may be sent.
    fn earliest(&self, now: Moment) -> Moment {
        let Some(limit) = self.limit else {
            return now;
        };
        let by_rate = self.next_at - MAX_AHEAD;
        let capacity = window_capacity(limit);
        let by_window = self.sends.len().checked_sub(capacity);
        let by_window = by_window.map(|before| self.sends[before] + WINDOW);
        now.max(by_rate).max(by_window.unwrap_or(now))
    }

    fn reserve(&mut self, now: Moment) -> Option<Moment> {
        let at = self.earliest(now);
        while self.sends.front().is_some_and(|it| *it + WINDOW < now) {
            self.sends.pop_front();
        }
        self.sends.push_back(at.max(self.last_send()));
        let limit = self.limit?;
        self.next_at = self.next_at.max(at) + interval(limit);
        Some(at)
    }

    fn last_send(&self) -> Moment {
        self.sends.back().copied().unwrap_or(Moment::ZERO)
    }

    /// Returns whether nothing has to be remembered of the target.
    fn is_idle(&self, now: Moment) -> bool {
        self.limit.is_none() && self.last_send() + WINDOW < now
    }
}

/// Returns the time between two requests at a limit.
pub(super) fn interval(limit: RequestRate) -> Duration {
    Duration::try_from_secs_f64(1.0 / limit.per_second())
        .unwrap_or(MAX_INTERVAL)
        .min(MAX_INTERVAL)
}

/// Returns how many requests may be scheduled in a window.
fn window_capacity(limit: RequestRate) -> usize {
    (limit.per_second() * WINDOW.as_secs_f64() * WINDOW_FACTOR + WINDOW_SLACK) as usize
}
