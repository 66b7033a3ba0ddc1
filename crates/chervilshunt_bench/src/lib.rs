//! Benches of chervilshunt.
//!
//! [`load`] sends requests to running instances and checks every answer; see
//! `docs/operators/load-tool.md`. [`figures`] starts deployments and measures what
//! `docs/PERFORMANCE.md` records, and [`capacity`] what control costs in whole fleets. [`faults`] starts a whole deployment and checks every promise while
//! it injects faults at random. [`policy`] drives the decisions of `chervilshunt_core` alone, in
//! virtual time, and [`plot`] draws what came out; see `docs/design/bench.md`.

pub mod capacity;
pub mod faults;
pub mod figures;
pub mod load;
pub mod plot;
pub mod policy;
