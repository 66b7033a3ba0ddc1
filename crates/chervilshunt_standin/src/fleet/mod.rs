//! Runs a complete deployment as separate processes on loopback, for the quickstart, fault runs and
//! tests.
//!
//! [`Fleet`] starts stand-ins and instances of `chervilshuntd`. In place of the platform it also
//! maintains the list of endpoints. It can pause any process, kill, terminate and replace instances,
//! and cut the links between them. Every wait has a time limit; a timeout is reported with the
//! process, the awaited event and the last lines of the log. Each child process is killed through
//! its own handle when the fleet is dropped, including when a test panics.

mod binaries;
mod deployment;
mod error;
mod http;
mod link;
mod load;
mod operators;
mod process;
mod promise;
mod registry;
mod settings;
mod start;
#[cfg(test)]
mod tests;
mod wait;

pub use binaries::Binaries;
pub use deployment::{adapter_name, create_version, model_name};
pub use error::FleetError;
pub use http::{HttpClient, Reply};
pub use link::{Link, LinkMode};
pub use load::{Attempt, Load, LoadOptions, completion, entry};
pub use operators::Statements;
pub use process::{Process, Signal};
pub use promise::{Evidence, Promise, describe};
pub use registry::{Condition, Endpoint, Registry};
pub use start::{Fleet, FleetOptions, Instance, Target, TargetKind};
pub use wait::wait_until;
