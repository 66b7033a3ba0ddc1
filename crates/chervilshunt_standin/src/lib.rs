//! Small fakes of what stands round the system, with switches for their faults.
//!
//! Each runs as a process of its own (`chervilshunt_standin platform|…`) or inside a test. See
//! `docs/INTERFACES.md` for what they speak.

pub mod check;
pub mod engine;
pub mod fleet;
pub mod plain;
pub mod platform;
pub mod quickstart;
pub mod weights;

mod command;
mod runs;
mod serve;

pub use runs::{RunRecord, Runs};
