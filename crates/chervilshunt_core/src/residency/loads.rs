//! Schedules orders: at most one in flight per target, and no more loads than the weight store can
//! serve.

use chervilshunt_model::{Moment, TargetName};
use indexmap::IndexSet;

use super::hold::{AdapterEntry, AdapterStage};
use super::order::{Order, ResidencyAction};
use super::placement::notification;
use super::planner::ResidencyPlanner;
use super::target::OrderState;
use crate::dispatch::Weights;
use crate::owner::OrderKind;

impl ResidencyPlanner {
    /// Performs whatever has become due or possible on any target.
    pub(super) fn advance(&mut self, now: Moment, out: &mut Vec<ResidencyAction>) {
        let due = self.targets.iter().filter(|(_, target)| {
            let summary = &target.summary;
            target.touched
                || summary.depends_on_others
                || summary.wake_at.is_some_and(|at| at <= now)
        });
        let mut names: IndexSet<TargetName> = due.map(|(name, _)| name.clone()).collect();
        for name in &names {
            if let Some(target) = self.targets.get_mut(name) {
                target.lost.forget_old(now);
            }
            self.drop_expired(name, now, out);
        }
        self.admit();
        names.extend(self.admitted.iter().map(|(name, _)| name.clone()));
        self.pick_model_updates(now);
        names.extend(self.model_updates.iter().cloned());
        for name in &names {
            self.retire_outdated(name, now, out);
            self.query_if_due(name, now, out);
            self.next_order(name, now, out);
        }
        for name in &names {
            self.summarize(name, now);
        }
    }

    /// Returns the loads that have not been ordered.
    pub(super) fn waiting_loads(
        &self,
    ) -> impl Iterator<Item = (&AdapterEntry, &TargetName, &Weights)> {
        let targets = self.targets.iter();
        let targets = targets.filter(|(_, it)| it.touched || it.summary.planned > 0);
        targets.flat_map(|(name, target)| {
            let planned = target.adapters.iter();
            let planned = planned.filter(|(_, entry)| entry.is_planned());
            planned.map(move |(weights, entry)| (entry, name, weights))
        })
    }

    /// Returns the number of loads from the weight store that have not been ordered.
    pub(super) fn waiting_fetches(&self) -> usize {
        let targets = self.targets.values().map(|it| {
            if it.touched {
                let adapters = it.adapters.values();
                adapters
                    .filter(|it| it.is_planned() && it.from_store)
                    .count()
            } else {
                it.summary.planned_fetches
            }
        });
        targets.sum()
    }

    /// Returns the number of adapter loads from the weight store that are in progress.
    pub(super) fn loads_in_progress(&self) -> usize {
        let targets = self.targets.values();
        let fetching = targets.map(|it| {
            if it.touched {
                it.fetching()
            } else {
                it.summary.fetching
            }
        });
        fetching.sum()
    }

    /// Returns whether a target could start loading an adapter now.
    fn can_begin(&self, name: &TargetName, weights: &Weights) -> bool {
        let Some(target) = self.targets.get(name) else {
            return false;
        };
        let limits = self.limits.get(&target.facts.service);
        matches!(target.order_state, OrderState::Idle(_))
            && target.loading() < self.cfg.loads_per_target
            && target.model_order.is_none()
            && limits.is_some_and(|it| target.slots_taken() < it.adapters_beside(&weights.model))
    }

    /// Admits planned loads: all loads from a target's memory, and as many loads from the weight
    /// store as fit into the window, oldest first.
    ///
    /// Loads that wait for a slot, or for their target's answer to an order, are skipped: they
    /// would occupy the window without loading anything.
    fn admit(&mut self) {
        let room = self.window.size().saturating_sub(self.loads_in_progress());
        let waiting = self.waiting_loads();
        let waiting = waiting.filter(|(_, name, weights)| self.can_begin(name, weights));
        let (mut fetches, reloads): (Vec<_>, Vec<_>) =
            waiting.partition(|(entry, ..)| entry.from_store);
        fetches.sort_by_key(|(entry, ..)| entry.since);
        let admitted = fetches.into_iter().take(room).chain(reloads);
        self.admitted = admitted
            .map(|(_, name, weights)| (name.clone(), weights.clone()))
            .collect();
    }

    /// Drops planned loads that would end after every waiting request has timed out, so that those
    /// requests are answered while they can still retry.
    fn drop_expired(&mut self, name: &TargetName, now: Moment, out: &mut Vec<ResidencyAction>) {
        let times = self.load_times();
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let expired = target.adapters.extract_if(.., |_, entry| {
            let ends_at = now + times.of(entry.from_store);
            let is_too_late = entry.needed_until.is_some_and(|until| until <= ends_at);
            entry.is_planned() && is_too_late
        });
        let waiting_requests: Vec<u64> = expired
            .flat_map(|(_, entry)| entry.waiting_requests)
            .collect();
        self.refuse(waiting_requests, out);
    }

    fn query_if_due(&mut self, name: &TargetName, now: Moment, out: &mut Vec<ResidencyAction>) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if matches!(target.order_state, OrderState::Unknown(at) if at <= now) {
            target.order_state = OrderState::Querying;
            out.push(ResidencyAction::QueryTarget(name.clone()));
        }
    }

    /// Sends a target its next order if it can accept one.
    fn next_order(&mut self, name: &TargetName, now: Moment, out: &mut Vec<ResidencyAction>) {
        let Some(OrderState::Idle(accepted)) =
            self.targets.get(name).map(|it| it.order_state.clone())
        else {
            return;
        };
        let next = self
            .next_model_order(name, now, out)
            .or_else(|| self.next_confirmation(name, now))
            .or_else(|| self.next_load(name))
            .or_else(|| self.next_unload(name, now))
            .or_else(|| self.next_victim(name, now));
        let Some((kind, weights, version)) = next else {
            return;
        };
        let order = Order {
            number: self.next_number(),
            target: name.clone(),
            kind,
            version,
            accepted_before: accepted,
            weights: weights.clone(),
        };
        if kind == OrderKind::Unload {
            out.push(notification(name, &weights, None));
        }
        if let Some(target) = self.targets.get_mut(name) {
            let adapters_since = target.recent_adapters.since(&weights);
            if let Some(entry) = target.adapters.get_mut(&weights) {
                if entry.is_planned() {
                    entry.adapters_since = adapters_since;
                }
                entry.state = match kind {
                    OrderKind::Load if entry.state == AdapterStage::Planned => {
                        AdapterStage::Ordered
                    }
                    OrderKind::Load => AdapterStage::Confirming,
                    OrderKind::Unload => AdapterStage::Unloading,
                };
            }
            target.order_state = OrderState::InFlight(order.clone());
            target.ordered_at = now;
        }
        out.push(ResidencyAction::Order(order));
    }

    /// Returns a load that should have ended by now.
    ///
    /// Targets do not report the end of a load, and its duration depends on how many others the
    /// weight store serves. Repeating the order reveals it: the adapter is already loaded, or the
    /// load is still in progress.
    fn next_confirmation(
        &self,
        name: &TargetName,
        now: Moment,
    ) -> Option<(OrderKind, Weights, Option<u64>)> {
        let target = self.targets.get(name)?;
        let mut adapters = target.adapters.iter();
        let due =
            adapters.find(|(_, it)| matches!(it.state, AdapterStage::Loading(at) if at <= now));
        due.map(|(weights, entry)| {
            (
                OrderKind::Load,
                weights.clone(),
                self.ordered_version(weights, entry),
            )
        })
    }

    fn ordered_version(&self, weights: &Weights, entry: &AdapterEntry) -> Option<u64> {
        self.newest.contains_key(weights).then_some(entry.version)
    }

    /// Returns the next admitted load.
    fn next_load(&self, name: &TargetName) -> Option<(OrderKind, Weights, Option<u64>)> {
        let target = self.targets.get(name)?;
        let mut planned = target.adapters.iter();
        let (weights, entry) = planned.find(|(weights, entry)| {
            entry.state == AdapterStage::Planned
                && self.admitted.contains(&(name.clone(), (*weights).clone()))
        })?;
        if !self.can_begin(name, weights) {
            return None;
        }
        Some((
            OrderKind::Load,
            weights.clone(),
            self.ordered_version(weights, entry),
        ))
    }

    /// Returns the next adapter that is to be unloaded.
    fn next_unload(
        &self,
        name: &TargetName,
        now: Moment,
    ) -> Option<(OrderKind, Weights, Option<u64>)> {
        let target = self.targets.get(name)?;
        let due = target.unused_adapter(&self.cfg, now)?;
        Some((OrderKind::Unload, due.clone(), None))
    }

    /// Returns an adapter to evict for a planned load.
    ///
    /// It is evicted only once its slot is needed: until then, it can serve the next request
    /// without a load.
    fn next_victim(
        &self,
        name: &TargetName,
        now: Moment,
    ) -> Option<(OrderKind, Weights, Option<u64>)> {
        let target = self.targets.get(name)?;
        let limits = self.limits.get(&target.facts.service)?;
        let model = target.facts.models.first()?;
        if !target.lacks_slot(limits.adapters_beside(&model.name)) {
            return None;
        }
        let victim = target.victim(now)?;
        Some((OrderKind::Unload, victim.clone(), None))
    }
}
