//! Base models: loading one at a target that holds none, and updating one that has a newer version.
//!
//! A load of a base model that is there holds already, in whatever version. To update it, it is given up,
//! which waits for the requests that use it and drops its adapters, and is loaded again. A few targets
//! at a time do so while the others serve. See `docs/design/places.md`.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName};
use indexmap::IndexMap;

use super::order::{Order, OrderAnswer, ResidencyAction, TargetReport};
use super::planner::Residency;
use super::target::{TargetState, Turn};
use super::wants::tell;
use crate::dispatch::{LoadedModel, Weights};
use crate::owner::OrderKind;

/// How soon a target that was found to be still at it is asked again about an order for a base model.
/// Loads take 0.6 s and more.
const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// How often targets are chosen that are updated next. That looks at all that are outdated: done with each
/// event, it would be most of what a request costs.
const PICK_EVERY: Duration = Duration::from_millis(100);
/// How long what a target has reported of its base models counts for more than what the platform lists
/// of them. Targets write at least every 1.2 s, and an entry may be seen most of a second late: one from
/// before an order would have an updated model given up once more.
const LISTED_LATE: Duration = Duration::from_millis(2_500);
/// How soon a base model is loaded once more for a version that its last load did not bring. A version that
/// the weight store doesn't have would otherwise cost each target its adapters every few seconds; one that
/// it has a little late comes with the second load.
const LOAD_AGAIN: Duration = Duration::from_secs(60);
/// How long an order for a base model counts as keeping its target from serving when targets are taken
/// out of use. One that never ends, at a target that can't be asked, must not keep others old.
const COUNTS_FOR: Duration = Duration::from_secs(20);

/// An order for a base model that has been given to a target.
///
/// It ends with a report that shows the target idle, and with nothing else. Ended by the version that the
/// target lists, an order that had changed nothing was never over: the target stayed out of use, and the
/// others were never updated. Whatever has become of an order, the report shows what to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ModelOrder {
    kind: OrderKind,
    given_at: Moment,
}

/// A load of a base model that was to bring the newest version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LoadedFor {
    weights: Weights,
    newest: u64,
    at: Moment,
}

/// What a target's base models call for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ModelStep {
    Load(Weights),
    GiveUp(Weights),
}

impl Residency {
    /// Returns the next order about a base model, if its time has come.
    pub(super) fn next_model_order(
        &mut self,
        name: &TargetName,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) -> Option<(OrderKind, Weights, Option<u64>)> {
        let (kind, weights) = match self.model_step(name, now)? {
            ModelStep::GiveUp(weights) if self.model_updates.remove(name) => {
                (OrderKind::Unload, weights)
            }
            ModelStep::Load(weights) if self.may_load_model(name, now) => {
                self.store_loads.push_back(now);
                let questions = self.drop_holds(name, out);
                self.answer_later(questions, out);
                (OrderKind::Load, weights)
            }
            ModelStep::GiveUp(_) | ModelStep::Load(_) => return None,
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
            return Some(ModelStep::GiveUp(weights));
        }
        let limits = self.limits.get(&target.facts.service)?;
        let configured = |it: &Weights| limits.models.iter().any(|spec| spec.name == it.model);
        let given_up = target.reloads.as_ref().filter(|it| configured(it));
        if let Some(weights) = given_up.filter(|it| !target.lists_model(&it.model)) {
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

    /// Returns a base model of which a target holds an older version than the newest, unless it has just
    /// been loaded for that.
    fn outdated_model(&self, target: &TargetState, now: Moment) -> Option<Weights> {
        target.facts.models.iter().find_map(|held| {
            let weights = Weights::base(&held.name);
            let newest = self.newest.get(&weights).copied()?;
            let loaded = target.loaded_for.as_ref();
            let loaded = loaded.is_some_and(|it| {
                it.weights == weights && it.newest >= newest && now.since(it.at) < LOAD_AGAIN
            });
            (newest > held.version && !loaded).then_some(weights)
        })
    }

    /// Says whether a target holds an older version of a base model than the newest.
    pub(super) fn has_outdated_model(&self, target: &TargetState, now: Moment) -> bool {
        self.outdated_model(target, now).is_some()
    }

    /// Says whether a target lacks a base model that it is to load.
    pub(super) fn lacks_model(&self, name: &TargetName, now: Moment) -> bool {
        matches!(self.model_step(name, now), Some(ModelStep::Load(_)))
    }

    /// Takes note that a target loads a base model. One that has it already loads nothing.
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

    /// Chooses the targets that may give an outdated model up: the least used ones, and so many that the
    /// share of its service that is out of use stays within bounds.
    ///
    /// Given up at all targets at once, the model would be nowhere for as long as a stream lasts; one
    /// after the other, at 5 s each, the last of 18 targets is updated after a minute and a half.
    pub(super) fn pick_model_updates(&mut self, now: Moment) {
        if now.since(self.model_updates_picked_at) < PICK_EVERY {
            return;
        }
        self.model_updates_picked_at = now;
        self.model_updates.clear();
        let outdated = self.targets.iter();
        let outdated: Vec<_> = outdated
            .filter(|(_, it)| it.touched || it.summary.outdated)
            .filter(|(_, it)| self.has_outdated_model(it, now) && it.takes_work())
            .filter(|(_, it)| it.model_order.is_none() && matches!(it.turn, Turn::Free(_)))
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

    /// Returns how many more targets of a service may be taken out of use.
    fn updates_left(&self, service: &ServiceName, now: Moment) -> usize {
        let targets = self.targets.values();
        let targets = targets.filter(|it| it.facts.service == *service && it.takes_work());
        let away = targets.clone().filter(|it| it.is_without_model(now));
        let most = (targets.count() as f64 * self.cfg.updated_share).ceil();
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

    /// Takes in a target's answer to an order about a base model.
    ///
    /// The adapters go with the model that is given up. Those who wait for one are placed elsewhere; what
    /// becomes of an order that was not accepted the next report shows.
    pub(super) fn model_order_answered(
        &mut self,
        order: &Order,
        answer: OrderAnswer,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        match (order.kind, answer) {
            (OrderKind::Unload, OrderAnswer::Accepted | OrderAnswer::Done) => {
                let questions = self.drop_holds(&order.target, out);
                self.place_elsewhere(&order.target, questions, now, out);
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

    /// Takes in a report of a target that has been given an order for a base model, and says whether that
    /// has ended.
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
        target.was_asked = true;
        if report.busy {
            target.turn = Turn::Unknown(now + LOOK_AGAIN);
            return false;
        }
        target.model_order = None;
        target.facts.models = report_models(report);
        target.models_reported_until = now + LISTED_LATE;
        true
    }

    /// Forgets everything that a target holds, and returns the questions that waited for some of it.
    fn drop_holds(&mut self, name: &TargetName, out: &mut Vec<ResidencyAction>) -> Vec<u64> {
        let Some(target) = self.targets.get_mut(name) else {
            return Vec::new();
        };
        target.touched = true;
        let mut questions = Vec::new();
        for (weights, hold) in std::mem::take(&mut target.holds) {
            if !hold.is_planned() {
                target.remembered.note(weights.clone());
            }
            questions.extend(hold.questions);
            out.push(tell(name, &weights, None));
        }
        questions
    }
}

impl ModelOrder {
    fn counts(&self, now: Moment) -> bool {
        now.since(self.given_at) < COUNTS_FOR
    }
}

impl TargetState {
    /// Says whether it serves nothing for want of its base model.
    fn is_without_model(&self, now: Moment) -> bool {
        match &self.model_order {
            Some(order) => order.counts(now),
            None => self.facts.models.is_empty(),
        }
    }
}

/// Returns the base models of a report. Its adapters are held beside them.
pub(super) fn report_models(report: &TargetReport) -> Vec<LoadedModel> {
    let models = report.models.iter().map(|(weights, version)| LoadedModel {
        name: Arc::clone(&weights.model),
        version: *version,
        adapters: Vec::new(),
    });
    models.collect()
}
