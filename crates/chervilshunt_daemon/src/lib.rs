//! The daemon chervilshuntd: actors and servers round the decisions.
//!
//! One thread holds the control state (`control`), others carry traffic (`traffic`); operators
//! have a port of their own (`operators`). The decisions themselves are in `chervilshunt_core`
//! and `chervilshunt_coord`. See `docs/ARCHITECTURE.md`.

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
