//! What an owner has to react to.

use std::time::Duration;

use chervilshunt_model::{AdapterVersion, InstanceId, TargetName};

use super::order::{OrderFailure, OrderId};
use crate::{Permit, PermitRequest, ReleasedPermit};

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
    EngineReported(EngineReport),
    /// The engine listed the adapters that it holds, as asked with [`OwnerAction::RequestInventory`](crate::OwnerAction::AskInventory).
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
    PrefixesCached(Vec<u64>),
    /// The target starts or stops taking new work.
    Draining(bool),
    /// The other targets of the service have changed.
    PeersChanged(Vec<TargetName>),
    /// Time has passed.
    Tick,
}
