//! Injects random faults into a whole deployment under load and checks every request.
//!
//! Instances, engines and platform run as separate processes on loopback. In each episode the run
//! injects one to three faults drawn from a seed, keeps them active, heals them, and measures the
//! time until every instance answers probes again. Load runs throughout, operators change the
//! configuration concurrently, and at the end the answers that callers received are compared with
//! what the targets ran. The system under test is the real processes: network, clock and cluster
//! are not simulated.

mod change;
mod command;
mod episode;
mod fault;
mod probe;
mod report;
mod run;

pub use command::run;
