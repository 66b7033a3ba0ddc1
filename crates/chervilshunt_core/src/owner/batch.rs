//! Which waiting request gets the next seat in the batch.

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

/// Standard deviations of the live load for which seats are kept free.
const HEADROOM_STD_DEVS: f64 = 2.0;

/// Part of its time to the deadline after which a deferrable request competes with live ones.
const AGE_DEADLINE_DIVISOR: u32 = 2;

/// Part of a batch that deferrable requests have to fill to start an idle engine.
const MIN_FILL_PART: f64 = 0.5;

impl Owner {
    /// Grants permits to waiting requests while there is room.
    pub(super) fn dispatch(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        while let Some((attempt, reason)) = self.next_admissible(now) {
            let Some(waiting) = self.queue.take_for_grant(attempt) else {
                return;
            };
            self.grant(waiting.end(now), reason, now, out);
        }
    }

    /// Returns the seats in the batch that are free, within the share of power.
    pub(super) fn free_batch_slots(&self) -> usize {
        let taken = self.permits.len() + self.engine.external_sequences();
        let taken = taken.saturating_add(self.unknown_sequences());
        let more = usize::from(self.bugs.has(Bug::GrantsBeyondBatch));
        (self.power.batch_bound() + more).saturating_sub(taken)
    }

    /// Returns the seats that live work is likely to need beyond those that it holds.
    pub(super) fn reserved_batch_slots(&self, now: Moment) -> usize {
        let average = self.live_load.average(LIVE_LOAD_HALF_LIFE, now);
        let wanted =
            average + HEADROOM_STD_DEVS * self.stall_weight().sqrt() * average.max(0.25).sqrt();
        (wanted.ceil() as usize).saturating_sub(self.permits.live())
    }

    /// Returns when a waiting deferrable request is next to be looked at because of its age.
    pub(super) fn next_age_check(&self, now: Moment) -> Option<Moment> {
        let oldest = self.queue.oldest_ready(Class::Deferrable)?;
        let aged = oldest.arrived + age_limit(&oldest.req);
        let held = oldest.arrived + self.max_fill_wait();
        let turn = aged.max(self.last_deferrable_grant + AGED_GRANT_INTERVAL);
        [aged, held, turn].into_iter().filter(|at| *at > now).min()
    }

    /// Returns the time that a request of a class that arrives now would wait for room.
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

    /// Whether a request of a class may have a seat now.
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

    /// Whether deferrable work would fill steps that run anyway, or a batch of its own.
    fn may_fill_batch(&self, now: Moment) -> bool {
        if self.permits.len() > 0 {
            return true;
        }
        let wanted = (self.power.batch_bound() as f64 * MIN_FILL_PART).ceil() as usize;
        let oldest = self.queue.oldest_ready(Class::Deferrable);
        let held = oldest.is_some_and(|it| now.since(it.arrived) >= self.max_fill_wait());
        held || self.queue.ready(Class::Deferrable) >= wanted
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

    /// Returns a deferrable request that has waited long enough to compete with live ones, if it
    /// is its turn.
    ///
    /// Its turn comes after so many live permits or after a pause, also while no live request
    /// waits: in a flood all deferrable requests are old, and would otherwise take every seat that
    /// is kept for live work as soon as it is free.
    fn aged_request(&self, now: Moment) -> Option<&QueuedRequest> {
        let oldest = self.queue.oldest_ready(Class::Deferrable)?;
        let aged = now.since(oldest.arrived) >= age_limit(&oldest.req);
        let paused = now.since(self.last_deferrable_grant) >= AGED_GRANT_INTERVAL;
        let turn = self.live_grants_since_deferrable >= LIVE_GRANTS_PER_AGED || paused;
        (aged && turn && self.admits(Class::Live, now)).then_some(oldest)
    }

    /// Returns the first request in fair order, or one close to it whose prefix is cached.
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

/// Returns the wait after which a deferrable request competes with live ones.
fn age_limit(req: &PermitRequest) -> Duration {
    let part = Duration::from_millis(req.deadline_ms) / AGE_DEADLINE_DIVISOR;
    part.min(DEFERRABLE_PROMOTION_AGE)
}
