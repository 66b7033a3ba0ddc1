//! Events that an owner handles.

use std::time::Duration;

use chervilshunt_model::{AdapterVersion, InstanceId, TargetName};

use super::order::{OrderFailure, OrderId};
use crate::{Permit, PermitRequest, ReleasedPermit};

/// A load report of an engine, which arrives with a delay.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// Number of running sequences.
    pub running: u32,
    /// Number of sequences that wait inside the engine.
    pub waiting: u32,
    /// Age of the report when it arrived.
    pub age: Duration,
}

/// An engine's report of the adapters in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterReport {
    /// The adapters that serve at least one running sequence.
    pub running: Vec<AdapterVersion>,
    /// Number of sequences that wait inside the engine, for whichever adapter.
    pub waiting: u32,
    /// Age of the report when it arrived.
    pub age: Duration,
}

/// An event that an owner handles.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    /// An entry instance requests a permit.
    PermitRequested(PermitRequest),
    /// An entry instance releases a permit or withdraws its request.
    PermitReleased(ReleasedPermit),
    /// An instance has left. Its queued requests are dropped; its permits end after the permit
    /// window and a grace period for the engine to abort their calls.
    EntryLeft(InstanceId),
    /// The load scheduler grants a requested turn.
    TurnGranted {
        /// The order that the turn is for.
        order: OrderId,
        /// How long a load that is requested now would wait for its turn.
        queue_wait: Duration,
    },
    /// The load scheduler became reachable or unreachable. A new scheduler knows no turns.
    ///
    /// An owner starts with a scheduler that it assumes to be reachable.
    SchedulerReachable(bool),
    /// An order ended.
    OrderEnded {
        /// The order.
        order: OrderId,
        /// How it ended.
        result: Result<(), OrderFailure>,
    },
    /// The engine reported its load.
    EngineReported(EngineReport),
    /// The engine reported which adapters are in use.
    AdaptersReported(AdapterReport),
    /// The engine listed the adapters that it holds, in answer to
    /// [`OwnerAction::RequestInventory`](crate::OwnerAction::RequestInventory).
    Inventory(Vec<AdapterVersion>),
    /// An instance listed the permits that it holds for the target, after a takeover.
    PermitsHeld {
        /// The instance.
        entry: InstanceId,
        /// Its permits.
        permits: Vec<Permit>,
    },
    /// Every live instance has listed its permits or has left, so evictions are safe from now on.
    TakeoverComplete,
    /// The engine became reachable or unreachable. After a restart it holds no adapters.
    Reachable(bool),
    /// The power allocator set the share.
    ShareSet {
        /// The sequence number of the share, which the confirmation repeats.
        sequence: u64,
        /// The share, in watts.
        watts: f64,
    },
    /// The prefixes that the engine has cached, according to cache events that arrive late and with
    /// gaps.
    PrefixesCached(Vec<u64>),
    /// The target starts (`true`) or stops (`false`) draining: a draining target takes no new work.
    Draining(bool),
    /// The set of other targets of the service changed.
    PeersChanged(Vec<TargetName>),
    /// Time has passed.
    Tick,
}
