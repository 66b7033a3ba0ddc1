//! Orders to the engine, and the urgency of loads.

use chervilshunt_model::{AdapterVersion, Class, Epoch};
use serde::{Deserialize, Serialize};

/// The id of an order to the engine. The turn for a load has the id of the load's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub u64);

/// An order to the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOrder {
    /// The id under which the result is returned.
    pub id: OrderId,
    /// The fencing number of the owner that sends the order.
    pub epoch: Epoch,
    /// What the engine is to do.
    pub kind: OrderKind,
    /// The adapter version to load or unload.
    pub model: AdapterVersion,
}

/// The operation that an order requests.
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
    /// The engine refused the fencing number because another instance owns the target now.
    Fenced,
    /// The engine or the weight store refused the order.
    Refused,
    /// The order got no response, so it may or may not have been carried out.
    Unknown,
}

/// How urgently a load is needed, by which the load scheduler orders loads.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadUrgency {
    /// The class of the most urgent waiting request, or `None` for a preload.
    pub class: Option<Class>,
    /// Number of requests that wait for the adapter.
    pub waiters: u32,
    /// How long the oldest of these requests has waited, in milliseconds.
    pub oldest_ms: u64,
}
