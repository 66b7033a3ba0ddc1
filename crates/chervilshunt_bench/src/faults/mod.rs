//! Random faults over a whole deployment, with every request checked.
//!
//! Instances, engines and platform run as separate processes on loopback. Episode by episode the
//! run injects one to three faults drawn from a seed, holds them, heals them, and times how long
//! it takes until every instance answers probes again. Load goes on all the while, operators
//! change the configuration and race each other, and at the end what callers were told is held
//! against what the targets ran. The real processes are the system under test: nothing simulates a
//! network, a clock or a cluster.

mod change;
mod command;
mod episode;
mod fault;
mod probe;
mod report;
mod run;

pub use command::run;
