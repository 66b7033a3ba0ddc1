//! The loads that are requested, have a turn or are in progress.
//!
//! A turn is the load scheduler's permission to start one load.

use std::time::Duration;

use chervilshunt_model::{AdapterVersion, Moment};
use indexmap::IndexMap;

use super::order::OrderId;
use super::tuning::{
    INITIAL_LOAD_TIME, LOAD_BACKOFF, MAX_LOAD_BACKOFF, TURN_RENEWAL_INTERVAL, TURN_RENEWAL_LIMIT,
};
use crate::decay::DurationAverage;

/// The progress of a load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum LoadPhase {
    /// No turn is requested: the load does not justify a slot yet, or no slot is available.
    Parked,
    /// A turn is requested.
    TurnRequested {
        /// When the request was last sent, with its urgency.
        renewed: Moment,
    },
    /// The load has its turn and waits for an unload to free a slot.
    HasTurn,
    /// The order has been sent to the engine.
    Ordered {
        /// When it was sent.
        at: Moment,
    },
    /// An attempt failed, or the load is delayed.
    Backoff {
        /// When the next attempt may start.
        until: Moment,
    },
}

/// A requested load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    /// The id of the turn and of the order. Each attempt has a new one.
    pub(super) order: OrderId,
    pub(super) phase: LoadPhase,
    /// Number of failed attempts.
    pub(super) failed_attempts: u32,
    /// When the load was requested or last got a new order id.
    pub(super) since: Moment,
    /// When the load was first requested.
    pub(super) requested_at: Moment,
    /// Whether the load is requested ahead of demand, without a request that waits for it.
    pub(super) preload: bool,
    /// When the turn was granted, if the load has or had one.
    pub(super) granted: Option<Moment>,
    /// When the load scheduler was last notified that the turn is in use.
    pub(super) reported_at: Moment,
}

impl Load {
    /// Starts to use the turn.
    pub(super) fn begin_turn(&mut self, now: Moment) {
        self.phase = LoadPhase::HasTurn;
        self.granted = Some(now);
        self.reported_at = now;
    }

    /// Returns whether the load scheduler is to be notified again that the turn is in use.
    pub(super) fn turn_renewal_due(&self, now: Moment) -> bool {
        let in_use = matches!(self.phase, LoadPhase::HasTurn | LoadPhase::Ordered { .. });
        let young = |granted| now.since(granted) < TURN_RENEWAL_LIMIT;
        in_use
            && self.granted.is_some_and(young)
            && now.since(self.reported_at) >= TURN_RENEWAL_INTERVAL
    }
}

/// All loads of one owner, and the observed load times.
#[derive(Debug)]
pub(super) struct Loads {
    by_model: IndexMap<AdapterVersion, Load>,
    by_order: IndexMap<OrderId, AdapterVersion>,
    next_order: u64,
    load_time: DurationAverage,
    queue_wait: Duration,
    queue_wait_at: Moment,
    /// Whether the load scheduler is reachable.
    pub(super) scheduler_reachable: bool,
    /// When a load was last started without a turn, or when the load scheduler became unreachable.
    pub(super) unscheduled: Option<Moment>,
    /// When the parked loads were last reviewed.
    pub(super) reviewed: Moment,
    /// Whether something changed that may allow a parked load to start.
    pub(super) review_due: bool,
}

impl Loads {
    /// Starts without loads. `first_order` separates the order ids from those of earlier owners.
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

    /// Returns a new, unique order id.
    pub(super) fn new_order(&mut self) -> OrderId {
        self.next_order += 1;
        OrderId(self.next_order)
    }

    /// Returns the load of an adapter, if one is requested.
    pub(super) fn get(&self, model: &AdapterVersion) -> Option<&Load> {
        self.by_model.get(model)
    }

    /// Returns the load of an adapter for modification.
    pub(super) fn get_mut(&mut self, model: &AdapterVersion) -> Option<&mut Load> {
        self.by_model.get_mut(model)
    }

    /// Returns the adapter that the order or turn is for.
    pub(super) fn model_of(&self, order: OrderId) -> Option<&AdapterVersion> {
        self.by_order.get(&order)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&AdapterVersion, &Load)> {
        self.by_model.iter()
    }

    /// Returns the adapters whose loads are in a phase that `at` accepts.
    pub(super) fn at_phase(&self, at: impl Fn(LoadPhase) -> bool) -> Vec<AdapterVersion> {
        let loads = self.by_model.iter().filter(|(_, load)| at(load.phase));
        loads.map(|(model, _)| model.clone()).collect()
    }

    /// Returns the number of loads in a phase that `at` accepts.
    pub(super) fn count(&self, at: impl Fn(LoadPhase) -> bool) -> usize {
        self.by_model.values().filter(|load| at(load.phase)).count()
    }

    /// Returns whether no load is requested.
    pub(super) fn is_empty(&self) -> bool {
        self.by_model.is_empty()
    }

    /// Requests a load of an adapter. A load that a request waits for is no longer a preload.
    pub(super) fn request(&mut self, model: &AdapterVersion, preload: bool, now: Moment) {
        if let Some(load) = self.by_model.get_mut(model) {
            load.preload &= preload;
            return;
        }
        let order = self.new_order();
        let load = Load {
            order,
            phase: LoadPhase::Parked,
            failed_attempts: 0,
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

    /// Removes a load that has ended or is no longer needed.
    pub(super) fn remove(&mut self, model: &AdapterVersion) -> Option<Load> {
        let load = self.by_model.swap_remove(model)?;
        self.by_order.swap_remove(&load.order);
        self.review_due = true;
        Some(load)
    }

    /// Parks a load under a new order id, because its old turn has ended.
    pub(super) fn park(&mut self, model: &AdapterVersion, now: Moment) {
        self.renumber(model, LoadPhase::Parked, now);
    }

    /// Records a failed attempt and returns the number of attempts that have failed.
    pub(super) fn record_failure(&mut self, model: &AdapterVersion, now: Moment) -> u32 {
        let Some(load) = self.by_model.get_mut(model) else {
            return 0;
        };
        load.failed_attempts += 1;
        let failed_attempts = load.failed_attempts;
        let doubled = LOAD_BACKOFF * 2_u32.saturating_pow(failed_attempts - 1).min(1_024);
        let until = now + doubled.min(MAX_LOAD_BACKOFF);
        self.renumber(model, LoadPhase::Backoff { until }, now);
        failed_attempts
    }

    /// Delays a load until a time without counting a failure.
    pub(super) fn delay_until(&mut self, model: &AdapterVersion, until: Moment, now: Moment) {
        self.renumber(model, LoadPhase::Backoff { until }, now);
    }

    /// Returns the end of the earliest backoff.
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

    /// Records the duration of a load.
    pub(super) fn record_load_time(&mut self, time: Duration) {
        self.load_time.add(time);
    }

    /// Sets how long a load that is requested now would wait for its turn, as the load scheduler
    /// reported it.
    pub(super) fn set_queue_wait(&mut self, wait: Duration, now: Moment) {
        self.queue_wait = wait;
        self.queue_wait_at = now;
    }

    /// Returns the expected time until an adapter that is requested now is loaded.
    pub(super) fn expected_time(&self, now: Moment) -> Duration {
        self.load_time.get() + self.queue_wait(now)
    }

    /// Returns the average duration of a load once it has its turn.
    pub(super) fn load_time(&self) -> Duration {
        self.load_time.get()
    }

    /// Returns the expected wait for a turn of a load that is requested now.
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
