//! Benchmarks and load tools of chervilshunt.
//!
//! [`load`] sends requests to running instances and checks every answer; see
//! `docs/operators/load-tool.md`. [`figures`] starts deployments and measures the figures recorded
//! in `docs/PERFORMANCE.md`; [`capacity`] measures the control-plane cost of whole fleets.
//! [`faults`] starts a whole deployment and checks every guarantee while it injects random faults.
//! [`policy`] simulates the decisions of `chervilshunt_core` in virtual time, and [`plot`] draws
//! the results; see `docs/design/bench.md`.

pub mod capacity;
pub mod faults;
pub mod figures;
pub mod load;
pub mod plot;
pub mod policy;
