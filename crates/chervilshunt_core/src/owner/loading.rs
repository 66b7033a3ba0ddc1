//! The steps of a load, from the first waiting request to the order to the engine.

use chervilshunt_model::{AdapterVersion, Class, Moment};
use indexmap::IndexMap;

use super::Owner;
use super::action::OwnerAction;
use super::loads::LoadPhase;
use super::order::{LoadUrgency, OrderId, OrderKind};
use super::slots::SlotTransition;
use super::tuning::{
    DEFERRABLE_LOAD_AGE, DEFERRABLE_SLOT_DIVISOR, ENOUGH_READY_DEFERRABLE, MAX_REQUESTED_TURNS,
    PARKED_REVIEW_INTERVAL, PRELOAD_DEMAND_PER_S, PRELOAD_INTERVAL, TURN_RENEWAL_INTERVAL,
};
use crate::DecisionKind;
use crate::bugs::Bug;

/// The urgency of a load that no request waits for.
const PRELOAD_URGENCY: LoadUrgency = LoadUrgency {
    class: None,
    waiters: 0,
    oldest_ms: 0,
};

impl Owner {
    /// Requests a load of the adapter of a waiting request. If that makes an already requested turn
    /// more urgent, the load scheduler is notified.
    pub(super) fn request_load(
        &mut self,
        model: &AdapterVersion,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        self.loads.request(model, false, now);
        let Some(load) = self.loads.get(model) else {
            return;
        };
        let LoadPhase::TurnRequested { .. } = load.phase else {
            return;
        };
        let first_live = self
            .queue
            .urgency(model, now)
            .is_some_and(|it| it.class == Some(Class::Live) && it.waiters == 1);
        if first_live {
            self.request_turn(model, now, out);
        }
    }

    /// Advances every load as far as possible.
    pub(super) fn advance_loads(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        if self.loads.is_empty() || self.fenced {
            return;
        }
        self.withdraw_unneeded(now, out);
        self.end_backoffs(now);
        self.use_turns(now, out);
        self.renew_turn_requests(now, out);
        self.renew_held_turns(now, out);
        if self.loads.review_due || now.since(self.loads.reviewed) >= PARKED_REVIEW_INTERVAL {
            self.loads.review_due = false;
            self.loads.reviewed = now;
            self.review_parked(now, out);
        }
        self.start_unscheduled_load(now, out);
    }

    /// Accepts a turn that the scheduler granted.
    pub(super) fn turn_granted(&mut self, order: OrderId, now: Moment, out: &mut Vec<OwnerAction>) {
        let model = self.loads.model_of(order).cloned();
        let load = model.as_ref().and_then(|model| self.loads.get_mut(model));
        let Some(load) = load else {
            // The load was withdrawn in the meantime, or the grant is late. The turn is returned,
            // because the store would otherwise be idle until the turn times out.
            out.push(OwnerAction::EndTurn {
                order,
                loaded: None,
            });
            return;
        };
        if let LoadPhase::TurnRequested { .. } = load.phase {
            load.begin_turn(now);
        }
    }

    /// Records whether the scheduler is reachable. A scheduler that is back is notified of all
    /// turns, since it may be a new one.
    pub(super) fn scheduler_reachable(
        &mut self,
        reachable: bool,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        self.loads.scheduler_reachable = reachable;
        if !reachable {
            self.loads.unscheduled = Some(now);
            return;
        }
        for model in self
            .loads
            .at_phase(|phase| matches!(phase, LoadPhase::TurnRequested { .. }))
        {
            self.request_turn(&model, now, out);
        }
        let holding = |phase| matches!(phase, LoadPhase::HasTurn | LoadPhase::Ordered { .. });
        for model in self.loads.at_phase(holding) {
            let Some(load) = self.loads.get(&model) else {
                continue;
            };
            let order = load.order;
            out.push(OwnerAction::RenewTurn { order, model });
        }
    }

    /// Requests a preload of the evicted adapter with the highest long-term demand if that demand
    /// justifies it.
    pub(super) fn preload_evicted(&mut self, now: Moment) {
        let pause_over = now.since(self.last_preload_check) >= PRELOAD_INTERVAL;
        let idle_store = self.loads.scheduler_reachable
            && self.loads.is_empty()
            && self.loads.queue_wait(now) <= self.loads.load_time();
        let may_preload =
            self.cfg.mechanisms.ahead && pause_over && self.may_load() && !self.draining;
        if !may_preload || !idle_store {
            return;
        }
        self.last_preload_check = now;
        let demand = |model: &AdapterVersion| self.demand.long_term(model, now);
        let best = self
            .evicted
            .iter()
            .max_by(|a, b| demand(a).total_cmp(&demand(b)));
        let Some(best) = best.cloned() else {
            return;
        };
        if self.slots.free() > 0 && demand(&best) > PRELOAD_DEMAND_PER_S {
            self.loads.request(&best, true, now);
        }
    }

    /// Returns whether adapters may be loaded at all.
    pub(super) fn may_load(&self) -> bool {
        self.knows_adapters() && self.engine.reachable && !self.fenced
    }

    /// Returns whether the engine's adapters are known and only orders of this owner can change
    /// them.
    pub(super) fn knows_adapters(&self) -> bool {
        let settled = !self.slots.exist() || self.takeover.barrier_passed();
        self.engine.inventory_known && settled
    }

    fn withdraw_unneeded(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        let unneeded: Vec<AdapterVersion> = self
            .loads
            .iter()
            .filter(|(model, load)| {
                !load.preload
                    && self.queue.blocked_on(model).is_empty()
                    && !matches!(
                        load.phase,
                        LoadPhase::Ordered { .. } | LoadPhase::Backoff { .. }
                    )
            })
            .map(|(model, _)| model.clone())
            .collect();
        for model in unneeded {
            self.withdraw(&model, out);
        }
        self.unretire_if_unneeded(now, out);
    }

    fn withdraw(&mut self, model: &AdapterVersion, out: &mut Vec<OwnerAction>) {
        let Some(load) = self.loads.remove(model) else {
            return;
        };
        if matches!(
            load.phase,
            LoadPhase::TurnRequested { .. } | LoadPhase::HasTurn
        ) {
            out.push(OwnerAction::EndTurn {
                order: load.order,
                loaded: None,
            });
        }
    }

    /// Lets retiring adapters serve again once no load needs their slots.
    fn unretire_if_unneeded(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        if !self.slots.any_retiring() {
            return;
        }
        let needed = self.loads.iter().any(|(model, _)| !self.slots.holds(model));
        if needed {
            return;
        }
        for model in self.slots.unretire_all() {
            self.model_available(&model, now, out);
        }
    }

    fn end_backoffs(&mut self, now: Moment) {
        let over = |phase| matches!(phase, LoadPhase::Backoff { until } if until <= now);
        for model in self.loads.at_phase(over) {
            if self.queue.blocked_on(&model).is_empty() {
                self.loads.remove(&model);
            } else {
                self.loads.park(&model, now);
                self.loads.review_due = true;
            }
        }
    }

    fn use_turns(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        for model in self.loads.at_phase(|phase| phase == LoadPhase::HasTurn) {
            self.use_turn(&model, now, out);
        }
    }

    /// Uses a turn: orders the load if a slot is free, or an unload if a slot has to be freed
    /// first.
    fn use_turn(&mut self, model: &AdapterVersion, now: Moment, out: &mut Vec<OwnerAction>) {
        if !self.may_load() {
            self.return_turn(model, None, now, out);
            return;
        }
        if let Some(until) = self.slots.barred_until(model, now) {
            self.return_turn(model, Some(until), now, out);
            return;
        }
        match self.slots.transition(model) {
            None => {}
            Some(SlotTransition::Unloading(_)) => return,
            Some(
                SlotTransition::Loading(_)
                | SlotTransition::MaybeLoaded
                | SlotTransition::MaybeUnloaded,
            ) => {
                self.return_turn(model, None, now, out);
                return;
            }
        }
        if self.slots.free() > 0 {
            self.order_load(model, now, out);
            return;
        }
        let waiting = self.loads.count(|phase| phase == LoadPhase::HasTurn);
        if self.slots.unloading() >= waiting {
            return;
        }
        if !self.evict_for(model, now, out) {
            self.return_turn(model, None, now, out);
        }
    }

    fn order_load(&mut self, model: &AdapterVersion, now: Moment, out: &mut Vec<OwnerAction>) {
        let Some(load) = self.loads.get_mut(model) else {
            return;
        };
        load.phase = LoadPhase::Ordered { at: now };
        let (order, preload) = (load.order, load.preload);
        self.slots.start_load(model.clone(), order, now);
        self.evicted.swap_remove(model);
        let reason = if preload {
            "ahead of demand"
        } else {
            "requests wait for it"
        };
        self.log_model(DecisionKind::Load, model, reason, None, out);
        self.send_order(order, OrderKind::Load, model, out);
    }

    /// Orders the unload of the adapter of least worth.
    ///
    /// Returns whether there is an adapter that may be evicted for `model`.
    fn evict_for(
        &mut self,
        model: &AdapterVersion,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) -> bool {
        let Some(victim) = self.victim(now) else {
            return false;
        };
        if self.loads.get(model).is_some_and(|load| load.preload) {
            return false;
        }
        let Some(evictable) = self.slots.take_evictable(&victim.model) else {
            return false;
        };
        let order = self.loads.new_order();
        self.slots.start_unload(evictable, order, now);
        self.model_unavailable(&victim.model, now);
        self.remember_evicted(&victim.model);
        let reason = "least expected cost of loading again";
        self.log_model(
            DecisionKind::Evict,
            &victim.model,
            reason,
            victim.runner_up,
            out,
        );
        self.send_order(order, OrderKind::Unload, &victim.model, out);
        true
    }

    /// Ends a turn that can't be used now, so that the store is not idle in the meantime.
    fn return_turn(
        &mut self,
        model: &AdapterVersion,
        until: Option<Moment>,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(load) = self.loads.get(model) else {
            return;
        };
        out.push(OwnerAction::EndTurn {
            order: load.order,
            loaded: None,
        });
        match until {
            Some(until) => self.loads.delay_until(model, until, now),
            None => self.loads.park(model, now),
        }
    }

    fn renew_turn_requests(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        let due = |phase| matches!(phase, LoadPhase::TurnRequested { renewed } if now.since(renewed) >= TURN_RENEWAL_INTERVAL);
        for model in self.loads.at_phase(due) {
            self.request_turn(&model, now, out);
        }
    }

    /// Notifies the load scheduler of turns that have been in use for some time.
    ///
    /// The scheduler treats a turn that is not renewed as ended after a short time: an owner that
    /// is cut off from it can't report the end of a turn, and would block every other load of the
    /// store.
    fn renew_held_turns(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        let due = self
            .loads
            .iter()
            .filter(|(_, load)| load.turn_renewal_due(now));
        let due: Vec<AdapterVersion> = due.map(|(model, _)| model.clone()).collect();
        for model in due {
            if let Some(load) = self.loads.get_mut(&model) {
                load.reported_at = now;
                let order = load.order;
                out.push(OwnerAction::RenewTurn { order, model });
            }
        }
    }

    /// Requests turns for the parked loads that justify a slot, the most urgent first.
    fn review_parked(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        let mut parked: Vec<(LoadUrgency, AdapterVersion)> = self
            .loads
            .at_phase(|phase| phase == LoadPhase::Parked)
            .into_iter()
            .filter(|model| !self.slots.holds(model))
            .map(|model| (self.urgency(&model, now), model))
            .collect();
        if parked.is_empty() || !self.may_load() {
            return;
        }
        parked.sort_by_key(|(urgency, _)| {
            let rank = urgency.class.map_or(2, |class| class as u8);
            let waited = u64::from(urgency.waiters) * (urgency.oldest_ms + 1);
            (rank, std::cmp::Reverse(waited))
        });
        let under_way =
            |phase| matches!(phase, LoadPhase::TurnRequested { .. } | LoadPhase::HasTurn);
        let mut requested = self.loads.count(under_way);
        let free = self.slots.free() + self.slots.unloading();
        let idle = self.evictable().count();
        let victim = self.victim(now);
        let mut deferrable = self.deferrable_slots();
        for (urgency, model) in parked {
            if requested >= MAX_REQUESTED_TURNS {
                return;
            }
            if urgency.class == Some(Class::Deferrable) {
                let full = deferrable >= self.max_deferrable_slots();
                if full || self.has_enough_deferrable(&urgency) {
                    continue;
                }
                deferrable += 1;
            }
            if requested < free {
                requested += 1;
                self.request_turn(&model, now, out);
                continue;
            }
            let worth = victim.as_ref().map_or(f64::INFINITY, |it| it.worth);
            if requested >= free + idle {
                self.retire_if_overdue(&urgency, requested - free, now);
                return;
            }
            if self.worth_evicting(&urgency, worth, now) {
                requested += 1;
                self.request_turn(&model, now, out);
            }
        }
    }

    /// Returns the number of slots that serve deferrable work alone or are about to.
    ///
    /// Otherwise a flood of deferrable work over many adapters would pin slot after slot for the
    /// duration of its answers, and live requests would wait for a slot to be released.
    fn deferrable_slots(&self) -> usize {
        let mut live: IndexMap<&AdapterVersion, bool> = IndexMap::new();
        for permit in self.permits.iter().map(|held| &held.permit) {
            if let Some(model) = &permit.model {
                *live.entry(model).or_insert(false) |= permit.class == Class::Live;
            }
        }
        let pinned = live.values().filter(|live| !**live).count();
        let loads = self.loads.iter().filter(|(model, load)| {
            let under_way = !matches!(load.phase, LoadPhase::Parked | LoadPhase::Backoff { .. });
            under_way && self.queue.class_blocked_on(model) == Some(Class::Deferrable)
        });
        pinned + loads.count()
    }

    fn max_deferrable_slots(&self) -> usize {
        (self.cfg.slots as usize / DEFERRABLE_SLOT_DIVISOR).max(1)
    }

    /// Returns whether enough deferrable requests that need no load are waiting, so that a recent
    /// deferrable load can be postponed.
    fn has_enough_deferrable(&self, urgency: &LoadUrgency) -> bool {
        let young = u128::from(urgency.oldest_ms) < DEFERRABLE_LOAD_AGE.as_millis();
        young && self.queue.ready(Class::Deferrable) >= ENOUGH_READY_DEFERRABLE
    }

    /// Retires one adapter for loads that find all slots pinned, unless enough adapters are
    /// retiring already.
    fn retire_if_overdue(&mut self, urgency: &LoadUrgency, needed: usize, now: Moment) {
        let retiring = self
            .slots
            .pinned()
            .filter(|(_, slot)| slot.retiring)
            .count();
        if retiring <= needed {
            self.retire_one(urgency, now);
        }
    }

    fn start_unscheduled_load(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        if self.loads.scheduler_reachable {
            return;
        }
        let interval = self.cfg.unscheduled_load_interval;
        let due = self
            .loads
            .unscheduled
            .is_none_or(|last| now.since(last) >= interval);
        let under_way = |phase| matches!(phase, LoadPhase::HasTurn | LoadPhase::Ordered { .. });
        if !due || self.loads.count(under_way) > 0 {
            return;
        }
        let requested = self
            .loads
            .at_phase(|phase| matches!(phase, LoadPhase::TurnRequested { .. }));
        let urgent = |model: &AdapterVersion| {
            let urgency = self.urgency(model, now);
            let rank = urgency.class.map_or(2, |class| class as u8);
            (rank, std::cmp::Reverse(urgency.waiters))
        };
        let Some(model) = requested.into_iter().min_by_key(|model| urgent(model)) else {
            return;
        };
        self.loads.unscheduled = Some(now);
        if let Some(load) = self.loads.get_mut(&model) {
            load.begin_turn(now);
        }
        self.use_turn(&model, now, out);
    }

    fn request_turn(&mut self, model: &AdapterVersion, now: Moment, out: &mut Vec<OwnerAction>) {
        let urgency = self.urgency(model, now);
        let Some(load) = self.loads.get_mut(model) else {
            return;
        };
        load.phase = LoadPhase::TurnRequested { renewed: now };
        if self.bugs.has(Bug::LoadsWithoutTurn) {
            load.phase = LoadPhase::HasTurn;
        }
        out.push(OwnerAction::RequestTurn {
            order: load.order,
            model: model.clone(),
            urgency,
        });
    }

    fn urgency(&self, model: &AdapterVersion, now: Moment) -> LoadUrgency {
        self.queue.urgency(model, now).unwrap_or(PRELOAD_URGENCY)
    }
}
