//! Loads that are wanted, have a turn, or are on their way.

use std::time::Duration;

use chervilshunt_model::{AdapterVersion, Moment};
use indexmap::IndexMap;

use super::order::OrderId;
use super::tuning::{
    INITIAL_LOAD_TIME, LOAD_BACKOFF, MAX_LOAD_BACKOFF, TURN_RENEWAL_INTERVAL, TURN_RENEWAL_LIMIT,
};
use crate::decay::DurationAverage;

/// How far a load has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum LoadPhase {
    /// It is not worth a slot yet, or no slot can be had.
    Parked,
    /// A turn was asked for.
    TurnRequested {
        /// When the urgency was last told.
        renewed: Moment,
    },
    /// It has its turn, and waits for an unload to free a slot.
    HasTurn,
    /// The engine has the order.
    Ordered {
        /// Since when.
        at: Moment,
    },
    /// A try failed.
    Backoff {
        /// When the next one may begin.
        until: Moment,
    },
}

/// One load that is wanted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    /// The id of the turn and of the order; each try has a new one.
    pub(super) order: OrderId,
    /// How far it has come.
    pub(super) phase: LoadPhase,
    /// Tries that failed.
    pub(super) tries: u32,
    /// Since when it has been parked.
    pub(super) since: Moment,
    /// Since when it is wanted.
    pub(super) requested_at: Moment,
    /// Whether it is wanted without a request that waits for it.
    pub(super) preload: bool,
    /// When it was given its turn, if it has one.
    pub(super) granted: Option<Moment>,
    /// When the load scheduler was last told that the turn is in use.
    pub(super) reported_at: Moment,
}

impl Load {
    /// Takes the turn.
    pub(super) fn begin_turn(&mut self, now: Moment) {
        self.phase = LoadPhase::HasTurn;
        self.granted = Some(now);
        self.reported_at = now;
    }

    /// Whether the load scheduler is to be told again that the turn is in use.
    pub(super) fn turn_renewal_due(&self, now: Moment) -> bool {
        let in_use = matches!(self.phase, LoadPhase::HasTurn | LoadPhase::Ordered { .. });
        let young = |granted| now.since(granted) < TURN_RENEWAL_LIMIT;
        in_use
            && self.granted.is_some_and(young)
            && now.since(self.reported_at) >= TURN_RENEWAL_INTERVAL
    }
}

/// All loads of one owner, and how long loads take.
#[derive(Debug)]
pub(super) struct Loads {
    by_model: IndexMap<AdapterVersion, Load>,
    by_order: IndexMap<OrderId, AdapterVersion>,
    next_order: u64,
    load_time: DurationAverage,
    queue_wait: Duration,
    queue_wait_at: Moment,
    /// Whether the load scheduler can be reached.
    pub(super) scheduler_reachable: bool,
    /// When a load was last begun without the load scheduler's turn.
    pub(super) unscheduled: Option<Moment>,
    /// When the parked loads were last looked at.
    pub(super) reviewed: Moment,
    /// Whether something happened that may let a parked load begin.
    pub(super) review_due: bool,
}

impl Loads {
    /// Starts with no load; `first_order` keeps the ids apart from an earlier owner's.
    pub(super) fn new(first_order: u64, now: Moment) -> Self {
        Self {
            by_model: IndexMap::new(),
            by_order: IndexMap::new(),
            next_order: first_order,
            load_time: DurationAverage::new(INITIAL_LOAD_TIME),
            queue_wait: Duration::ZERO,
            queue_wait_at: now,
            scheduler_reachable: true,
            unscheduled: None,
            reviewed: now,
            review_due: false,
        }
    }

    /// Returns an id that no order had before.
    pub(super) fn new_order(&mut self) -> OrderId {
        self.next_order += 1;
        OrderId(self.next_order)
    }

    /// Returns the load of an adapter, if one is wanted.
    pub(super) fn get(&self, model: &AdapterVersion) -> Option<&Load> {
        self.by_model.get(model)
    }

    /// Returns the load of an adapter, to be changed.
    pub(super) fn get_mut(&mut self, model: &AdapterVersion) -> Option<&mut Load> {
        self.by_model.get_mut(model)
    }

    /// Returns the adapter that the order or turn is for.
    pub(super) fn model_of(&self, order: OrderId) -> Option<&AdapterVersion> {
        self.by_order.get(&order)
    }

    /// Returns all loads.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&AdapterVersion, &Load)> {
        self.by_model.iter()
    }

    /// Returns the adapters whose loads are at a phase.
    pub(super) fn at_phase(&self, at: impl Fn(LoadPhase) -> bool) -> Vec<AdapterVersion> {
        let loads = self.by_model.iter().filter(|(_, load)| at(load.phase));
        loads.map(|(model, _)| model.clone()).collect()
    }

    /// Returns the number of loads at a phase.
    pub(super) fn count(&self, at: impl Fn(LoadPhase) -> bool) -> usize {
        self.by_model.values().filter(|load| at(load.phase)).count()
    }

    /// Whether no load is wanted.
    pub(super) fn is_empty(&self) -> bool {
        self.by_model.is_empty()
    }

    /// Wants an adapter loaded.
    pub(super) fn request(&mut self, model: &AdapterVersion, preload: bool, now: Moment) {
        if let Some(load) = self.by_model.get_mut(model) {
            load.preload &= preload;
            return;
        }
        let order = self.new_order();
        let load = Load {
            order,
            phase: LoadPhase::Parked,
            tries: 0,
            since: now,
            requested_at: now,
            preload,
            granted: None,
            reported_at: now,
        };
        self.by_model.insert(model.clone(), load);
        self.by_order.insert(order, model.clone());
        self.review_due = true;
    }

    /// Forgets a load that is over or no longer wanted.
    pub(super) fn remove(&mut self, model: &AdapterVersion) -> Option<Load> {
        let load = self.by_model.swap_remove(model)?;
        self.by_order.swap_remove(&load.order);
        self.review_due = true;
        Some(load)
    }

    /// Parks a load, under a new id: the old turn is over.
    pub(super) fn park(&mut self, model: &AdapterVersion, now: Moment) {
        self.renumber(model, LoadPhase::Parked, now);
    }

    /// Notes a failed try and returns the number of tries that have failed by now.
    pub(super) fn record_failure(&mut self, model: &AdapterVersion, now: Moment) -> u32 {
        let Some(load) = self.by_model.get_mut(model) else {
            return 0;
        };
        load.tries += 1;
        let tries = load.tries;
        let doubled = LOAD_BACKOFF * 2_u32.saturating_pow(tries - 1).min(1_024);
        let until = now + doubled.min(MAX_LOAD_BACKOFF);
        self.renumber(model, LoadPhase::Backoff { until }, now);
        tries
    }

    /// Lets a load wait until a time, without counting a failure.
    pub(super) fn delay_until(&mut self, model: &AdapterVersion, until: Moment, now: Moment) {
        self.renumber(model, LoadPhase::Backoff { until }, now);
    }

    /// Returns the end of the earliest pause after a failure.
    pub(super) fn next_backoff(&self) -> Option<Moment> {
        let ends = self.by_model.values().filter_map(|load| match load.phase {
            LoadPhase::Backoff { until } => Some(until),
            LoadPhase::Parked
            | LoadPhase::TurnRequested { .. }
            | LoadPhase::HasTurn
            | LoadPhase::Ordered { .. } => None,
        });
        ends.min()
    }

    /// Notes how long a load took.
    pub(super) fn record_load_time(&mut self, time: Duration) {
        self.load_time.add(time);
    }

    /// Notes how long a load asked for now would wait for its turn.
    pub(super) fn set_queue_wait(&mut self, wait: Duration, now: Moment) {
        self.queue_wait = wait;
        self.queue_wait_at = now;
    }

    /// Returns the time until an adapter asked for now would be loaded.
    pub(super) fn expected_time(&self, now: Moment) -> Duration {
        self.load_time.get() + self.queue_wait(now)
    }

    /// Returns the time that a load takes once it has its turn.
    pub(super) fn load_time(&self) -> Duration {
        self.load_time.get()
    }

    /// Returns the time that a load asked for now would wait for its turn.
    pub(super) fn queue_wait(&self, now: Moment) -> Duration {
        self.queue_wait
            .saturating_sub(now.since(self.queue_wait_at))
    }

    fn renumber(&mut self, model: &AdapterVersion, phase: LoadPhase, now: Moment) {
        let order = self.new_order();
        let Some(load) = self.by_model.get_mut(model) else {
            return;
        };
        self.by_order.swap_remove(&load.order);
        self.by_order.insert(order, model.clone());
        load.order = order;
        load.phase = phase;
        load.since = now;
    }
}
