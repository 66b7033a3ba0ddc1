//! What targets answer to orders and questions.

use chervilshunt_model::{Moment, TargetName};

use super::hold::{Hold, HoldState};
use super::order::{Order, OrderAnswer, OrderNumber, Placed, ResidencyAction, TargetReport};
use super::planner::Residency;
use super::target::Turn;
use super::wants::tell;
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
            OrderAnswer::Accepted => Turn::Free(accepted + 1),
            // Whether an order that held already counts can't be told from the answer.
            OrderAnswer::Done if order.kind == OrderKind::Load => Turn::Unknown(now + lag),
            OrderAnswer::Done => Turn::Free(accepted + 1),
            OrderAnswer::NotSent => Turn::Free(accepted),
            OrderAnswer::OutOfTurn
            | OrderAnswer::OtherTarget
            | OrderAnswer::Refused
            | OrderAnswer::Unanswered => Turn::Unknown(now + lag),
        };
        if let Some(target) = self.targets.get_mut(&order.target) {
            target.turn = turn;
        }
        match order.kind {
            OrderKind::Load if order.weights.adapter.is_none() => {
                self.model_load_answered(&order, answer);
            }
            OrderKind::Load => self.load_answered(&order, answer, now, out),
            OrderKind::Unload => self.unload_answered(&order, answer),
        }
    }

    fn model_load_answered(&mut self, order: &Order, answer: OrderAnswer) {
        let Some(target) = self.targets.get_mut(&order.target) else {
            return;
        };
        match answer {
            // The target's own listing tells when the load has ended.
            OrderAnswer::Accepted | OrderAnswer::Done | OrderAnswer::Unanswered => {}
            OrderAnswer::OutOfTurn
            | OrderAnswer::OtherTarget
            | OrderAnswer::Refused
            | OrderAnswer::NotSent => target.model_load = None,
        }
    }

    fn load_answered(
        &mut self,
        order: &Order,
        answer: OrderAnswer,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let ready_at = match answer {
            OrderAnswer::Accepted => Some(self.ready_at(&order.target, &order.weights, now)),
            OrderAnswer::Done => Some(now),
            OrderAnswer::OutOfTurn
            | OrderAnswer::OtherTarget
            | OrderAnswer::Refused
            | OrderAnswer::NotSent
            | OrderAnswer::Unanswered => None,
        };
        let Some(target) = self.targets.get_mut(&order.target) else {
            return;
        };
        let Some(hold) = target.holds.get_mut(&order.weights) else {
            return;
        };
        let questions = std::mem::take(&mut hold.questions);
        let Some(ready_at) = ready_at else {
            // Without an answer it may still be loaded, and counts as taking a slot until the
            // target has been asked.
            if answer != OrderAnswer::Unanswered {
                target.holds.shift_remove(&order.weights);
            }
            return self.answer_later(questions, out);
        };
        hold.state = HoldState::Loading(ready_at);
        target.remember(order.weights.clone(), &self.cfg);
        let ready_in = now.until(ready_at);
        let target = &order.target;
        let at = questions.into_iter().map(|question| {
            let target = target.clone();
            ResidencyAction::Answer(question, Placed::At { target, ready_in })
        });
        out.extend(at);
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
        let ready_at = now + self.cfg.cold_load + self.cfg.load_margin;
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.turn != Turn::Asked {
            return;
        }
        target.turn = Turn::Free(report.accepted);
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
            let fresh = Hold::new(HoldState::Ready, *version, now);
            let hold = target.holds.entry(weights.clone()).or_insert(fresh);
            if hold.state == HoldState::Unloading {
                hold.state = HoldState::Ending;
                continue;
            }
            hold.state = HoldState::Ready;
            hold.version = *version;
            hold.outdated = *version < newest;
            out.push(tell(name, weights, Some(*version)));
        }
        for weights in &report.loading {
            let coming = Hold::new(HoldState::Loading(ready_at), FIRST_KNOWN, now);
            let hold = target.holds.entry(weights.clone()).or_insert(coming);
            if hold.state == HoldState::Ordered {
                hold.state = HoldState::Loading(ready_at);
            }
        }
    }

    /// Takes in that a target could not be asked.
    pub(super) fn not_reported(&mut self, name: &TargetName, now: Moment) {
        let again = now + self.cfg.report_lag;
        if let Some(target) = self.targets.get_mut(name)
            && target.turn == Turn::Asked
        {
            target.turn = Turn::Unknown(again);
        }
    }
}

/// The version that a load under way is taken to bring until the target lists it.
const FIRST_KNOWN: u64 = 1;
