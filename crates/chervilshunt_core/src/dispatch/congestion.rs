//! Signs that a target has more requests or connections than it takes.
//!
//! A target takes a limited number of connections from all instances together, fewer while its
//! queue is long. It accepts a connection beyond the limit and resets it at once, so that a request
//! written to it may have run as far as the instance knows. A full target rejects requests without
//! running them, and a second attempt at another full target only adds to the load. See
//! `docs/design/not-run.md`.

use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName};

use super::facts::LoadReport;
use super::state::Dispatch;

/// The time since a reset of a new connection within which the next new connection may be reset.
/// Resets come in groups, since a target stays at its limit until requests end there.
const RESET_WINDOW: Duration = Duration::from_secs(2);
/// The time since a report of a queue within which new connections may be reset. An instance hears
/// from a target about three times a second.
const QUEUE_RESET_WINDOW: Duration = Duration::from_secs(1);
/// The time since a report of a queue within which a target gets no second attempt. Queues of a few
/// requests end within that time.
const QUEUE_WINDOW: Duration = Duration::from_millis(250);
/// The same for a queue of at least as many requests as the target runs at a time. An instance hears
/// from a target about three times a second, so that most of several full targets would count as
/// unknown after 250 ms. With one second, targets run out of work between the attempts.
const LONG_QUEUE_WINDOW: Duration = Duration::from_millis(500);

/// What a target has shown of its congestion.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Congestion {
    /// When it last closed a new connection without an answer.
    fresh_reset_at: Option<Moment>,
    /// When it last reported a queue.
    queue_seen_at: Option<Moment>,
    /// When its last report arrived, with the queue and the slots that it names.
    last_report: Option<(Moment, LoadReport)>,
}

impl Congestion {
    /// Records a report of the target.
    pub(crate) fn load_reported(&mut self, report: LoadReport, now: Moment) {
        if report.waiting > 0 {
            self.queue_seen_at = Some(now);
        }
        self.last_report = Some((now, report));
    }

    fn may_reset(&self, now: Moment) -> bool {
        let within = |at: Option<Moment>, time| at.is_some_and(|at| now.since(at) <= time);
        within(self.fresh_reset_at, RESET_WINDOW) || within(self.queue_seen_at, QUEUE_RESET_WINDOW)
    }

    /// Returns whether the target is known to have a queue, so that a second attempt would wait.
    fn has_queue(&self, now: Moment) -> bool {
        self.last_report.is_some_and(|(at, report)| {
            let window = if report.waiting >= report.slots.max(1) {
                LONG_QUEUE_WINDOW
            } else {
                QUEUE_WINDOW
            };
            report.waiting > 0 && now.since(at) <= window
        })
    }
}

/// The targets that a second attempt can go to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SecondAttempt {
    /// The number of targets that are not known to be full.
    pub open: usize,
    /// The targets that have reported a queue.
    pub queued: Vec<TargetName>,
}

impl Dispatch {
    /// Records that a target has accepted a new connection and closed it without an answer.
    pub fn fresh_connection_reset(&mut self, target: &TargetName, now: Moment) {
        if let Some(target) = self.targets.get_mut(target) {
            target.congestion.fresh_reset_at = Some(now);
        }
    }

    /// Returns whether a new connection to a target may be reset at once, so that a request which
    /// may run only once is better not written to it immediately.
    pub fn may_reset_fresh_connection(&self, target: &TargetName, now: Moment) -> bool {
        let target = self.targets.get(target);
        target.is_some_and(|it| it.congestion.may_reset(now))
    }

    /// Returns the targets of a service to which a request can be sent again after a target has
    /// rejected it; those in `tried` don't count.
    ///
    /// A target that has not reported its load lately is not known to be full. Targets that never
    /// report their load are therefore sent second attempts as long as the retry budget allows.
    pub fn second_attempt(
        &self,
        service: &ServiceName,
        tried: &[TargetName],
        now: Moment,
    ) -> SecondAttempt {
        let targets = self.targets.values().filter(|it| {
            it.facts.service == *service
                && it.facts.leaving.is_none()
                && !tried.contains(&it.facts.name)
        });
        let mut found = SecondAttempt::default();
        for target in targets {
            if target.congestion.has_queue(now) {
                found.queued.push(target.facts.name.clone());
            } else {
                found.open += 1;
            }
        }
        found
    }
}
