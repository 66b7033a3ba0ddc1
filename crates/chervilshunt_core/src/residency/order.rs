//! What goes into the planner and what comes out of it.

use std::time::Duration;

use chervilshunt_model::{InstanceId, ServiceName, TargetName};
use serde::{Deserialize, Serialize};

use super::grants::{GrantNumber, GrantProgress};
use super::wants::Want;
use crate::dispatch::{Holding, PlacementLimits, TargetFacts, TargetStart, Weights};
use crate::owner::OrderKind;

/// The number of an order, unlike that of any other of this placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderNumber(pub u64);

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Its number.
    pub number: OrderNumber,
    /// The target.
    pub target: TargetName,
    /// What it is to do.
    pub kind: OrderKind,
    /// With which weights.
    pub weights: Weights,
    /// Which version it is to load; none for the newest.
    pub version: Option<u64>,
    /// The orders that the target has accepted before; it refuses the order at another number.
    pub accepted_before: u64,
}

/// What a target says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds already, or has been done at once.
    Done,
    /// Another order is under way, or the number of orders accepted before differs.
    OutOfTurn,
    /// The target at that address is another one by now.
    OtherTarget,
    /// It refuses the order for good.
    Refused,
    /// The order did not leave.
    NotSent,
    /// The order left and got no answer: it may be carried out at any time.
    Unanswered,
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// When it started; none if it doesn't say so.
    pub started: Option<TargetStart>,
    /// The orders that it has accepted since it started.
    pub accepted: u64,
    /// Whether it carries out an order that keeps it from taking others.
    pub busy: bool,
    /// The base models that it holds, with their versions.
    pub models: Vec<(Weights, u64)>,
    /// The adapters that it holds, with their versions.
    pub adapters: Vec<(Weights, u64)>,
    /// The adapters that it is loading.
    pub loading: Vec<Weights>,
}

/// What one instance does with an adapter at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// The target.
    #[serde(rename = "t")]
    pub target: TargetName,
    /// The adapter; none for requests without one.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<Weights>,
    /// Its requests under way there.
    #[serde(rename = "n")]
    pub in_flight: u32,
}

/// What came of wanting an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placed {
    /// A target holds it now. The request may be sent there, and counts as under way there until its
    /// end is told; the grant for that bears the number of the question.
    At {
        /// The target.
        #[serde(rename = "t")]
        target: TargetName,
        /// The version of the adapter that it holds; none where the base model is wanted.
        #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
        version: Option<u64>,
    },
    /// No target can take it now.
    Later {
        /// When it is worth asking again.
        retry_in: Duration,
    },
}

/// What the planner has to react to.
#[derive(Clone, Debug)]
pub enum ResidencyEvent {
    /// The platform lists a target.
    TargetSeen(TargetFacts),
    /// A target is gone.
    TargetGone(TargetName),
    /// What the targets of a service may hold.
    Limits(ServiceName, PlacementLimits),
    /// An instance has a request that needs a target.
    Wanted {
        /// Names the question in the answer.
        question: u64,
        /// The instance that asks.
        from: InstanceId,
        /// What the request wants.
        want: Want,
        /// How long the request waits for it.
        within: Duration,
    },
    /// What one instance has under way, whole, and which of its grants are part of it.
    Used(InstanceId, Vec<Use>, Vec<GrantNumber>),
    /// How far instances have come with what they were granted.
    Progressed(GrantProgress),
    /// An instance is gone, and what it had under way.
    InstanceGone(InstanceId),
    /// A target said that it does not hold an adapter that it was told to hold.
    NotHeld(TargetName, Weights),
    /// A target answered an order.
    Answered(OrderNumber, OrderAnswer),
    /// A target said what it holds.
    Reported(TargetName, TargetReport),
    /// A target could not be asked what it holds.
    NotReported(TargetName),
    /// A version is the newest.
    VersionNamed(Weights, u64),
    /// Time has passed.
    Tick,
}

/// What the planner wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResidencyAction {
    /// Give a target an order.
    Order(Order),
    /// Ask a target what it holds.
    Ask(TargetName),
    /// Tell all instances who holds what.
    Tell(Holding),
    /// Answer a question.
    Answer(u64, Placed),
}
