//! Actions that an owner requests.

use chervilshunt_model::{AdapterVersion, AttemptId, InstanceId};

use super::order::{EngineOrder, LoadUrgency, OrderId};
use crate::{Decision, PermitAnswer};

/// An action that an owner requests from the code that drives it.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Answer a permit request.
    Answer {
        /// The instance that sent the request.
        entry: InstanceId,
        /// The attempt that the request is for.
        attempt: AttemptId,
        /// The answer.
        answer: PermitAnswer,
    },
    /// Request a turn from the load scheduler, or update the urgency of a turn that is already
    /// requested.
    RequestTurn {
        /// The order that the turn is for.
        order: OrderId,
        /// The adapter version to be loaded.
        model: AdapterVersion,
        /// How urgently it is needed.
        urgency: LoadUrgency,
    },
    /// Notify the load scheduler that a turn has ended or is no longer needed.
    EndTurn {
        /// The order that the turn was for.
        order: OrderId,
        /// Whether the load succeeded, or `None` if it was not started.
        loaded: Option<bool>,
    },
    /// Notify the load scheduler that a turn is still in use. A scheduler that has just become
    /// reachable learns in this way of turns that an earlier scheduler granted.
    RenewTurn {
        /// The order that the turn is for.
        order: OrderId,
        /// The adapter version that is being loaded.
        model: AdapterVersion,
    },
    /// Send an order to the engine. The sender checks the lease again immediately before it sends
    /// the order.
    Order(EngineOrder),
    /// Request the list of adapters that the engine holds.
    RequestInventory,
    /// Confirm to the power allocator that the target observes its share.
    ConfirmShare {
        /// The sequence number of the share.
        sequence: u64,
        /// The most power that the target can draw from now on, in watts.
        watts: f64,
    },
    /// Report to the power allocator how much power the current work could use.
    ReportDemand {
        /// Power for live work, in watts.
        live_watts: f64,
        /// Power for deferrable work in addition to the live work, in watts.
        deferrable_watts: f64,
    },
    /// Log a decision.
    Log(Decision),
}
