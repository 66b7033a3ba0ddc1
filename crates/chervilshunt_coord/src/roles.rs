//! Roles: units of responsibility that have one holder at a time.
//!
//! The platform keeps who holds which role in a fixed number of [`AssignmentRecord`]s. A
//! [`RoleTable`] follows them, says which roles this run holds and under which epoch, and writes
//! them when roles join, move or lose their holder. See `docs/design/roles.md`.

mod assignment;
mod choose;
mod rebalance;
mod role;
mod table;

pub use assignment::{AssignmentRecord, AssignmentShard, RoleEntry};
pub use choose::{Candidate, choose_holder};
pub use role::{Role, RoleError, WantedRole};
pub use table::{RoleAction, RoleConfig, RoleEvent, RoleTable};
