//! Decides which weights each target is ordered to hold. One placer makes this decision for the
//! whole deployment.
//!
//! The state machine takes the placement requests and usage reports of instances, the answers of
//! targets to orders and the platform's list of targets, and returns orders and notifications. At
//! most one order is in flight per target, so that each order can state the number of orders that
//! the target has accepted before it: an order that is executed late, after newer ones, is then
//! rejected. See `docs/design/on-the-platform.md`.

mod answers;
mod choice;
mod config;
mod estimates;
mod grants;
mod hold;
mod lanes;
mod loads;
mod memory;
mod models;
mod order;
mod placement;
mod planner;
mod prefill_rate;
mod restart;
mod slot_time;
mod target;
mod unreachable;
mod versions;
mod window;

pub use config::ResidencyConfig;
pub use estimates::LoadEstimates;
pub use grants::{GrantNumber, GrantProgress};
pub use order::{
    Order, OrderAnswer, OrderNumber, PlacementResult, ResidencyAction, ResidencyEvent,
    TargetReport, TargetUse,
};
pub use placement::PlacementRequest;
pub use planner::ResidencyPlanner;
