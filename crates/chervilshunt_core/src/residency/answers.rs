//! Handles the answers of targets to orders and report requests.

use std::cmp::Ordering;

use chervilshunt_model::{Moment, TargetName};

use super::hold::{AdapterEntry, AdapterStage};
use super::models::report_models;
use super::order::{Order, OrderAnswer, OrderNumber, ResidencyAction, TargetReport};
use super::placement::FIRST_VERSION;
use super::placement::notification;
use super::planner::ResidencyPlanner;
use super::target::OrderState;
use crate::dispatch::TargetFacts;
use crate::owner::OrderKind;

impl ResidencyPlanner {
    /// Handles a target's answer to an order.
    pub(super) fn order_answered(
        &mut self,
        number: OrderNumber,
        answer: OrderAnswer,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let in_flight = self
            .targets
            .values()
            .find_map(|target| match &target.order_state {
                OrderState::InFlight(order) if order.number == number => {
                    Some((order.clone(), target.ordered_at))
                }
                OrderState::InFlight(_)
                | OrderState::Unknown(_)
                | OrderState::Querying
                | OrderState::Idle(_) => None,
            });
        // An order to a target that is gone, or that was given up on, no longer has any effect.
        let Some((order, ordered_at)) = in_flight else {
            return;
        };
        let lag = self.cfg.report_lag;
        let accepted = order.accepted_before;
        let order_state = match answer {
            // A report shows when the order has ended, and with what result.
            _ if order.weights.adapter.is_none() => OrderState::Unknown(now + lag),
            // The repeated order of a load that is still in progress is not counted.
            OrderAnswer::Accepted if self.is_confirming(&order) => OrderState::Idle(accepted),
            // The target waits for the last request with the adapter to end, and does not report
            // when it is done.
            OrderAnswer::Accepted if order.kind == OrderKind::Unload => {
                OrderState::Unknown(now + lag)
            }
            OrderAnswer::Accepted => OrderState::Idle(accepted + 1),
            // A load order for an adapter that is already loaded is not counted; an unload that
            // completes immediately is.
            OrderAnswer::Done if order.kind == OrderKind::Load => OrderState::Idle(accepted),
            OrderAnswer::Done => OrderState::Idle(accepted + 1),
            // An immediate retry could repeat forever.
            OrderAnswer::NotSent
            | OrderAnswer::OutOfTurn
            | OrderAnswer::OtherTarget
            | OrderAnswer::Refused => OrderState::Unknown(now + lag),
            // The outcome is visible this long after the order was sent, and most of that time has
            // passed.
            OrderAnswer::Unanswered => OrderState::Unknown(now.max(ordered_at + lag)),
        };
        if let Some(target) = self.targets.get_mut(&order.target) {
            target.order_state = order_state;
            target.touched = true;
            if answer == OrderAnswer::Unanswered {
                target.lost.note(&order, now);
            }
        }
        if order.weights.adapter.is_none() {
            return self.model_order_answered(&order, answer, now, out);
        }
        match order.kind {
            OrderKind::Load => self.load_answered(&order, answer, now, out),
            OrderKind::Unload => self.unload_answered(&order, answer),
        }
    }

    fn is_confirming(&self, order: &Order) -> bool {
        let target = self.targets.get(&order.target);
        let entry = target.and_then(|it| it.adapters.get(&order.weights));
        entry.is_some_and(|entry| entry.state == AdapterStage::Confirming)
    }

    fn load_answered(
        &mut self,
        order: &Order,
        answer: OrderAnswer,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let load_recheck = now + self.cfg.load_recheck;
        let in_progress = self.loads_in_progress();
        let times = self.load_times();
        let Some(target) = self.targets.get_mut(&order.target) else {
            return;
        };
        let Some(entry) = target.adapters.get_mut(&order.weights) else {
            return;
        };
        let confirming = entry.state == AdapterStage::Confirming;
        match answer {
            OrderAnswer::Done => {
                if let Some(took) = entry.accepted_at.take().map(|at| now.since(at)) {
                    // A load that has ended by its first check was not slow, however late a busy
                    // placer checked it.
                    let took = if entry.was_overdue {
                        took
                    } else {
                        took.min(times.of(entry.from_store) + self.cfg.load_margin)
                    };
                    let quick = took <= self.cfg.max_warm_load;
                    match entry.adapters_since {
                        Some(since) if quick && entry.from_store => self.memory.was_kept(since),
                        _ if entry.from_store => self.window.ended(took, in_progress, now),
                        _ => {}
                    }
                }
                let (version, outdated) = (entry.version, entry.outdated);
                let waiting_requests = entry.ready(now);
                target.recent_adapters.record(order.weights.clone());
                out.push(notification(&order.target, &order.weights, Some(version)));
                self.answer_loaded(waiting_requests, &order.target, outdated, now, out);
            }
            // Another order has been executed in the meantime, so the answer says nothing about
            // this load.
            OrderAnswer::OutOfTurn if confirming => {
                entry.state = AdapterStage::Loading(load_recheck)
            }
            // The load is still in progress.
            OrderAnswer::Accepted if confirming => {
                let after = entry.accepted_at.map(|at| now.since(at));
                if !entry.from_store && after.is_some_and(|it| it > self.cfg.max_warm_load) {
                    entry.from_store = true;
                    self.memory
                        .was_forgotten(entry.adapters_since.unwrap_or_default());
                }
                entry.was_overdue = true;
                entry.state = AdapterStage::Loading(load_recheck);
            }
            OrderAnswer::Accepted => {
                let load_time = times.of(entry.from_store);
                entry.state = AdapterStage::Loading(now + load_time + self.cfg.load_margin);
                entry.accepted_at = Some(now);
            }
            // A load that should have ended by now most likely has; if not, the target refuses the
            // requests without running them. The waiting requests would be no better off at another
            // target.
            OrderAnswer::Unanswered if confirming => {
                // The time at which the load ended will not be known; a late guess would look like
                // a slow weight store.
                entry.accepted_at = None;
                let waiting_requests = entry.take_waiting_requests();
                let outdated = entry.outdated;
                self.answer_loaded(waiting_requests, &order.target, outdated, now, out);
            }
            // Without an answer the adapter may still be loaded, and counts as taking a slot until
            // the target has reported.
            OrderAnswer::Unanswered => {
                let waiting_requests = entry.take_waiting_requests();
                self.place_elsewhere(&order.target, waiting_requests, now, out);
            }
            OrderAnswer::OutOfTurn
            | OrderAnswer::OtherTarget
            | OrderAnswer::Refused
            | OrderAnswer::NotSent => {
                let waiting_requests = entry.take_waiting_requests();
                target.adapters.shift_remove(&order.weights);
                self.place_elsewhere(&order.target, waiting_requests, now, out);
            }
        }
    }

    fn unload_answered(&mut self, order: &Order, answer: OrderAnswer) {
        let Some(target) = self.targets.get_mut(&order.target) else {
            return;
        };
        match answer {
            OrderAnswer::Done => target.adapter_unloaded(&order.weights),
            // The target waits for its last requests; the next report shows whether the adapter has
            // been unloaded.
            OrderAnswer::Accepted | OrderAnswer::Unanswered => {}
            OrderAnswer::OutOfTurn
            | OrderAnswer::OtherTarget
            | OrderAnswer::Refused
            | OrderAnswer::NotSent => {
                if let Some(entry) = target.adapters.get_mut(&order.weights) {
                    entry.state = AdapterStage::Ending;
                }
            }
        }
    }

    /// Applies a target's report of what it holds.
    pub(super) fn target_reported(
        &mut self,
        name: &TargetName,
        report: &TargetReport,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let ready_at = now + self.load_times().fetch + self.cfg.load_margin;
        let mut loaded = Vec::new();
        let mut lost = Vec::new();
        match self.compare_start(name, report.started) {
            // The report is from before the current start of the target.
            Some(Ordering::Less) => return self.report_failed(name, now),
            Some(Ordering::Greater) => return self.restart_reported(name, report, now, out),
            Some(Ordering::Equal) | None => {}
        }
        let Some(target) = self.targets.get(name) else {
            return;
        };
        if target.order_state != OrderState::Querying || !self.model_order_ended(name, report, now)
        {
            return;
        }
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.order_state = OrderState::Idle(report.accepted);
        target.was_queried = true;
        target.has_answered = true;
        target.touched = true;
        let listed = |weights: &_| {
            let held = report.adapters.iter().any(|(held, _)| held == weights);
            held || report.loading.iter().any(|(it, _)| it == weights)
        };
        let unlisted: Vec<_> = target
            .adapters
            .iter()
            .filter(|(weights, entry)| entry.state != AdapterStage::Planned && !listed(weights))
            .map(|(weights, _)| weights.clone())
            .collect();
        for weights in unlisted {
            if let Some(entry) = target.adapters.get_mut(&weights) {
                lost.extend(entry.take_waiting_requests());
            }
            target.adapter_unloaded(&weights);
            out.push(notification(name, &weights, None));
        }
        for (weights, version) in &report.adapters {
            let newest = self.newest.get(weights).copied().unwrap_or_default();
            let fresh = AdapterEntry {
                free_from: now + self.cfg.usage_report_time,
                ..AdapterEntry::new(AdapterStage::Ready, *version, now)
            };
            let entry = target.adapters.entry(weights.clone()).or_insert(fresh);
            // Its last request has not ended, or the order was lost: the order is sent again.
            if entry.state == AdapterStage::Unloading {
                entry.state = AdapterStage::Ending;
                continue;
            }
            entry.state = AdapterStage::Ready;
            entry.version = *version;
            entry.outdated = *version < newest;
            out.push(notification(name, weights, Some(*version)));
            loaded.push((entry.take_waiting_requests(), entry.outdated));
        }
        for (weights, told) in &report.loading {
            // Its end is learnt of by ordering it again, which must not replace a newer version.
            let newest = self.newest.get(weights).copied();
            let version = newest.max(*told).unwrap_or(FIRST_VERSION);
            let found_loading = AdapterEntry::new(AdapterStage::Loading(ready_at), version, now);
            let entry = target
                .adapters
                .entry(weights.clone())
                .or_insert(found_loading);
            // A lost order may be executed while the same load is planned again. If the load stayed
            // planned it would count for no slot, and the next order could exceed the target's
            // slots, which kills it.
            if matches!(entry.state, AdapterStage::Ordered | AdapterStage::Planned) {
                entry.state = AdapterStage::Loading(ready_at);
            }
        }
        for (waiting_requests, outdated) in loaded {
            self.answer_loaded(waiting_requests, name, outdated, now, out);
        }
        self.refuse(lost, out);
    }

    /// Handles the report of a start that the platform does not list yet.
    fn restart_reported(
        &mut self,
        name: &TargetName,
        report: &TargetReport,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let facts = TargetFacts {
            started: report.started,
            models: report_models(report),
            ..target.facts.clone()
        };
        self.target_restarted(facts, now, out);
    }

    /// Records that a target did not answer a report request.
    pub(super) fn report_failed(&mut self, name: &TargetName, now: Moment) {
        let again = now + self.cfg.report_lag;
        if let Some(target) = self.targets.get_mut(name)
            && target.order_state == OrderState::Querying
        {
            target.order_state = OrderState::Unknown(again);
            target.was_queried = true;
            target.touched = true;
        }
    }
}
