//! Orders to the engine, and the urgency of loads.

use chervilshunt_model::{AdapterVersion, Class, Epoch};
use serde::{Deserialize, Serialize};

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
