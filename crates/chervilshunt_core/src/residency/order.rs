//! The inputs and outputs of the planner.

use std::time::Duration;

use chervilshunt_model::{InstanceId, ServiceName, TargetName};
use serde::{Deserialize, Serialize};

use super::grants::{GrantNumber, GrantProgress};
use super::placement::PlacementRequest;
use crate::dispatch::{AdapterHolding, PlacementLimits, TargetFacts, TargetStart, Weights};
use crate::owner::OrderKind;
use crate::rate_limit::RequestRate;

/// The number of an order, unique within one placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderNumber(pub u64);

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The number of the order.
    pub number: OrderNumber,
    /// The target that the order is for.
    pub target: TargetName,
    /// Whether to load or to unload.
    pub kind: OrderKind,
    /// The weights to load or unload.
    pub weights: Weights,
    /// The version to load, or `None` for the newest.
    pub version: Option<u64>,
    /// The number of orders that the target must have accepted before; it rejects the order at any
    /// other number.
    pub accepted_before: u64,
}

/// A target's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The target is executing the order.
    Accepted,
    /// The order had no effect because it was already fulfilled, or was completed immediately.
    Done,
    /// Another order is in progress, or the number of previously accepted orders differs.
    OutOfTurn,
    /// A different target now uses this address.
    OtherTarget,
    /// The target rejects the order permanently.
    Refused,
    /// The order was not sent.
    NotSent,
    /// The order was sent but not answered: it may be executed at any time.
    Unanswered,
}

/// The state that a target reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// The start time of the target, or `None` if it does not report one.
    pub started: Option<TargetStart>,
    /// The number of orders that the target has accepted since it started.
    pub accepted: u64,
    /// Whether the target is executing an order that prevents it from accepting others.
    pub busy: bool,
    /// The loaded base models, with their versions.
    pub models: Vec<(Weights, u64)>,
    /// The loaded adapters, with their versions.
    pub adapters: Vec<(Weights, u64)>,
    /// The adapters that the target is loading, with their versions, or `None` if it does not tell these.
    pub loading: Vec<(Weights, Option<u64>)>,
}

/// The requests that one instance has in flight with an adapter at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUse {
    /// The name of the target.
    #[serde(rename = "t")]
    pub target: TargetName,
    /// The adapter, or `None` for requests without one.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<Weights>,
    /// The number of requests in flight.
    #[serde(rename = "n")]
    pub in_flight: u32,
}

/// The result of a placement request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementResult {
    /// A target holds the adapter now. The request may be sent there, and counts as in flight until
    /// its end is reported; the grant has the number of the placement request.
    At {
        /// The name of the target.
        #[serde(rename = "t")]
        target: TargetName,
        /// The version of the adapter that the target holds, or `None` for a request for the base
        /// model.
        #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
        version: Option<u64>,
        /// The delay after which the request may be sent, if it counts against a rate limit that the
        /// target has named.
        #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
        send_in: Option<Duration>,
    },
    /// No target can take the request now.
    Later {
        /// How long to wait before another attempt.
        retry_in: Duration,
    },
}

/// An event that the planner reacts to.
#[derive(Clone, Debug)]
pub enum ResidencyEvent {
    /// The platform lists a target.
    TargetListed(TargetFacts),
    /// A target is gone.
    TargetGone(TargetName),
    /// The limits on what the targets of a service may hold.
    Limits(ServiceName, PlacementLimits),
    /// An instance needs a target for a request.
    PlacementRequested {
        /// Identifies the placement request in the answer.
        request_id: u64,
        /// The instance that asks.
        from: InstanceId,
        /// The requirements of the request.
        request: PlacementRequest,
        /// How long the request waits for placement.
        within: Duration,
    },
    /// Everything that one instance has in flight, and the grants that are included in it.
    UsageReported(InstanceId, Vec<TargetUse>, Vec<GrantNumber>),
    /// The progress of granted requests.
    GrantsProgressed(GrantProgress),
    /// An instance is gone, together with the requests that it had in flight.
    InstanceGone(InstanceId),
    /// A target reported that it does not hold an adapter that was announced for it.
    NotHeld(TargetName, Weights),
    /// A target answered an order.
    OrderAnswered(OrderNumber, OrderAnswer),
    /// A target reported its state.
    TargetReported(TargetName, TargetReport),
    /// A target could not be queried.
    ReportFailed(TargetName),
    /// The rate limits of all targets that have named one.
    RateLimits(Vec<(TargetName, RequestRate)>),
    /// The services whose targets fall over when they have to turn away too many requests.
    BrittleServices(Vec<ServiceName>),
    /// An instance could not connect to a target.
    Unreachable(InstanceId, TargetName),
    /// The newest version of some weights was announced.
    VersionAnnounced(Weights, u64),
    /// Time has passed.
    Tick,
}

/// An action that the planner requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResidencyAction {
    /// Send an order to a target.
    Order(Order),
    /// Query the state of a target.
    QueryTarget(TargetName),
    /// Notify all instances about an adapter on a target.
    Notify(AdapterHolding),
    /// Answer a placement request.
    Answer(u64, PlacementResult),
}
