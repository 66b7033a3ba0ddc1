//! Targets that start again under the name that they had.
//!
//! A target that has started again holds nothing and has accepted no order. Whatever was planned,
//! ordered or reported before is void. An order that was given to the start before and got no answer
//! may still be carried out: it names the number of orders accepted before it, and the new start
//! reaches that number again.

use std::cmp::Ordering;
use std::time::Duration;

use chervilshunt_model::{Moment, TargetName};

use super::order::{Order, ResidencyAction};
use super::planner::Residency;
use super::target::{TargetState, Turn};
use crate::dispatch::{TargetFacts, TargetStart};
use crate::owner::OrderKind;

/// How late an order may be carried out that got no answer. The platform says "seconds later"; three
/// times the longest span for which targets are known to do so.
const LATE_ORDERS: Duration = Duration::from_secs(15);

/// The orders ahead of which a lost one begins to keep a slot: more than are given while a target takes
/// to free one.
const NEXT_ORDERS: u64 = 16;

/// An order to load an adapter that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LostLoad {
    /// The number of accepted orders at which it can be carried out.
    accepted_before: u64,
    /// When it was given up on.
    lost_at: Moment,
}

/// Orders to load adapters that got no answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct LostLoads {
    /// Those to the present start. Each takes a slot until the target has been asked, and can't be
    /// carried out any more once it has accepted another order.
    present: Vec<LostLoad>,
    /// Those to starts before it.
    earlier: Vec<LostLoad>,
}

impl LostLoads {
    /// Takes note that an order got no answer.
    pub(crate) fn note(&mut self, order: &Order, now: Moment) {
        if order.kind == OrderKind::Load && order.weights.adapter.is_some() {
            self.present.push(LostLoad {
                accepted_before: order.accepted_before,
                lost_at: now,
            });
        }
    }

    /// Forgets those that are too old to be carried out.
    pub(crate) fn forget_old(&mut self, now: Moment) {
        let is_recent = |it: &LostLoad| now.since(it.lost_at) < LATE_ORDERS;
        self.present.retain(is_recent);
        self.earlier.retain(is_recent);
    }

    /// Returns when the next one is too old that keeps a slot taken.
    pub(crate) fn next_old(&self) -> Option<Moment> {
        let old = self.earlier.iter().map(|it| it.lost_at + LATE_ORDERS);
        old.min()
    }

    /// Returns the slots that orders to earlier starts may still take from a target that has
    /// accepted so many; none if that is not known.
    ///
    /// Without them, a target that restarts between an order and its execution is given one load more
    /// than it has slots for, which kills it.
    ///
    /// One is carried out when the new start has accepted as many orders as stood before it. Those that
    /// are many orders away keep no slot yet: a target that was busy before it restarted would stand
    /// without places for as long as they may come.
    pub(crate) fn slots(&self, accepted: Option<u64>) -> usize {
        let is_due = |it: &&LostLoad| {
            accepted.is_none_or(|accepted| {
                (accepted..=accepted + NEXT_ORDERS).contains(&it.accepted_before)
            })
        };
        self.earlier.iter().filter(is_due).count()
    }

    const fn is_empty(&self) -> bool {
        self.present.is_empty() && self.earlier.is_empty()
    }

    /// Returns them as those of a start that is over, with the order that is on its way to it.
    fn of_earlier_start(mut self, turn: &Turn, now: Moment) -> Self {
        match turn {
            Turn::Out(order) => self.note(order, now),
            Turn::Unknown(_) | Turn::Asked | Turn::Free(_) => {}
        }
        self.earlier.append(&mut self.present);
        self.forget_old(now);
        self
    }
}

impl Residency {
    /// Compares what a target told with the start that is known.
    pub(super) fn compare_start(
        &self,
        name: &TargetName,
        started: Option<TargetStart>,
    ) -> Option<Ordering> {
        let target = self.targets.get(name)?;
        Some(TargetStart::compare(started, target.facts.started))
    }

    /// Begins anew with a target that has started again.
    pub(super) fn target_restarted(
        &mut self,
        facts: TargetFacts,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let Some(before) = self.targets.shift_remove(&facts.name) else {
            return;
        };
        let mut target = TargetState::new(facts, now + self.cfg.report_lag);
        target.lost = before.lost.of_earlier_start(&before.turn, now);
        self.grants.forget_target(&target.facts.name);
        for hold in before.holds.into_values() {
            self.answer_later(hold.questions, out);
        }
        self.insert_target(target);
    }

    /// Remembers the orders that may still be carried out by a target that is gone: it may come back, or
    /// start again, under its name.
    pub(super) fn remember_lost(&mut self, target: &TargetState, now: Moment) {
        let lost = target.lost.clone().of_earlier_start(&target.turn, now);
        self.lost_of_gone.insert(target.facts.name.clone(), lost);
        self.lost_of_gone.retain(|_, lost| {
            lost.forget_old(now);
            !lost.is_empty()
        });
    }

    /// Takes in a target with what instances were last told to have under way there.
    ///
    /// They may have sent to the new start before it was known to be one, and tell that only once more
    /// half a second later; an adapter that they use must not be given up meanwhile.
    pub(super) fn insert_target(&mut self, mut target: TargetState) {
        let name = target.facts.name.clone();
        if let Some(lost) = self.lost_of_gone.remove(&name) {
            target.lost = lost;
        }
        for (instance, uses) in &self.uses {
            let here = uses.iter().filter(|it| it.target == name);
            for it in here {
                target.set_use(instance, it.weights.as_ref(), it.in_flight);
            }
        }
        self.targets.insert(name, target);
    }
}
