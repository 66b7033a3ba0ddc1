//! A whole deployment as separate processes on loopback, for the quickstart, fault runs and tests.
//!
//! [`Fleet`] starts stand-ins and instances of `chervilshuntd`, and does the platform's own job for
//! them: it keeps the instance list. It can kill, freeze, terminate and replace each process and
//! cut the links between instances. Every wait is bounded; what runs out of time is reported with
//! the process, what was awaited and the last lines of its log. Processes end by their own handle
//! when the fleet is dropped, also when a test panics.

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
pub use load::{Load, LoadOptions, Try, completion, entry};
pub use operators::Statements;
pub use process::{Process, Signal};
pub use promise::{Evidence, Promise, describe};
pub use registry::{Condition, Endpoint, Registry};
pub use start::{Fleet, FleetOptions, Instance, Target, TargetKind};
pub use wait::wait_until;
