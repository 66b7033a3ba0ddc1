//! Base models: loads one on a target that holds none, and updates one that has a newer version.
//!
//! An order to load a base model that is already loaded has no effect, whatever its version. To
//! update it, it is unloaded, which waits for the requests that use it and drops its adapters, and
//! then loaded again. A few targets at a time do so while the others serve. See
//! `docs/design/places.md`.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName};
use indexmap::IndexMap;

use super::order::{Order, OrderAnswer, ResidencyAction, TargetReport};
use super::placement::notification;
use super::planner::ResidencyPlanner;
use super::target::{OrderState, TargetState};
use crate::dispatch::{LoadedModel, Weights};
use crate::owner::OrderKind;

/// How soon a target that was still executing an order for a base model is asked again. Loads take
/// at least 0.6 s.
const MODEL_RECHECK: Duration = Duration::from_millis(200);
/// How often the targets to update next are selected. The selection inspects all outdated targets;
/// running it with every event would dominate the cost of a request.
const SELECTION_INTERVAL: Duration = Duration::from_millis(100);
/// How long a target's own report of its base models takes precedence over the platform's list.
/// Targets write their entry at least every 1.2 s, and an entry may be seen most of a second late:
/// an entry from before an order would cause an updated model to be unloaded again.
const REPORT_VALIDITY: Duration = Duration::from_millis(2_500);
/// How soon a base model is loaded again for a version that its last load did not bring. Without
/// this limit, a version missing from the weight store would cost each target its adapters every
/// few seconds; a version that arrives there slightly late is picked up by the second load.
const MIN_RELOAD_INTERVAL: Duration = Duration::from_secs(60);
/// How long an order for a base model counts its target as out of service when further targets are
/// selected. An order that never ends, on a target that cannot be queried, must not block the
/// update of the others.
const MAX_ORDER_TIME: Duration = Duration::from_secs(20);

/// An order for a base model that has been sent to a target.
///
/// It ends only with a report that shows the target idle. When it ended with the version that the
/// target lists instead, an order without effect never ended: the target stayed out of service and
/// the others were never updated. The report shows what to do next, whatever the order's outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ModelOrder {
    kind: OrderKind,
    given_at: Moment,
}

/// A base model load that was intended to bring the newest version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LoadedFor {
    weights: Weights,
    newest: u64,
    at: Moment,
}

/// The next step for a target's base models.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ModelStep {
    Load(Weights),
    Unload(Weights),
}

impl ResidencyPlanner {
    /// Returns the next order for a base model, if one is due.
    pub(super) fn next_model_order(
        &mut self,
        name: &TargetName,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) -> Option<(OrderKind, Weights, Option<u64>)> {
        let (kind, weights) = match self.model_step(name, now)? {
            ModelStep::Unload(weights) if self.model_updates.remove(name) => {
                (OrderKind::Unload, weights)
            }
            ModelStep::Load(weights) if self.may_load_model(name, now) => {
                self.store_loads.push_back(now);
                let waiting_requests = self.drop_adapters(name, out);
                self.refuse(waiting_requests, out);
                (OrderKind::Load, weights)
            }
            ModelStep::Unload(_) | ModelStep::Load(_) => return None,
        };
        let target = self.targets.get_mut(name)?;
        target.model_order = Some(ModelOrder {
            kind,
            given_at: now,
        });
        target.reloads = Some(weights.clone());
        Some((kind, weights, None))
    }

    fn model_step(&self, name: &TargetName, now: Moment) -> Option<ModelStep> {
        let target = self.targets.get(name)?;
        if target.model_order.is_some() || !target.takes_work() {
            return None;
        }
        if let Some(weights) = self.outdated_model(target, now) {
            return Some(ModelStep::Unload(weights));
        }
        let limits = self.limits.get(&target.facts.service)?;
        let configured = |it: &Weights| limits.models.iter().any(|spec| spec.name == it.model);
        let to_reload = target.reloads.as_ref().filter(|it| configured(it));
        if let Some(weights) = to_reload.filter(|it| !target.lists_model(&it.model)) {
            return Some(ModelStep::Load(weights.clone()));
        }
        if !target.facts.models.is_empty() {
            return None;
        }
        let held_at = |model: &str| {
            let targets = self.targets.values();
            targets.filter(|it| it.lists_model(model)).count()
        };
        let models = limits.models.iter();
        let rarest = models.min_by_key(|spec| held_at(&spec.name))?;
        Some(ModelStep::Load(Weights::base(&rarest.name)))
    }

    /// Returns a base model of which a target holds an outdated version, unless it has just been
    /// loaded for the newest one.
    fn outdated_model(&self, target: &TargetState, now: Moment) -> Option<Weights> {
        target.facts.models.iter().find_map(|held| {
            let weights = Weights::base(&held.name);
            let newest = self.newest.get(&weights).copied()?;
            let loaded = target.loaded_for.as_ref();
            let loaded = loaded.is_some_and(|it| {
                it.weights == weights
                    && it.newest >= newest
                    && now.since(it.at) < MIN_RELOAD_INTERVAL
            });
            (newest > held.version && !loaded).then_some(weights)
        })
    }

    /// Returns whether a target holds an outdated version of a base model.
    pub(super) fn has_outdated_model(&self, target: &TargetState, now: Moment) -> bool {
        self.outdated_model(target, now).is_some()
    }

    /// Returns whether a target lacks a base model that it is to load.
    pub(super) fn lacks_model(&self, name: &TargetName, now: Moment) -> bool {
        matches!(self.model_step(name, now), Some(ModelStep::Load(_)))
    }

    /// Records that a target is loading a base model. It is not called if the model was already
    /// loaded.
    fn note_load(&mut self, order: &Order, now: Moment) {
        let newest = self.newest.get(&order.weights).copied();
        if let Some(target) = self.targets.get_mut(&order.target) {
            target.loaded_for = newest.map(|newest| LoadedFor {
                weights: order.weights.clone(),
                newest,
                at: now,
            });
        }
    }

    /// Selects the targets that may unload an outdated model: the ones with the fewest requests, as
    /// many as keep the share of the service that is out of service within its limit.
    ///
    /// If all targets unloaded the model at once, it would be unavailable for as long as the
    /// longest stream; one after the other, at 5 s each, the last of 18 targets would be updated
    /// after a minute and a half.
    pub(super) fn pick_model_updates(&mut self, now: Moment) {
        if now.since(self.model_updates_picked_at) < SELECTION_INTERVAL {
            return;
        }
        self.model_updates_picked_at = now;
        self.model_updates.clear();
        let outdated = self.targets.iter();
        let outdated: Vec<_> = outdated
            .filter(|(_, it)| it.touched || it.summary.outdated)
            .filter(|(_, it)| self.has_outdated_model(it, now) && it.takes_work())
            .filter(|(_, it)| {
                it.model_order.is_none() && matches!(it.order_state, OrderState::Idle(_))
            })
            .collect();
        if outdated.is_empty() {
            return;
        }
        let mut by_service: IndexMap<&ServiceName, Vec<(&TargetName, u32)>> = IndexMap::new();
        for (name, target) in outdated {
            let waiting = by_service.entry(&target.facts.service).or_default();
            waiting.push((name, target.in_flight()));
        }
        let mut picked = HashSet::new();
        for (service, mut waiting) in by_service {
            waiting.sort_by_key(|(_, in_flight)| *in_flight);
            let room = self.updates_left(service, now);
            picked.extend(waiting.into_iter().take(room).map(|(name, _)| name.clone()));
        }
        self.model_updates = picked;
    }

    /// Returns how many more targets of a service may be taken out of service.
    fn updates_left(&self, service: &ServiceName, now: Moment) -> usize {
        let targets = self.targets.values();
        let targets = targets.filter(|it| it.facts.service == *service && it.takes_work());
        let away = targets.clone().filter(|it| it.is_without_model(now));
        let most = (targets.count() as f64 * self.cfg.max_updating_share).ceil();
        (most as usize).saturating_sub(away.count())
    }

    fn may_load_model(&mut self, name: &TargetName, now: Moment) -> bool {
        let orders = self
            .targets
            .values()
            .filter_map(|it| it.model_order.as_ref());
        let loading = orders.filter(|it| it.kind == OrderKind::Load && it.counts(now));
        loading.count() < self.cfg.base_loads_at_once && self.store_allows(name, now)
    }

    fn store_allows(&mut self, name: &TargetName, now: Moment) -> bool {
        let window = self.cfg.store_window;
        while self
            .store_loads
            .front()
            .is_some_and(|at| now.since(*at) > window)
        {
            self.store_loads.pop_front();
        }
        let service = self.targets.get(name).map(|it| &it.facts.service);
        let limits = service.and_then(|service| self.limits.get(service));
        limits.is_some_and(|limits| {
            let most = limits.loads_per_second * window.as_secs_f64() * self.cfg.store_share;
            (self.store_loads.len() as f64) < most
        })
    }

    /// Handles a target's answer to an order for a base model.
    ///
    /// Unloading a model also drops its adapters, so the requests that wait for one are placed
    /// elsewhere. The next report shows the result of an order that was not accepted.
    pub(super) fn model_order_answered(
        &mut self,
        order: &Order,
        answer: OrderAnswer,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        match (order.kind, answer) {
            (OrderKind::Unload, OrderAnswer::Accepted | OrderAnswer::Done) => {
                let waiting_requests = self.drop_adapters(&order.target, out);
                self.place_elsewhere(&order.target, waiting_requests, now, out);
            }
            (OrderKind::Load, OrderAnswer::Accepted) => self.note_load(order, now),
            (OrderKind::Load, OrderAnswer::Done)
            | (
                OrderKind::Load | OrderKind::Unload,
                OrderAnswer::OutOfTurn
                | OrderAnswer::OtherTarget
                | OrderAnswer::Refused
                | OrderAnswer::NotSent
                | OrderAnswer::Unanswered,
            ) => {}
        }
    }

    /// Applies a report of a target to its pending base model order, and returns whether none is
    /// pending any more.
    pub(super) fn model_order_ended(
        &mut self,
        name: &TargetName,
        report: &TargetReport,
        now: Moment,
    ) -> bool {
        let Some(target) = self.targets.get_mut(name) else {
            return false;
        };
        if target.model_order.is_none() {
            return true;
        }
        target.touched = true;
        target.was_queried = true;
        if report.busy {
            target.order_state = OrderState::Unknown(now + MODEL_RECHECK);
            return false;
        }
        target.model_order = None;
        target.facts.models = report_models(report);
        target.models_reported_until = now + REPORT_VALIDITY;
        true
    }

    /// Forgets all adapters of a target, and returns the placement requests that waited for them.
    fn drop_adapters(&mut self, name: &TargetName, out: &mut Vec<ResidencyAction>) -> Vec<u64> {
        let Some(target) = self.targets.get_mut(name) else {
            return Vec::new();
        };
        target.touched = true;
        let mut waiting_requests = Vec::new();
        for (weights, entry) in std::mem::take(&mut target.adapters) {
            if !entry.is_planned() {
                target.recent_adapters.record(weights.clone());
            }
            waiting_requests.extend(entry.waiting_requests);
            out.push(notification(name, &weights, None));
        }
        waiting_requests
    }
}

impl ModelOrder {
    fn counts(&self, now: Moment) -> bool {
        now.since(self.given_at) < MAX_ORDER_TIME
    }
}

impl TargetState {
    /// Returns whether the target cannot serve because it lacks its base model.
    fn is_without_model(&self, now: Moment) -> bool {
        match &self.model_order {
            Some(order) => order.counts(now),
            None => self.facts.models.is_empty(),
        }
    }
}

/// Returns the base models of a report, without adapters, which are tracked separately.
pub(super) fn report_models(report: &TargetReport) -> Vec<LoadedModel> {
    let models = report.models.iter().map(|(weights, version)| LoadedModel {
        name: Arc::clone(&weights.model),
        version: *version,
        adapters: Vec::new(),
    });
    models.collect()
}
