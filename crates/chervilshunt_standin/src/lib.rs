//! Stand-ins for the servers around the system, with fault injection, and tools that test with them.
//!
//! Each stand-in runs as a separate process (`chervilshunt_standin platform|…`) or inside a test.
//! `docs/INTERFACES.md` describes their interfaces.

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
