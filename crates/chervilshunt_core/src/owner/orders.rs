//! Orders to the engine and the handling of their results.

use chervilshunt_model::{AdapterVersion, AttemptId, Class, Moment};

use super::action::OwnerAction;
use super::loads::LoadPhase;
use super::order::{EngineOrder, OrderFailure, OrderId, OrderKind};
use super::slots::SlotTransition;
use super::tuning::{DEFERRABLE_LOAD_ATTEMPTS, LIVE_LOAD_ATTEMPTS};
use super::{ORDER_BITS, Owner};
use crate::RefusalReason;
use crate::bugs::Bug;

impl Owner {
    /// Sends an order to the engine.
    pub(super) fn send_order(
        &mut self,
        id: OrderId,
        kind: OrderKind,
        model: &AdapterVersion,
        out: &mut Vec<OwnerAction>,
    ) {
        self.orders.insert(id, (kind, model.clone()));
        out.push(OwnerAction::Order(EngineOrder {
            id,
            epoch: self.cfg.epoch,
            kind,
            model: model.clone(),
        }));
    }

    /// Handles the end of an order; an order that has ended before is ignored.
    ///
    /// A refusal of the fencing number shows that another instance owns the target, so it counts
    /// however late it arrives.
    pub(super) fn order_ended(
        &mut self,
        order: OrderId,
        result: Result<(), OrderFailure>,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let again = self.bugs.has(Bug::HandlesAnswerTwice);
        let again = again.then(|| self.orders.get(&order).cloned()).flatten();
        let known = again.or_else(|| self.orders.swap_remove(&order));
        let own = order.0 >> ORDER_BITS == self.cfg.epoch.get();
        let ignored = self.bugs.has(Bug::IgnoresFencedAnswer);
        if own && result == Err(OrderFailure::Fenced) && !ignored {
            self.superseded(now, out);
            return;
        }
        let Some((kind, model)) = known else {
            return;
        };
        if self.barrier_ended(order, result) {
            return;
        }
        match kind {
            OrderKind::Load => self.load_ended(order, &model, result, now, out),
            OrderKind::Unload => self.unload_ended(order, &model, result, now),
        }
        self.loads.review_due = true;
    }

    /// Ends all pending orders with an unknown result, because the engine is unreachable.
    ///
    /// A result that arrives later may have been sent before a restart, in which case its effect is
    /// lost.
    pub(super) fn fail_pending_orders(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        let pending: Vec<OrderId> = self.orders.keys().copied().collect();
        for order in pending {
            self.order_ended(order, Err(OrderFailure::Unknown), now, out);
        }
    }

    /// Reconciles the slots with the engine's listing.
    pub(super) fn inventory(
        &mut self,
        listed: &[AdapterVersion],
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(requested_at) = self.engine.inventory_answered() else {
            return;
        };
        if self.fenced {
            return;
        }
        self.start_barrier(listed, out);
        let change = self.slots.reconcile(listed, requested_at, now);
        for model in &change.missing {
            self.model_unavailable(model, now);
            self.remember_evicted(model);
        }
        for model in &change.found {
            self.model_available(model, now, out);
        }
        for model in &change.not_unloaded {
            let order = self.loads.new_order();
            self.slots.restart_unload(model, order, now);
            self.send_order(order, OrderKind::Unload, model, out);
        }
        if change.incomplete {
            self.engine.require_inventory();
        }
        self.slots.prune_recent_unloads(requested_at, now);
        self.loads.review_due = true;
    }

    /// Handles a call's report that the engine does not hold the adapter of its permit.
    ///
    /// An adapter that was loaded after the permit was granted stays, since the call was answered
    /// before that load.
    pub(super) fn adapter_missing(&mut self, model: &AdapterVersion, granted: Moment, now: Moment) {
        if self.slots.mark_missing(model, granted) {
            self.model_unavailable(model, now);
            self.remember_evicted(model);
        }
        self.engine.require_inventory();
    }

    /// Moves the requests for an adapter that is loaded now from waiting for its load to waiting
    /// for batch capacity.
    pub(super) fn model_available(
        &mut self,
        model: &AdapterVersion,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        self.queue.unblock(model, now);
        self.evicted.swap_remove(model);
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

    /// Moves the requests for an adapter that no longer takes permits back to waiting for its load.
    pub(super) fn model_unavailable(&mut self, model: &AdapterVersion, now: Moment) {
        if self.queue.block(model, now) {
            self.loads.request(model, false, now);
        }
    }

    fn load_ended(
        &mut self,
        order: OrderId,
        model: &AdapterVersion,
        result: Result<(), OrderFailure>,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        out.push(OwnerAction::EndTurn {
            order,
            loaded: Some(result.is_ok()),
        });
        let phase = self.loads.get(model).map(|load| load.phase);
        if let (Some(LoadPhase::Ordered { at }), Ok(())) = (phase, result) {
            self.loads.record_load_time(now.since(at));
        }
        match result {
            Ok(()) => {
                self.slots.mark_loaded(model, now);
                self.last_load = Some(now);
                self.model_available(model, now, out);
                return;
            }
            Err(OrderFailure::Unknown) => {
                self.slots
                    .mark_unanswered(model, SlotTransition::MaybeLoaded, now)
            }
            Err(OrderFailure::Refused | OrderFailure::Fenced) => self.slots.mark_load_failed(model),
        }
        // The engine may refuse a load because it already holds the adapter, or because it holds
        // other adapters than expected. Its listing shows which.
        self.engine.require_inventory();
        let failed_attempts = self.loads.record_failure(model, now);
        self.refuse_after_failure(model, failed_attempts, now, out);
    }

    fn unload_ended(
        &mut self,
        order: OrderId,
        model: &AdapterVersion,
        result: Result<(), OrderFailure>,
        now: Moment,
    ) {
        if self.slots.transition(model) != Some(SlotTransition::Unloading(order)) {
            return;
        }
        match result {
            Ok(()) => self.slots.mark_unloaded(model, now, now),
            Err(OrderFailure::Unknown) => {
                self.slots
                    .mark_unanswered(model, SlotTransition::MaybeUnloaded, now);
                self.engine.require_inventory();
            }
            Err(OrderFailure::Refused | OrderFailure::Fenced) => {
                // The engine may not hold the adapter, or may have refused to unload it. Its
                // listing shows which.
                self.slots
                    .mark_unanswered(model, SlotTransition::MaybeUnloaded, now);
                self.engine.require_inventory();
            }
        }
    }

    /// Refuses or redirects at once the requests whose load attempts are used up.
    fn refuse_after_failure(
        &mut self,
        model: &AdapterVersion,
        failed_attempts: u32,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        // If the engine has loaded nothing since this load was requested, the engine may be at
        // fault, and the next-ranked target may succeed. Otherwise the weights are at fault.
        let load_requested_at = self.loads.get(model).map_or(now, |load| load.requested_at);
        let engine_at_fault = self.last_load.is_none_or(|last| last < load_requested_at);
        let rejected: Vec<AttemptId> = self
            .queue
            .blocked_on(model)
            .iter()
            .copied()
            .filter(|attempt| {
                let class = self.queue.get(*attempt).map(|it| it.req.class);
                class.is_some_and(|class| failed_attempts >= max_load_attempts(class))
            })
            .collect();
        for attempt in rejected {
            if engine_at_fault {
                self.redirect_or_refuse_queued(attempt, RefusalReason::LoadFailed, now, out);
            } else {
                self.refuse_queued(attempt, RefusalReason::LoadFailed, now, out);
            }
        }
    }

    /// Stops all work because another instance owns the target.
    fn superseded(&mut self, now: Moment, out: &mut Vec<OwnerAction>) {
        self.fenced = true;
        let waiting: Vec<AttemptId> = self.queue.iter().map(|it| it.req.attempt).collect();
        for attempt in waiting {
            self.refuse_queued(attempt, RefusalReason::NotOwner, now, out);
        }
    }
}

/// Returns the number of failed load attempts after which requests of a class are refused.
pub(super) fn max_load_attempts(class: Class) -> u32 {
    match class {
        Class::Live => LIVE_LOAD_ATTEMPTS,
        Class::Deferrable => DEFERRABLE_LOAD_ATTEMPTS,
    }
}
