//! The policy bench: the decisions of `chervilshunt_core` alone, in virtual time.
//!
//! A fake engine and a fake weight store stand round it. No instances and no network are modelled,
//! but for a short fixed delay of each message; see `docs/design/bench.md`.

mod args;
mod baseline;
mod clairvoyant;
mod core_policy;
mod deployment;
mod engine;
mod entry;
mod informed;
mod metrics;
mod power;
mod queue;
mod requests;
mod run;
mod scenario;
mod store;
mod summary;
mod table;
mod timeline;
mod workload;
mod world;

pub use args::{PolicyError, run};
pub use deployment::DeploymentKind;
pub use metrics::{ClassReport, Report};
pub use run::{Policy, RunSpec, run_policy, run_timeline};
pub use scenario::Scenario;
pub use summary::{Matrix, Row};
pub use table::render;
