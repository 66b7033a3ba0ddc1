//! The policy bench: the decisions of `chervilshunt_core` alone, in virtual time.
//!
//! A fake engine and a fake weight store stand round it. No instances and no network are modelled,
//! but for a short fixed delay of each message; see `docs/design/bench.md`.

mod aims;
mod args;
mod baseline;
mod clairvoyant;
mod comparison;
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
mod table_args;
mod timeline;
mod workload;
mod world;

pub use aims::{Aim, Limit};
pub use args::{PolicyError, run};
pub use comparison::{Comparison, ResultsTable};
pub use deployment::DeploymentKind;
pub use metrics::{ClassReport, RunReport};
pub use run::{Mechanism, Policy, RunSpec, run_policy, run_timeline};
pub use scenario::Scenario;
pub use summary::{Matrix, Row};
pub use table::render;
pub use table_args::run_table;
