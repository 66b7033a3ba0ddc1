//! The load scheduler of one weight store: the order and number of loads in progress.

use std::time::Duration;

use chervilshunt_model::{AdapterVersion, Moment, TargetName};

use crate::{LoadUrgency, Mechanisms, OrderId};

/// What a load scheduler has to know of its weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerConfig {
    /// Loads that run at full speed side by side.
    pub concurrency: u32,
    /// Loads a second that the store gives in all.
    pub loads_per_second: f64,
    /// The time after which a turn whose end was not reported is taken to be over.
    pub turn_timeout: Duration,
    /// The mechanisms that are on; all of them outside the bench.
    pub mechanisms: Mechanisms,
}

/// How a turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnResult {
    /// The adapter was loaded.
    Loaded,
    /// The load failed.
    Failed,
    /// The turn was not used.
    Withdrawn,
}

/// What a load scheduler has to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// An owner wants to load, or its urgency has changed.
    TurnAsked {
        /// The target that loads.
        target: TargetName,
        /// The owner's id for the turn.
        order: OrderId,
        /// The adapter version.
        model: AdapterVersion,
        /// How badly it is needed.
        urgency: LoadUrgency,
    },
    /// An owner holds a turn that an earlier scheduler granted.
    TurnHeld {
        /// The target that loads.
        target: TargetName,
        /// The owner's id for the turn.
        order: OrderId,
        /// The adapter version.
        model: AdapterVersion,
    },
    /// A turn is over, or is no longer wanted.
    TurnEnded {
        /// The target that loaded.
        target: TargetName,
        /// The owner's id for the turn.
        order: OrderId,
        /// How it ended.
        result: TurnResult,
    },
    /// The target's owner has changed: turns asked for by the old one are void.
    OwnerChanged(TargetName),
    /// Operators changed the store's object.
    Reconfigured(SchedulerConfig),
    /// Time has passed.
    Tick,
}

/// What a load scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Tell an owner that it may load now.
    Grant {
        /// The target that loads.
        target: TargetName,
        /// The owner's id for the turn.
        order: OrderId,
        /// How long a load asked for now would wait for its turn.
        queue_wait: Duration,
    },
}

/// The load scheduler of one weight store.
#[derive(Debug)]
pub struct LoadScheduler {
    cfg: SchedulerConfig,
}

impl LoadScheduler {
    /// Starts with no load in progress.
    pub fn new(cfg: SchedulerConfig, _now: Moment) -> Self {
        Self { cfg }
    }

    /// Takes one event and says what is to be done.
    pub fn handle(&mut self, event: SchedulerEvent, _now: Moment) -> Vec<SchedulerAction> {
        match event {
            SchedulerEvent::TurnAsked { target, order, .. } => {
                vec![SchedulerAction::Grant {
                    target,
                    order,
                    queue_wait: Duration::ZERO,
                }]
            }
            SchedulerEvent::Reconfigured(cfg) => {
                self.cfg = cfg;
                Vec::new()
            }
            SchedulerEvent::TurnEnded { .. }
            | SchedulerEvent::TurnHeld { .. }
            | SchedulerEvent::OwnerChanged(_)
            | SchedulerEvent::Tick => Vec::new(),
        }
    }

    /// Returns when [`SchedulerEvent::Tick`] is next wanted.
    pub fn next_wakeup(&self) -> Option<Moment> {
        None
    }
}
