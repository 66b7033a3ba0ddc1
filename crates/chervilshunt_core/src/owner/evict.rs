//! Eviction: which adapter is unloaded for another one, and whether any should be.

use chervilshunt_model::{AdapterVersion, Class, Moment};

use super::Owner;
use super::slots::IdleSlot;
use super::tuning::{RETIRE_AFTER_DEFERRABLE, RETIRE_AFTER_LIVE};
use crate::LoadUrgency;
use crate::bugs::Bug;

/// Worth of a request that waits for batch capacity alone, in requests per second of long-term
/// demand.
const READY_REQUEST_WORTH: f64 = 1.0;

/// Time within which a request for an evicted adapter counts as a miss, in seconds.
const MISS_WINDOW_S: f64 = 60.0;

/// Total waiting time of deferrable requests, in seconds, that justifies one second of expected
/// stall.
const WAIT_PER_STALL: f64 = 30.0;

/// Time after which a deferrable request gets a slot unconditionally, in milliseconds.
///
/// A request that waits alone justifies one second of stall only after 30 s, and each of its
/// attempts would be refused at its deadline. The limit is half of the shortest default deadline of
/// deferrable work, which leaves the other half for the turn, the load and the answer.
const MAX_DEFERRAL_MS: u64 = 10_000;

/// Ratio of the actual to the predicted hit rate of the loaded adapters below which popularity may
/// have shifted.
const STABLE_HIT_RATIO: f64 = 1.05;

/// How quickly a shift of popularity is inferred as that ratio falls. At a ratio of 0.88 it is
/// taken as certain.
const SHIFT_GAIN: f64 = 6.0;

/// Wait for a load turn, in seconds, at which the protected part of the slots would reach 1; it
/// grows in proportion to the wait up to [`MAX_PROTECTED_PART`].
const PROTECTION_WAIT_S: f64 = 1.0;

/// Maximum part of the slots that is protected from eviction.
const MAX_PROTECTED_PART: f64 = 0.9;

/// The idle adapter that is cheapest to evict.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Victim {
    pub(super) model: AdapterVersion,
    /// Its worth as given by [`Owner::worth`], or 0 for a retiring adapter.
    pub(super) worth: f64,
    /// The next cheapest adapter.
    pub(super) runner_up: Option<AdapterVersion>,
}

impl Owner {
    /// Returns the worth of an adapter's slot: the rate at which requests would have to wait if the
    /// adapter were evicted.
    ///
    /// The cost of loading it again is this rate multiplied by the time that a load takes with the
    /// current load queue. That time is the same for all slots of a target, so it matters only
    /// where worth is compared with waiting time.
    pub(super) fn worth(&self, model: &AdapterVersion, now: Moment) -> f64 {
        self.demand.long_term(model, now)
            + READY_REQUEST_WORTH * f64::from(self.queue.ready_for(model))
    }

    /// Returns the idle adapter that is cheapest to evict.
    pub(super) fn victim(&self, now: Moment) -> Option<Victim> {
        if !self.may_unload() {
            return None;
        }
        let mut candidates: Vec<(f64, &AdapterVersion)> = self
            .candidates(now)
            .map(|(model, slot)| (self.cost(model, slot, now), model))
            .collect();
        let best = take_least(&mut candidates)?;
        let (cost, model) = best;
        Some(Victim {
            model: model.clone(),
            worth: if cost < 0.0 {
                0.0
            } else {
                self.worth(model, now)
            },
            runner_up: take_least(&mut candidates).map(|(_, model)| model.clone()),
        })
    }

    /// Returns the idle adapters except for the protected ones, which are those used most recently.
    ///
    /// When popularity shifts, an adapter that has just been loaded has little recorded demand and
    /// would be evicted next. Its next request would miss, and the same adapters would be loaded
    /// again and again while loads are scarce. The number of protected adapters therefore grows
    /// with the wait for a load turn, but only while the loaded adapters get fewer requests than
    /// their past demand predicts. While popularity is stable, recency chooses worse victims than
    /// demand, and a load queue that made evictions worse would reinforce itself.
    fn candidates(&self, now: Moment) -> impl Iterator<Item = (&AdapterVersion, &IdleSlot)> {
        let mut idle: Vec<(&AdapterVersion, &IdleSlot)> = self.evictable().collect();
        let protected = self.protected_part(now) * f64::from(self.cfg.slots);
        let protected = (protected as usize).saturating_sub(self.slots.pinned().count());
        let kept = idle.len().saturating_sub(protected).max(1);
        if kept < idle.len() {
            idle.select_nth_unstable_by_key(kept, |(_, slot)| slot.last_used);
            idle.truncate(kept);
        }
        idle.into_iter()
    }

    fn protected_part(&self, now: Moment) -> f64 {
        if !self.cfg.mechanisms.cost_eviction {
            return 0.0;
        }
        let pinned = self.slots.pinned().map(|(model, _)| model);
        let loaded = self.slots.idle().map(|(model, _)| model).chain(pinned);
        let short = STABLE_HIT_RATIO - self.demand.hit_ratio(loaded, now);
        let moved = (short * SHIFT_GAIN).clamp(0.0, 1.0);
        let wait = self.loads.queue_wait(now).as_secs_f64();
        moved * (wait / PROTECTION_WAIT_S).min(MAX_PROTECTED_PART)
    }

    fn cost(&self, model: &AdapterVersion, slot: &IdleSlot, now: Moment) -> f64 {
        if slot.retiring {
            -1.0
        } else if self.cfg.mechanisms.cost_eviction {
            self.worth(model, now)
        } else {
            slot.last_used.as_micros() as f64
        }
    }

    /// Returns whether the waiting requests for an adapter justify giving up a slot of this worth.
    ///
    /// Live requests always do. Deferrable requests accumulate until their waiting time makes up
    /// for the expected stall, so that many of them share a load. After [`MAX_DEFERRAL_MS`] they
    /// get a slot unconditionally.
    pub(super) fn worth_evicting(&self, urgency: &LoadUrgency, worth: f64, now: Moment) -> bool {
        match urgency.class {
            Some(Class::Live) => true,
            Some(Class::Deferrable) if urgency.oldest_ms >= MAX_DEFERRAL_MS => true,
            Some(Class::Deferrable) => {
                let missed = 1.0 - (-worth * MISS_WINDOW_S).exp();
                let stall = missed * self.loads.expected_time(now).as_secs_f64();
                let waited = f64::from(urgency.waiters) * urgency.oldest_ms as f64 / 1_000.0;
                waited >= stall * WAIT_PER_STALL * self.stall_weight()
            }
            None => false,
        }
    }

    /// Stops granting permits for the pinned adapter of least worth if a load has waited too long
    /// for a slot to become idle.
    ///
    /// Otherwise a target whose slots are all in steady use would never load another adapter.
    pub(super) fn retire_one(&mut self, urgency: &LoadUrgency, now: Moment) -> bool {
        let retire_after = match urgency.class {
            Some(Class::Live) => RETIRE_AFTER_LIVE,
            Some(Class::Deferrable) => RETIRE_AFTER_DEFERRABLE,
            None => return false,
        };
        let too_early = u128::from(urgency.oldest_ms) < retire_after.as_millis();
        if too_early || !self.may_unload() {
            return false;
        }
        let serving = self.slots.pinned();
        let serving = serving.filter(|(model, slot)| !slot.retiring && self.may_evict(model));
        let worth = |model: &AdapterVersion| self.worth(model, now);
        let least = serving.min_by(|left, right| worth(left.0).total_cmp(&worth(right.0)));
        let Some(model) = least.map(|(model, _)| model.clone()) else {
            return false;
        };
        self.slots.retire(&model);
        self.model_unavailable(&model, now);
        true
    }

    /// Returns whether adapters may be unloaded at all.
    pub(super) fn may_unload(&self) -> bool {
        self.knows_adapters() && self.engine.reachable && !self.fenced
    }

    /// Returns whether no permit of an earlier owner may be in use for an adapter without being known.
    fn may_evict(&self, model: &AdapterVersion) -> bool {
        self.takeover.complete_for(model) || self.bugs.has(Bug::EvictsInTakeover)
    }

    /// Returns the idle adapters that may be evicted.
    pub(super) fn evictable(&self) -> impl Iterator<Item = (&AdapterVersion, &IdleSlot)> {
        let idle = self.slots.idle();
        idle.filter(|(model, _)| self.may_unload() && self.may_evict(model))
    }

    /// Returns the weight of load stalls relative to batch efficiency, from 0.1 to 10.
    pub(super) fn stall_weight(&self) -> f64 {
        let weights = self.cfg.weights;
        let ratio = weights.load_stalls.max(f64::MIN_POSITIVE)
            / weights.batch_efficiency.max(f64::MIN_POSITIVE);
        ratio.clamp(0.1, 10.0)
    }
}

/// Removes and returns the candidate with the lowest cost.
fn take_least<'a>(
    candidates: &mut Vec<(f64, &'a AdapterVersion)>,
) -> Option<(f64, &'a AdapterVersion)> {
    let costs = candidates.iter().enumerate();
    let (least, _) = costs.min_by(|(_, left), (_, right)| left.0.total_cmp(&right.0))?;
    Some(candidates.swap_remove(least))
}
