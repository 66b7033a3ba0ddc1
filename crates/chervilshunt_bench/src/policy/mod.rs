//! The policy bench: a simulator that runs the decision logic of `chervilshunt_core` in virtual
//! time.
//!
//! Engines and the weight store are simulated. Instances and the network are not modelled, except
//! for a short fixed delay of each message; see `docs/design/bench.md`.

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
