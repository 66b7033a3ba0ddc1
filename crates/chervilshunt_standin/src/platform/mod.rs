//! The platform's object API: objects with versions, conditional updates, lists and watches.
//!
//! It keeps everything in memory and serves any group, version, namespace and plural alike, in the
//! manner of Kubernetes' API server. What it is for are its [`Faults`]: an outage, an answer that
//! is lost after the write took effect, a gap in a watch, a stale list, and so on, for all clients
//! or for some.

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
