//! The owner of one target: permits, queue, adapter slots, loads and orders to the engine.

use std::time::Duration;

use chervilshunt_model::{
    AdapterVersion, AttemptId, Class, Epoch, Fencing, InstanceId, Moment, TargetName,
};
use serde::{Deserialize, Serialize};

use crate::{
    Decision, Mechanisms, Permit, PermitAnswer, PermitRequest, PolicyWeights, RefusalReason,
    ReleasedPermit,
};

/// What an owner has to know of its target and deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerConfig {
    /// The target.
    pub target: TargetName,
    /// The fencing number under which this owner holds the role.
    pub epoch: Epoch,
    /// Whether the target refuses old fencing numbers.
    pub fencing: Fencing,
    /// Adapters that the target can hold; 0 for a plain service.
    pub slots: u32,
    /// Sequences that the target can run at a time.
    pub max_batch: u32,
    /// Power of a step that runs no sequence, in watts.
    pub idle_watts: f64,
    /// Power that each running sequence adds, in watts.
    pub watts_per_sequence: f64,
    /// Share of the site's power at the start, in watts.
    pub share_watts: f64,
    /// The most requests that may wait, for each class.
    pub queue_bound: usize,
    /// The time within which a permit has to be used.
    pub permit_window: Duration,
    /// The time between two loads begun while the load scheduler can't be reached.
    ///
    /// Targets of the store times the seconds between loads of the store keeps them all together
    /// within the store's rate.
    pub unscheduled_load_interval: Duration,
    /// Other targets of the service, over which an adapter may be spread.
    pub peers: Vec<TargetName>,
    /// What the deployment minds most.
    pub weights: PolicyWeights,
    /// The mechanisms that are on; all of them outside the bench.
    pub mechanisms: Mechanisms,
}

/// The id of an order to the engine, or of the wait for a turn to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub u64);

/// An order to the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOrder {
    /// The id under which its result comes back.
    pub id: OrderId,
    /// The fencing number that it carries.
    pub epoch: Epoch,
    /// What is to be done.
    pub kind: OrderKind,
    /// The adapter version that it concerns.
    pub model: AdapterVersion,
}

/// What an order asks of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load the adapter version into a free slot.
    Load,
    /// Unload the adapter version.
    Unload,
}

/// Why an order was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFailure {
    /// The engine refused the fencing number: somebody else owns the target now.
    Fenced,
    /// The engine or the weight store said no.
    Refused,
    /// The order went unanswered: it may have been carried out.
    Unknown,
}

/// How badly a load is needed; the load scheduler orders by it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadUrgency {
    /// The class of the most urgent request that waits; none for a load ahead of demand.
    pub class: Option<Class>,
    /// Requests that wait for the adapter.
    pub waiters: u32,
    /// How long the oldest of them has waited, in milliseconds.
    pub oldest_ms: u64,
}

/// What an engine said of itself; it lags.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// Sequences running.
    pub running: u32,
    /// Sequences waiting inside the engine.
    pub waiting: u32,
    /// How old the report was when it arrived.
    pub age: Duration,
}

/// What an owner has to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    /// An entry instance asks for a permit.
    PermitRequested(PermitRequest),
    /// An entry instance gives a permit back, or withdraws its request.
    PermitReleased(ReleasedPermit),
    /// An instance has left: its queued requests go, its permits end with their window.
    EntryLeft(InstanceId),
    /// The load scheduler gives the turn that was asked for.
    TurnGranted {
        /// The order that the turn is for.
        order: OrderId,
        /// How long a load asked for now would wait for its turn.
        queue_wait: Duration,
    },
    /// The load scheduler can't be reached or is back; a new one knows of no turn.
    ///
    /// An owner starts with a scheduler that it takes to be reachable.
    SchedulerReachable(bool),
    /// An order came to its end.
    OrderEnded {
        /// The order.
        order: OrderId,
        /// How it ended.
        result: Result<(), OrderFailure>,
    },
    /// The engine reported its load.
    Reported(EngineReport),
    /// The engine listed the adapters that it holds, as asked with [`OwnerAction::AskInventory`].
    Inventory(Vec<AdapterVersion>),
    /// An instance listed the permits that it holds for the target, after a takeover.
    PermitsHeld {
        /// The instance.
        entry: InstanceId,
        /// Its permits.
        permits: Vec<Permit>,
    },
    /// Every live instance has listed its permits, or has left: evictions are safe from now on.
    TakeoverComplete,
    /// The engine can't be reached or is back; after a restart it is empty.
    Reachable(bool),
    /// The power allocator set the share, in watts.
    ShareSet {
        /// The number of the share, to confirm it.
        sequence: u64,
        /// The share.
        watts: f64,
    },
    /// The prefixes that the engine holds cached, as late and gappy events tell.
    Cached(Vec<u64>),
    /// The target starts or stops taking new work.
    Draining(bool),
    /// The other targets of the service have changed.
    PeersChanged(Vec<TargetName>),
    /// Time has passed.
    Tick,
}

/// What an owner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Answer a request for a permit.
    Answer {
        /// The instance that asked.
        entry: InstanceId,
        /// The try that it asked for.
        attempt: AttemptId,
        /// The answer.
        answer: PermitAnswer,
    },
    /// Ask the load scheduler for a turn, or renew the urgency of a turn asked for before.
    AskTurn {
        /// The order that the turn is for.
        order: OrderId,
        /// The adapter version to be loaded.
        model: AdapterVersion,
        /// How badly it is needed.
        urgency: LoadUrgency,
    },
    /// Tell the load scheduler that a turn is over or no longer wanted.
    EndTurn {
        /// The order that the turn was for.
        order: OrderId,
        /// Whether the load succeeded; none if it was not begun.
        loaded: Option<bool>,
    },
    /// Tell a load scheduler that has just come back of a turn that an earlier one granted.
    HoldTurn {
        /// The order that the turn is for.
        order: OrderId,
        /// The adapter version that is being loaded.
        model: AdapterVersion,
    },
    /// Give the engine an order. The holder checks its lease again right before it goes out.
    Order(EngineOrder),
    /// Ask the engine which adapters it holds.
    AskInventory,
    /// Confirm to the power allocator that the share is kept.
    ConfirmShare {
        /// The number of the share.
        sequence: u64,
        /// The most power that the target can draw from now on, in watts.
        watts: f64,
    },
    /// Tell the power allocator how much power the work at hand could use.
    ReportDemand {
        /// Power for live work, in watts.
        live_watts: f64,
        /// Power for deferrable work beside it, in watts.
        deferrable_watts: f64,
    },
    /// Write a decision to the log.
    Log(Decision),
}

/// The owner of one target.
#[derive(Debug)]
pub struct Owner {
    cfg: OwnerConfig,
    running: u32,
}

impl Owner {
    /// Starts to own a target.
    pub fn new(cfg: OwnerConfig, _now: Moment) -> Self {
        Self { cfg, running: 0 }
    }

    /// Takes one event and says what is to be done.
    pub fn handle(&mut self, event: OwnerEvent, _now: Moment) -> Vec<OwnerAction> {
        match event {
            OwnerEvent::PermitRequested(req) => vec![self.answer(&req)],
            OwnerEvent::PermitReleased(_) => {
                self.running = self.running.saturating_sub(1);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Returns when [`OwnerEvent::Tick`] is next wanted.
    pub fn next_wakeup(&self) -> Option<Moment> {
        None
    }

    fn answer(&mut self, req: &PermitRequest) -> OwnerAction {
        let answer = if self.running < self.cfg.max_batch {
            self.running += 1;
            let permit = Permit {
                attempt: req.attempt,
                entry: req.entry.clone(),
                target: self.cfg.target.clone(),
                model: req.model.clone(),
                class: req.class,
                epoch: self.cfg.epoch,
                window_ms: u64::try_from(self.cfg.permit_window.as_millis()).unwrap_or(u64::MAX),
            };
            PermitAnswer::Granted {
                permit,
                spread: std::iter::once(self.cfg.target.clone()).collect(),
            }
        } else {
            PermitAnswer::Refused {
                reason: RefusalReason::QueueFull,
                retry_after_ms: 100,
            }
        };
        OwnerAction::Answer {
            entry: req.entry.clone(),
            attempt: req.attempt,
            answer,
        }
    }
}
