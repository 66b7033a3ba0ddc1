//! What an instance knows of the rate limits of targets.

use std::cmp::Ordering;
use std::time::Duration;

use chervilshunt_model::{Moment, TargetName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::rate::RequestRate;
use crate::dispatch::TargetStart;

/// Time after the last answer that named a limit from which an answer without one lifts it. Answers
/// on different connections may overtake each other.
const LIFT_DELAY: Duration = Duration::from_millis(500);
/// Time for which a lifted limit is remembered, so that an instance which was cut off does not bring
/// back what it knew before.
const LIFTED_KEPT: Duration = Duration::from_secs(10);
/// Shortest interval between two reports of one target's unchanged limit to the placer.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which the limit of a target is remembered that the platform does not list.
const UNLISTED_KEPT: Duration = Duration::from_secs(60);

/// What an answer of a target showed of its limit, for other instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The target.
    #[serde(rename = "t")]
    pub target: TargetName,
    /// The start of the target to which this applies.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub started: Option<TargetStart>,
    /// The limit, or `None` if the target has ceased to name one.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RequestRate>,
    /// How long ago the answer came.
    #[serde(rename = "a")]
    pub age: Duration,
}

/// A change of what is known of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit that was known before; `None` if there was none.
    pub before: Option<RequestRate>,
    /// The limit from now on; `None` if there is none.
    pub now: Option<RequestRate>,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    started: Option<TargetStart>,
    limit: Option<RequestRate>,
    /// When the answer came that showed this.
    observed_at: Moment,
    /// When this instance last reported it to the placer.
    reported_at: Option<Moment>,
}

/// The rate limits of targets, from this instance's own answers and from other instances.
///
/// Of two observations the later one counts. A limit stays known while no answer comes from its
/// target: nothing but an answer without it shows that it is lifted.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    targets: IndexMap<TargetName, KnownLimit>,
}

impl RateLimits {
    /// Records the limit that an answer of a target names, if any. `sent_at` is the time at which the
    /// answered request was sent.
    pub fn answer_received(
        &mut self,
        target: &TargetName,
        started: Option<TargetStart>,
        limit: Option<RequestRate>,
        sent_at: Moment,
        now: Moment,
    ) -> Option<LimitChange> {
        if limit.is_none() && !self.is_lifted_by(target, started, sent_at, now) {
            return None;
        }
        self.apply(target, started, limit, now)
    }

    /// Applies what another instance has observed.
    pub fn reported(&mut self, report: &LimitReport, now: Moment) -> Option<LimitChange> {
        let observed_at = now - report.age;
        self.apply(&report.target, report.started, report.limit, observed_at)
    }

    /// Returns the limit of a target, if it has named one.
    pub fn get(&self, target: &TargetName) -> Option<RequestRate> {
        self.targets.get(target).and_then(|it| it.limit)
    }

    /// Returns the number of targets that have a limit.
    pub fn count(&self) -> usize {
        self.targets
            .values()
            .filter(|it| it.limit.is_some())
            .count()
    }

    /// Returns all limits, and those lifted lately.
    pub fn reports(&mut self, now: Moment) -> Vec<LimitReport> {
        self.targets
            .retain(|_, it| it.limit.is_some() || now.since(it.observed_at) < LIFTED_KEPT);
        let known = self.targets.iter();
        known.map(|(name, it)| it.report(name, now)).collect()
    }

    /// Returns what is known of a target's limit, if anything.
    pub fn report(&self, target: &TargetName, now: Moment) -> Option<LimitReport> {
        let known = self.targets.get(target);
        known.map(|it| it.report(target, now))
    }

    /// Returns what is known of a target's limit if the placer has to be told: it has changed, or
    /// it was last reported some time ago and the message may be lost.
    pub fn report_due(&mut self, target: &TargetName, now: Moment) -> Option<LimitReport> {
        let known = self.targets.get_mut(target)?;
        let is_due = known
            .reported_at
            .is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if !is_due {
            return None;
        }
        known.reported_at = Some(now);
        Some(known.report(target, now))
    }

    /// Forgets targets that the platform does not list and that have not been heard of for long.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&TargetName) -> bool, now: Moment) {
        self.targets
            .retain(|name, it| is_listed(name) || now.since(it.observed_at) < UNLISTED_KEPT);
    }

    /// Returns whether an answer without a limit shows that the known one is lifted: its request was
    /// sent after the limit was last named.
    fn is_lifted_by(
        &self,
        target: &TargetName,
        started: Option<TargetStart>,
        sent_at: Moment,
        now: Moment,
    ) -> bool {
        self.targets.get(target).is_some_and(|known| {
            known.limit.is_some()
                && (TargetStart::compare(started, known.started) == Ordering::Greater
                    || (sent_at > known.observed_at && now.since(known.observed_at) >= LIFT_DELAY))
        })
    }

    fn apply(
        &mut self,
        target: &TargetName,
        started: Option<TargetStart>,
        limit: Option<RequestRate>,
        observed_at: Moment,
    ) -> Option<LimitChange> {
        let known = self.targets.get(target);
        if let Some(known) = known {
            match TargetStart::compare(started, known.started) {
                Ordering::Less => return None,
                Ordering::Equal if observed_at < known.observed_at => return None,
                Ordering::Equal | Ordering::Greater => {}
            }
        }
        let before = known.and_then(|it| it.limit);
        let changed = before != limit;
        let reported_at = known.and_then(|it| it.reported_at).filter(|_| !changed);
        self.targets.insert(
            target.clone(),
            KnownLimit {
                started,
                limit,
                observed_at,
                reported_at,
            },
        );
        changed.then_some(LimitChange { before, now: limit })
    }
}

impl KnownLimit {
    fn report(&self, target: &TargetName, now: Moment) -> LimitReport {
        LimitReport {
            target: target.clone(),
            started: self.started,
            limit: self.limit,
            age: now.since(self.observed_at),
        }
    }
}
