//! Targets that restart under the same name.
//!
//! A restarted target holds nothing and has accepted no orders. Everything planned, ordered or
//! reported before the restart is void. An unanswered order to the previous start may still be
//! executed: it states the number of orders accepted before it, and the new start reaches that
//! number again.

use std::cmp::Ordering;
use std::time::Duration;

use chervilshunt_model::{Moment, TargetName};

use super::order::{Order, ResidencyAction};
use super::planner::ResidencyPlanner;
use super::target::{OrderState, TargetState};
use crate::dispatch::{TargetFacts, TargetStart};
use crate::owner::OrderKind;

/// How late an unanswered order may be executed. The platform specifies "seconds later"; this is
/// three times the longest time known for any target.
pub(super) const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// Number of slots that unanswered orders of an earlier placer may take on a target: the one in flight when
/// the placer ended, and one before it.
const PREDECESSOR_SLOTS: usize = 2;

/// How many orders in advance an unanswered order begins to reserve a slot: more than are sent
/// while a target takes to free one.
const ORDERS_AHEAD: u64 = 16;

/// An unanswered order to load an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LostLoad {
    /// The number of accepted orders at which it can be executed.
    accepted_before: u64,
    /// When the planner stopped waiting for its answer.
    lost_at: Moment,
}

/// The unanswered orders to load adapters on one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct LostLoads {
    /// Orders to the current start. Each takes a slot until the target has been queried, and cannot
    /// be executed any more once the target has accepted another order.
    present: Vec<LostLoad>,
    /// Orders to earlier starts.
    earlier: Vec<LostLoad>,
    /// Until when orders of an earlier placer to earlier starts may be executed. How many there are, and
    /// when they can be executed, is unknown.
    of_predecessor: Option<Moment>,
}

/// The targets on which orders of an earlier placer may still be executed although they have restarted.
#[derive(Clone, Copy, Debug)]
pub(super) struct PredecessorOrders {
    /// The orders were sent to starts before this one at the latest.
    restarted_since: TargetStart,
    until: Moment,
}

impl LostLoads {
    /// Records an unanswered order.
    pub(crate) fn note(&mut self, order: &Order, now: Moment) {
        if order.kind == OrderKind::Load && order.weights.adapter.is_some() {
            self.present.push(LostLoad {
                accepted_before: order.accepted_before,
                lost_at: now,
            });
        }
    }

    /// Forgets orders that are too old to be executed.
    pub(crate) fn forget_old(&mut self, now: Moment) {
        let is_recent = |it: &LostLoad| now.since(it.lost_at) < MAX_ORDER_DELAY;
        self.present.retain(is_recent);
        self.earlier.retain(is_recent);
        self.of_predecessor = self.of_predecessor.filter(|until| now < *until);
    }

    /// Returns when the next order to an earlier start becomes too old to be executed.
    pub(crate) fn next_old(&self) -> Option<Moment> {
        let old = self.earlier.iter().map(|it| it.lost_at + MAX_ORDER_DELAY);
        old.chain(self.of_predecessor).min()
    }

    /// Returns the number of slots that orders to earlier starts may still take on a target that
    /// has accepted `accepted` orders, or `None` if that number is unknown.
    ///
    /// Without this reservation, a target that restarts between an order and its execution would be
    /// sent one load more than it has slots for, which kills it.
    ///
    /// An order is executed when the new start has accepted as many orders as preceded it. Orders
    /// that are far from that number reserve no slot yet: otherwise, a target that was busy before
    /// its restart would have no slots available for as long as they may be executed.
    pub(crate) fn slots(&self, accepted: Option<u64>) -> usize {
        let is_due = |it: &&LostLoad| {
            accepted.is_none_or(|accepted| {
                (accepted..=accepted + ORDERS_AHEAD).contains(&it.accepted_before)
            })
        };
        let of_predecessor = self.of_predecessor.map_or(0, |_| PREDECESSOR_SLOTS);
        self.earlier.iter().filter(is_due).count() + of_predecessor
    }

    const fn is_empty(&self) -> bool {
        self.present.is_empty() && self.earlier.is_empty() && self.of_predecessor.is_none()
    }

    /// Returns the orders as those of an earlier start, including the one that is in flight.
    fn of_earlier_start(mut self, order_state: &OrderState, now: Moment) -> Self {
        match order_state {
            OrderState::InFlight(order) => self.note(order, now),
            OrderState::Unknown(_) | OrderState::Querying | OrderState::Idle(_) => {}
        }
        self.earlier.append(&mut self.present);
        self.forget_old(now);
        self
    }
}

impl ResidencyPlanner {
    /// Reserves slots for orders of an earlier placer, on targets that have restarted since the earliest
    /// time at which an order may have been sent that is still to be executed.
    ///
    /// Call it before targets are listed. Without this, a target whose restart comes together with a change
    /// of the placer would be sent one load more than it has slots for.
    pub fn follow_predecessor(&mut self, restarted_since: TargetStart, now: Moment) {
        self.predecessor_orders = Some(PredecessorOrders {
            restarted_since,
            until: now + MAX_ORDER_DELAY,
        });
    }

    /// Compares a reported start of a target with the known one.
    pub(super) fn compare_start(
        &self,
        name: &TargetName,
        started: Option<TargetStart>,
    ) -> Option<Ordering> {
        let target = self.targets.get(name)?;
        Some(TargetStart::compare(started, target.facts.started))
    }

    /// Resets the state of a target that has restarted.
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
        target.lost = before.lost.of_earlier_start(&before.order_state, now);
        self.grants.forget_target(&target.facts.name);
        for entry in before.adapters.into_values() {
            self.refuse(entry.waiting_requests, out);
        }
        self.insert_target(target);
    }

    /// Remembers the orders that may still be executed by a target that is gone, since it may come
    /// back or restart under its name.
    pub(super) fn remember_lost(&mut self, target: &TargetState, now: Moment) {
        let lost = target
            .lost
            .clone()
            .of_earlier_start(&target.order_state, now);
        self.lost_of_gone.insert(target.facts.name.clone(), lost);
        self.lost_of_gone.retain(|_, lost| {
            lost.forget_old(now);
            !lost.is_empty()
        });
    }

    /// Adds a target, with the requests that instances last reported to have in flight there.
    ///
    /// Instances may have sent requests to the new start before it was recognized as one, and will
    /// not report them again for another half second; the adapters that these use must not be
    /// unloaded in the meantime.
    pub(super) fn insert_target(&mut self, mut target: TargetState) {
        let name = target.facts.name.clone();
        if let Some(lost) = self.lost_of_gone.remove(&name) {
            target.lost = lost;
        }
        if let Some(orders) = &self.predecessor_orders
            && target.facts.started >= Some(orders.restarted_since)
        {
            target.lost.of_predecessor = Some(orders.until);
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
