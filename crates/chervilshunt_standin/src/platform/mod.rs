//! A stand-in for the platform's object API: versioned objects, conditional updates, lists and
//! watches.
//!
//! It keeps all objects in memory and serves any group, version, namespace and plural, in the
//! manner of the Kubernetes API server. Its purpose is fault injection (see [`Faults`]): an outage,
//! a response lost after its write took effect, a gap in a watch, a stale list, and others, for all
//! clients or only for some.

mod answer;
mod call;
mod command;
mod faults;
mod handler;
mod path;
mod rate;
mod server;
mod stats;
mod store;
mod watch;

pub use command::run;
pub use faults::{Down, FaultPatch, Faults, Tables};
pub use server::{PlatformHandle, PlatformOptions, start_platform};
pub use stats::{CallCount, Stats};
