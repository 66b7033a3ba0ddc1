//! What targets answer to orders and questions.

use std::cmp::Ordering;

use chervilshunt_model::{Moment, TargetName};

use super::hold::{Hold, HoldState};
use super::order::{Order, OrderAnswer, OrderNumber, Placed, ResidencyAction, TargetReport};
use super::planner::Residency;
use super::target::Turn;
use super::wants::{FailedLoad, tell};
use crate::dispatch::TargetFacts;
use crate::owner::OrderKind;

impl Residency {
    /// Takes in a target's answer to an order.
    pub(super) fn answered(
        &mut self,
        number: OrderNumber,
        answer: OrderAnswer,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let out_here = self.targets.values().find_map(|target| match &target.turn {
            Turn::Out(order) if order.number == number => Some(order.clone()),
            Turn::Out(_) | Turn::Unknown(_) | Turn::Asked | Turn::Free(_) => None,
        });
        // An order to a target that is gone, or that was given up on, changes nothing any more.
        let Some(order) = out_here else { return };
        let lag = self.cfg.report_lag;
        let accepted = order.accepted_before;
        let turn = match answer {
            // Nor is one that is under way already and is given again to see whether it has ended.
            OrderAnswer::Accepted if self.is_confirming(&order) => Turn::Free(accepted),
            OrderAnswer::Accepted => Turn::Free(accepted + 1),
            // An order that holds already is not counted; an adapter is given up at once and is.
            OrderAnswer::Done if order.kind == OrderKind::Load => Turn::Free(accepted),
            OrderAnswer::Done => Turn::Free(accepted + 1),
            // Tried again at once it would be tried without end.
            OrderAnswer::NotSent
            | OrderAnswer::OutOfTurn
            | OrderAnswer::OtherTarget
            | OrderAnswer::Refused
            | OrderAnswer::Unanswered => Turn::Unknown(now + lag),
        };
        if let Some(target) = self.targets.get_mut(&order.target) {
            target.turn = turn;
            target.touched = true;
            if answer == OrderAnswer::Unanswered {
                target.lost.note(&order, now);
            }
        }
        match order.kind {
            OrderKind::Load if order.weights.adapter.is_none() => {
                self.base_load_answered(&order, answer);
            }
            OrderKind::Load => self.load_answered(&order, answer, now, out),
            OrderKind::Unload => self.unload_answered(&order, answer),
        }
    }

    fn is_confirming(&self, order: &Order) -> bool {
        let target = self.targets.get(&order.target);
        let hold = target.and_then(|it| it.holds.get(&order.weights));
        hold.is_some_and(|hold| hold.state == HoldState::Confirming)
    }

    fn base_load_answered(&mut self, order: &Order, answer: OrderAnswer) {
        let Some(target) = self.targets.get_mut(&order.target) else {
            return;
        };
        match answer {
            // The target's own listing tells when the load has ended.
            OrderAnswer::Accepted | OrderAnswer::Done | OrderAnswer::Unanswered => {}
            OrderAnswer::OutOfTurn
            | OrderAnswer::OtherTarget
            | OrderAnswer::Refused
            | OrderAnswer::NotSent => target.base_load = None,
        }
    }

    fn load_answered(
        &mut self,
        order: &Order,
        answer: OrderAnswer,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let look_at = self.ready_at(&order.target, &order.weights, now);
        let look_again = now + self.cfg.look_again;
        let under_way = self.loads_under_way();
        let Some(target) = self.targets.get_mut(&order.target) else {
            return;
        };
        let from_store = !target.remembers(&order.weights);
        let Some(hold) = target.holds.get_mut(&order.weights) else {
            return;
        };
        let confirming = hold.state == HoldState::Confirming;
        match answer {
            OrderAnswer::Done => {
                if let Some(since) = hold.fetched_since.take() {
                    self.window.ended(now.since(since), under_way);
                }
                hold.state = HoldState::Ready;
                hold.since = now;
                hold.last_used = now;
                let (version, outdated) = (hold.version, hold.outdated);
                let questions = std::mem::take(&mut hold.questions);
                target.remember(order.weights.clone(), &self.cfg);
                out.push(tell(&order.target, &order.weights, Some(version)));
                self.answer_loaded(questions, &order.target, outdated, out);
            }
            // Another order has been carried out meanwhile; this one tells nothing.
            OrderAnswer::OutOfTurn if confirming => hold.state = HoldState::Loading(look_again),
            // It is still under way.
            OrderAnswer::Accepted if confirming => {
                if let Some(since) = hold.fetched_since {
                    self.window.goes_on(now.since(since), now);
                }
                hold.state = HoldState::Loading(look_again);
            }
            OrderAnswer::Accepted => {
                hold.state = HoldState::Loading(look_at);
                hold.fetched_since = from_store.then_some(now);
            }
            // A load that should have ended by now most likely has; if not, the target refuses
            // truly. Those who wait would be no better off at another target.
            OrderAnswer::Unanswered if confirming => {
                let questions = std::mem::take(&mut hold.questions);
                let outdated = hold.outdated;
                self.answer_loaded(questions, &order.target, outdated, out);
            }
            // Without an answer it may still be loaded, and counts as taking a slot until the
            // target has been asked.
            OrderAnswer::Unanswered => {
                let failed = failed_load(order, hold);
                self.place_elsewhere(failed, now, out);
            }
            OrderAnswer::OutOfTurn
            | OrderAnswer::OtherTarget
            | OrderAnswer::Refused
            | OrderAnswer::NotSent => {
                let failed = failed_load(order, hold);
                target.holds.shift_remove(&order.weights);
                self.place_elsewhere(failed, now, out);
            }
        }
    }

    fn unload_answered(&mut self, order: &Order, answer: OrderAnswer) {
        let Some(target) = self.targets.get_mut(&order.target) else {
            return;
        };
        match answer {
            OrderAnswer::Done => target.gave_up(&order.weights, &self.cfg),
            // It waits for its last requests; the next report shows whether it is gone.
            OrderAnswer::Accepted | OrderAnswer::Unanswered => {}
            OrderAnswer::OutOfTurn
            | OrderAnswer::OtherTarget
            | OrderAnswer::Refused
            | OrderAnswer::NotSent => {
                if let Some(hold) = target.holds.get_mut(&order.weights) {
                    hold.state = HoldState::Ending;
                }
            }
        }
    }

    /// Takes in what a target holds, as it says itself.
    pub(super) fn reported(
        &mut self,
        name: &TargetName,
        report: &TargetReport,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let ready_at = now + self.window.usual(self.cfg.cold_load) + self.cfg.load_margin;
        let mut loaded = Vec::new();
        match self.compare_start(name, report.started) {
            // From before the start that is there.
            Some(Ordering::Less) => return self.not_reported(name, now),
            Some(Ordering::Greater) => return self.restart_reported(name, report, now, out),
            Some(Ordering::Equal) | None => {}
        }
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.turn != Turn::Asked {
            return;
        }
        target.turn = Turn::Free(report.accepted);
        target.touched = true;
        let listed = |weights: &_| {
            let held = report.adapters.iter().any(|(held, _)| held == weights);
            held || report.loading.contains(weights)
        };
        let unlisted: Vec<_> = target
            .holds
            .iter()
            .filter(|(weights, hold)| hold.state != HoldState::Planned && !listed(weights))
            .map(|(weights, _)| weights.clone())
            .collect();
        for weights in unlisted {
            if let Some(hold) = target.holds.get_mut(&weights) {
                let questions = std::mem::take(&mut hold.questions);
                let retry_in = self.cfg.retry_in;
                out.extend(
                    questions.into_iter().map(|question| {
                        ResidencyAction::Answer(question, Placed::Later { retry_in })
                    }),
                );
            }
            target.gave_up(&weights, &self.cfg);
            out.push(tell(name, &weights, None));
        }
        for (weights, version) in &report.adapters {
            let newest = self.newest.get(weights).copied().unwrap_or_default();
            let fresh = Hold {
                last_used: now - self.cfg.keep_used + self.cfg.uses_told,
                ..Hold::new(HoldState::Ready, *version, now)
            };
            let hold = target.holds.entry(weights.clone()).or_insert(fresh);
            if hold.state == HoldState::Unloading {
                hold.state = HoldState::Ending;
                continue;
            }
            hold.state = HoldState::Ready;
            hold.version = *version;
            hold.outdated = *version < newest;
            out.push(tell(name, weights, Some(*version)));
            loaded.push((std::mem::take(&mut hold.questions), hold.outdated));
        }
        for weights in &report.loading {
            let coming = Hold::new(HoldState::Loading(ready_at), FIRST_KNOWN, now);
            let hold = target.holds.entry(weights.clone()).or_insert(coming);
            if hold.state == HoldState::Ordered {
                hold.state = HoldState::Loading(ready_at);
            }
        }
        for (questions, outdated) in loaded {
            self.answer_loaded(questions, name, outdated, out);
        }
    }

    /// Takes in the report of a start of which the platform does not list anything yet.
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
            ..target.facts.clone()
        };
        self.target_restarted(facts, now, out);
    }

    /// Answers questions about an adapter that a target holds by now.
    ///
    /// An older version than the newest would answer their requests wrongly: a target that is
    /// found to hold one can have been planned to load the newest.
    fn answer_loaded(
        &self,
        questions: Vec<u64>,
        target: &TargetName,
        outdated: bool,
        out: &mut Vec<ResidencyAction>,
    ) {
        if outdated {
            return self.answer_later(questions, out);
        }
        let answers = questions.into_iter().map(|question| {
            let target = target.clone();
            ResidencyAction::Answer(question, Placed::At { target })
        });
        out.extend(answers);
    }

    /// Takes in that a target could not be asked.
    pub(super) fn not_reported(&mut self, name: &TargetName, now: Moment) {
        let again = now + self.cfg.report_lag;
        if let Some(target) = self.targets.get_mut(name)
            && target.turn == Turn::Asked
        {
            target.turn = Turn::Unknown(again);
            target.touched = true;
        }
    }
}

/// Takes those who wait from a hold whose load has failed.
fn failed_load(order: &Order, hold: &mut Hold) -> FailedLoad {
    FailedLoad {
        target: order.target.clone(),
        weights: order.weights.clone(),
        questions: std::mem::take(&mut hold.questions),
        until: hold.wanted_until,
        lane: hold.lane,
    }
}

/// The version that a load under way is taken to bring until the target lists it.
const FIRST_KNOWN: u64 = 1;
