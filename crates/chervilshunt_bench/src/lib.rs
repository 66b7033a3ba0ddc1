//! Benches of chervilshunt.
//!
//! [`load`] sends requests to running instances and checks every answer; see
//! `docs/operators/load-tool.md`.

pub mod load;
