//! Which adapter makes room for another, and whether any should.

use chervilshunt_model::{AdapterVersion, Class, Moment};

use super::Owner;
use super::slots::IdleSlot;
use super::tuning::{RETIRE_AFTER_DEFERRABLE, RETIRE_AFTER_LIVE};
use crate::LoadUrgency;
use crate::bugs::Bug;

/// Worth of a request that waits for nothing but room, in requests a second of lasting demand.
const READY_REQUEST_WORTH: f64 = 1.0;

/// Time over which a request for an evicted adapter would be missed, in seconds.
const MISS_WINDOW_S: f64 = 60.0;

/// Waiting time of deferrable requests, summed, that makes up for a second of expected stall.
const WAIT_PER_STALL: f64 = 30.0;

/// Time after which a deferrable request gets its slot in any case, in milliseconds.
///
/// One that waits alone makes up for a second of stall only after 30 s, and would be refused at its
/// deadline on each try. It is half of the shortest deadline that deferrable work has by default,
/// so that the other half is left for a turn, the load and the answer.
const MAX_DEFERRAL_MS: u64 = 10_000;

/// Part of the demand promised by the loaded adapters below which popularity may have moved.
const STABLE_HIT_RATIO: f64 = 1.05;

/// How fast that becomes certain as the part that comes true falls: at 0.88 it is.
const SHIFT_GAIN: f64 = 6.0;

/// Wait for a turn to load at which as many slots are protected as ever, in seconds.
const PROTECTION_WAIT_S: f64 = 1.0;

/// Part of the slots that is protected at most.
const MAX_PROTECTED_PART: f64 = 0.9;

/// The adapter that makes room most cheaply.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Victim {
    /// The adapter.
    pub(super) model: AdapterVersion,
    /// Its worth, by [`Owner::worth`].
    pub(super) worth: f64,
    /// The adapter that would have been next.
    pub(super) runner_up: Option<AdapterVersion>,
}

impl Owner {
    /// Returns what an adapter's slot is worth: the rate at which giving it up would make
    /// requests wait.
    ///
    /// The cost of loading again is this rate times the time that a load takes at the present
    /// length of the load queue. That time is the same for all slots of a target, so it counts
    /// only where worth is set against waiting.
    pub(super) fn worth(&self, model: &AdapterVersion, now: Moment) -> f64 {
        self.demand.long_term(model, now)
            + READY_REQUEST_WORTH * f64::from(self.queue.ready_for(model))
    }

    /// Returns the idle adapter that makes room most cheaply.
    pub(super) fn victim(&self, now: Moment) -> Option<Victim> {
        if !self.may_evict() {
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

    /// Returns the idle adapters without those used most recently, as many as are protected.
    ///
    /// When popularity moves, an adapter that has just been loaded has shown little demand yet, and
    /// would be the next to go; its next request would find it gone, and the same adapters would
    /// be loaded again and again just when loads are short. So the longer loads wait for their
    /// turn, the more are protected, but only while the loaded adapters are asked for less than
    /// their past promised: recency evicts worse than demand where popularity stays, and a queue
    /// of loads that made evictions worse would feed itself.
    fn candidates(&self, now: Moment) -> impl Iterator<Item = (&AdapterVersion, &IdleSlot)> {
        let mut idle: Vec<(&AdapterVersion, &IdleSlot)> = self.slots.idle().collect();
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

    /// Whether an adapter is waited for badly enough to give up a slot of this worth.
    ///
    /// Live requests always are. Deferrable ones gather until their waiting makes up for the
    /// stall that is to be expected, so that many of them share a load; as they wait longer, they
    /// get their slot in any case.
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

    /// Stops granting permits for the pinned adapter of least worth, when a load has waited too
    /// long for any slot to become idle.
    ///
    /// Without it a target whose slots are all in steady use would never load another adapter.
    pub(super) fn retire_one(&mut self, urgency: &LoadUrgency, now: Moment) -> bool {
        let patience = match urgency.class {
            Some(Class::Live) => RETIRE_AFTER_LIVE,
            Some(Class::Deferrable) => RETIRE_AFTER_DEFERRABLE,
            None => return false,
        };
        let patient = u128::from(urgency.oldest_ms) < patience.as_millis();
        if patient || !self.may_evict() {
            return false;
        }
        let serving = self.slots.pinned().filter(|(_, slot)| !slot.retiring);
        let worth = |model: &AdapterVersion| self.worth(model, now);
        let least = serving.min_by(|left, right| worth(left.0).total_cmp(&worth(right.0)));
        let Some(model) = least.map(|(model, _)| model.clone()) else {
            return false;
        };
        self.slots.retire(&model);
        self.model_unavailable(&model, now);
        true
    }

    /// Whether adapters may be unloaded at all.
    pub(super) fn may_evict(&self) -> bool {
        let complete = self.takeover.complete() || self.bugs.has(Bug::EvictsInTakeover);
        complete && self.knows_adapters() && self.engine.reachable && !self.fenced
    }

    /// Returns how much stalls are minded, against full batches.
    pub(super) fn stall_weight(&self) -> f64 {
        let weights = self.cfg.weights;
        let ratio = weights.load_stalls.max(f64::MIN_POSITIVE)
            / weights.batch_efficiency.max(f64::MIN_POSITIVE);
        ratio.clamp(0.1, 10.0)
    }
}

/// Takes the candidate of least cost out.
fn take_least<'a>(
    candidates: &mut Vec<(f64, &'a AdapterVersion)>,
) -> Option<(f64, &'a AdapterVersion)> {
    let costs = candidates.iter().enumerate();
    let (least, _) = costs.min_by(|(_, left), (_, right)| left.0.total_cmp(&right.0))?;
    Some(candidates.swap_remove(least))
}
