//! Selection of the waiting request that gets the next free batch slot.

use std::time::Duration;

use chervilshunt_model::{AttemptId, Class, Moment};

use super::Owner;
use super::action::OwnerAction;
use super::queue::QueuedRequest;
use super::tuning::{
    AGED_GRANT_INTERVAL, DEFERRABLE_PROMOTION_AGE, LIVE_GRANTS_PER_AGED, LIVE_LOAD_HALF_LIFE,
    MAX_FILL_WAIT, PREFIX_LOOKAHEAD,
};
use crate::PermitRequest;
use crate::bugs::Bug;

/// Number of standard deviations of the live load for which batch slots are kept free.
const HEADROOM_STD_DEVS: f64 = 2.0;

/// Divisor of the time to the deadline after which a deferrable request competes with live
/// requests.
const AGE_DEADLINE_DIVISOR: u32 = 2;

/// Part of a batch that ready deferrable requests must fill to start work on an idle engine.
const MIN_FILL_PART: f64 = 0.5;

impl Owner {
    /// Grants permits to waiting requests while there is batch capacity.
    pub(super) fn dispatch(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        while let Some((attempt, reason)) = self.next_admissible(now) {
            let Some(waiting) = self.queue.take_for_grant(attempt) else {
                return;
            };
            self.grant(waiting.end(now), reason, now, out);
        }
    }

    /// Returns the number of free batch slots within the share of power.
    pub(super) fn free_batch_slots(&self) -> usize {
        let taken = self.permits.len() + self.engine.external_sequences();
        let taken = taken.saturating_add(self.unknown_sequences());
        let more = usize::from(self.bugs.has(Bug::GrantsBeyondBatch));
        (self.power.batch_bound() + more).saturating_sub(taken)
    }

    /// Returns the number of batch slots that live work is likely to need beyond those that it
    /// occupies.
    pub(super) fn reserved_batch_slots(&self, now: Moment) -> usize {
        let average = self.live_load.average(LIVE_LOAD_HALF_LIFE, now);
        let needed =
            average + HEADROOM_STD_DEVS * self.stall_weight().sqrt() * average.max(0.25).sqrt();
        (needed.ceil() as usize).saturating_sub(self.permits.live())
    }

    /// Returns when the age of a waiting deferrable request next has to be checked.
    pub(super) fn next_age_check(&self, now: Moment) -> Option<Moment> {
        let oldest = self.queue.oldest_ready(Class::Deferrable)?;
        let aged = oldest.arrived + age_limit(&oldest.req);
        let held = oldest.arrived + self.max_fill_wait();
        let turn = aged.max(self.last_deferrable_grant + AGED_GRANT_INTERVAL);
        [aged, held, turn].into_iter().filter(|at| *at > now).min()
    }

    /// Returns the expected wait for batch capacity of a request of a class that arrives now.
    pub(super) fn expected_wait(&self, queue_class: Class) -> Duration {
        let mut ahead = self.queue.ready(Class::Live);
        if queue_class == Class::Deferrable {
            ahead += self.queue.ready(Class::Deferrable);
        }
        let free = self.free_batch_slots();
        if ahead < free {
            return Duration::ZERO;
        }
        let batch_slots = self.power.batch_bound().max(1) as f64;
        self.service_time
            .get()
            .mul_f64((ahead - free + 1) as f64 / batch_slots)
    }

    /// Returns whether a request of a class may get a batch slot now.
    pub(super) fn admits(&self, queue_class: Class, now: Moment) -> bool {
        if self.closed_reason(now).is_some() || !self.knows_adapters() {
            return false;
        }
        let free = self.free_batch_slots();
        match queue_class {
            Class::Live => free > 0,
            Class::Deferrable => free > self.reserved_batch_slots(now) && self.may_fill_batch(now),
        }
    }

    /// Returns whether deferrable work would fill steps that run anyway, or enough of a batch of
    /// its own.
    fn may_fill_batch(&self, now: Moment) -> bool {
        if self.permits.len() > 0 {
            return true;
        }
        let needed = (self.power.batch_bound() as f64 * MIN_FILL_PART).ceil() as usize;
        let oldest = self.queue.oldest_ready(Class::Deferrable);
        let held = oldest.is_some_and(|it| now.since(it.arrived) >= self.max_fill_wait());
        held || self.queue.ready(Class::Deferrable) >= needed
    }

    fn max_fill_wait(&self) -> Duration {
        MAX_FILL_WAIT.div_f64(self.stall_weight())
    }

    fn next_admissible(&self, now: Moment) -> Option<(AttemptId, &'static str)> {
        if let Some(aged) = self.aged_request(now) {
            return Some((
                aged.req.attempt,
                "waited long enough to compete with live work",
            ));
        }
        for (queue_class, reason) in [
            (Class::Live, "first in fair order"),
            (Class::Deferrable, "fills the batch"),
        ] {
            if self.queue.ready(queue_class) > 0 && self.admits(queue_class, now) {
                let next = self.first_in_order(queue_class)?;
                return Some((next.req.attempt, reason));
            }
        }
        None
    }

    /// Returns a deferrable request that has waited long enough to compete with live requests, if
    /// one may be granted now.
    ///
    /// One may be granted after [`LIVE_GRANTS_PER_AGED`] live permits or after
    /// [`AGED_GRANT_INTERVAL`], even while no live request waits. In a flood all deferrable
    /// requests are old, and would otherwise take every batch slot that is reserved for live work
    /// as soon as it is free.
    fn aged_request(&self, now: Moment) -> Option<&QueuedRequest> {
        let oldest = self.queue.oldest_ready(Class::Deferrable)?;
        let aged = now.since(oldest.arrived) >= age_limit(&oldest.req);
        let paused = now.since(self.last_deferrable_grant) >= AGED_GRANT_INTERVAL;
        let turn = self.live_grants_since_deferrable >= LIVE_GRANTS_PER_AGED || paused;
        (aged && turn && self.admits(Class::Live, now)).then_some(oldest)
    }

    /// Returns the first request in fair order, or one of the same caller close to it whose prefix
    /// is cached.
    fn first_in_order(&self, queue_class: Class) -> Option<&QueuedRequest> {
        let first = self.queue.in_order(queue_class).next()?;
        if !self.cfg.mechanisms.prefix {
            return Some(first);
        }
        let mut near = self.queue.in_order(queue_class).take(PREFIX_LOOKAHEAD);
        let cached = near
            .find(|it| it.req.caller == first.req.caller && self.engine.is_cached(it.req.prefix));
        cached.or(Some(first))
    }
}

/// Returns the wait after which a deferrable request competes with live requests.
fn age_limit(req: &PermitRequest) -> Duration {
    let part = Duration::from_millis(req.deadline_ms) / AGE_DEADLINE_DIVISOR;
    part.min(DEFERRABLE_PROMOTION_AGE)
}
