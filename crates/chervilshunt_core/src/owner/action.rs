//! What an owner wants done.

use chervilshunt_model::{AdapterVersion, AttemptId, InstanceId};

use super::order::{EngineOrder, LoadUrgency, OrderId};
use crate::{Decision, PermitAnswer};

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
    RequestTurn {
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
    /// Tell the load scheduler that a turn is still in use, or one that has just come back of a
    /// turn that an earlier one granted.
    RenewTurn {
        /// The order that the turn is for.
        order: OrderId,
        /// The adapter version that is being loaded.
        model: AdapterVersion,
    },
    /// Give the engine an order. The holder checks its lease again right before it goes out.
    Order(EngineOrder),
    /// Ask the engine which adapters it holds.
    RequestInventory,
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
