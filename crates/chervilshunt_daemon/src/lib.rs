//! The chervilshuntd daemon: the actors and servers around the decision logic.
//!
//! One thread owns the control state (`control`), and others carry callers' requests (`traffic`).
//! Operators have a separate port (`operators`). The decision logic itself is in
//! `chervilshunt_core` and `chervilshunt_coord`. See `docs/ARCHITECTURE.md`.

mod args;
mod control;
mod facts;
mod keyed;
mod lease_timing;
mod operators;
mod routing;
mod run;
mod shutdown;
mod traffic;
mod wire;

pub use args::{Args, ArgsError, USAGE};
pub use run::{RunError, run};
