//! State that targets report about themselves with their responses.
//!
//! It takes effect immediately and does not depend on the platform: a target's entry is as old as
//! its last heartbeat, and can neither be written nor read while the platform is unavailable.

use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName};
use indexmap::IndexMap;

use super::facts::{Leaving, TargetStart};
use super::state::{Dispatch, Target};

/// The number of targets that reported that they are leaving which are remembered. Targets that are
/// gone count too, since their entries may stay listed for some time.
const REMEMBERED_LEAVING: usize = 1_024;
/// The longest pause that a target is granted, as a guard against implausible values.
const MAX_PAUSE: Duration = Duration::from_secs(10 * 60);

/// The starts of targets that reported that they are leaving, the most recent one last.
#[derive(Debug, Default)]
pub(crate) struct ReportedLeaving(IndexMap<TargetName, Option<TargetStart>>);

impl ReportedLeaving {
    pub(crate) fn note(&mut self, target: &TargetName, started: Option<TargetStart>) {
        self.0.shift_remove(target);
        self.0.insert(target.clone(), started);
        if self.0.len() > REMEMBERED_LEAVING {
            self.0.shift_remove_index(0);
        }
    }

    /// Returns whether this start of a target has reported that it is leaving.
    pub(crate) fn includes(&self, target: &TargetName, started: Option<TargetStart>) -> bool {
        let reported = self.0.get(target);
        reported.is_some_and(|reported| TargetStart::compare(started, *reported).is_le())
    }
}

impl Dispatch {
    /// Records that a target reports that it is leaving, and returns whether that is new.
    ///
    /// The target's entry may contradict this for as long as the platform is unavailable; the
    /// target counts as leaving until it is seen with a later start.
    pub fn leaving_reported(&mut self, target: &TargetName, started: Option<TargetStart>) -> bool {
        let Some(known) = self.targets.get_mut(target) else {
            return false;
        };
        if TargetStart::compare(started, known.facts.started).is_lt() {
            return false;
        }
        let is_new = !self.reported_leaving.includes(target, started);
        self.reported_leaving
            .note(target, started.or(known.facts.started));
        known
            .facts
            .leaving
            .get_or_insert(Leaving { gone_after: None });
        is_new
    }

    /// Records that a target asks this instance to send it no requests for a time.
    pub fn pause_requested(&mut self, target: &TargetName, pause: Duration, now: Moment) {
        if let Some(target) = self.targets.get_mut(target) {
            let until = now + pause.min(MAX_PAUSE);
            target.paused_until = target.paused_until.max(until);
        }
    }

    /// Returns the targets of a service that this instance must not send requests to.
    pub fn closed_targets(&self, service: &ServiceName, now: Moment) -> Vec<TargetName> {
        let targets = self.targets.values();
        let is_brittle = self.brittleness(service).is_some();
        let closed = targets.filter(|it| {
            let has_turned_away = is_brittle && now < it.held_back_until;
            it.facts.service == *service
                && (it.facts.leaving.is_some() || it.is_paused(now) || has_turned_away)
        });
        closed.map(|it| it.facts.name.clone()).collect()
    }
}

impl Target {
    /// Returns whether the target has asked this instance not to send requests now.
    pub(crate) fn is_paused(&self, now: Moment) -> bool {
        now < self.paused_until
    }
}
