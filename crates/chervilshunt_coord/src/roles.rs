//! Roles: units of responsibility that have one holder at a time.
//!
//! The platform stores the holders of the roles in a fixed number of [`AssignmentRecord`]s. A
//! [`RoleTable`] follows these records, tracks which roles this run holds and under which epochs,
//! and updates the records when a role is added, moves or loses its holder. See
//! `docs/design/roles.md`.

mod assignment;
mod choose;
mod rebalance;
mod role;
mod table;

pub use assignment::{AssignmentRecord, AssignmentShard, RoleEntry};
pub use choose::{Candidate, choose_holder};
pub use role::{Role, RoleError, WantedRole};
pub use table::{RoleAction, RoleConfig, RoleEvent, RoleTable};
