//! Which target is ordered to hold which weights, decided by the one placer of the deployment.
//!
//! The machine takes what instances want and use, what targets answer to orders and what the
//! platform lists, and gives back orders and tellings. It never has two orders on their way to one
//! target, so that each order can name the number of orders that the target has accepted before it:
//! one that is carried out late, after newer ones, then fails by itself. See
//! `docs/design/on-the-platform.md`.

mod answers;
mod choice;
mod config;
mod grants;
mod hold;
mod lanes;
mod learnt;
mod loads;
mod memory;
mod models;
mod order;
mod pace;
mod planner;
mod restart;
mod target;
mod versions;
mod wants;
mod window;

pub use config::ResidencyConfig;
pub use grants::{GrantNumber, GrantProgress};
pub use learnt::Learnt;
pub use order::{
    Order, OrderAnswer, OrderNumber, Placed, ResidencyAction, ResidencyEvent, TargetReport, Use,
};
pub use planner::Residency;
pub use wants::Want;
