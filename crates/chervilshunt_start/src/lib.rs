//! Code that all serving programs share: their start, with ports, metrics and the control thread, and
//! how request bodies are read and answers end.
//!
//! The product's daemon and the program on the users' platform serve different requests, but start
//! in the same way.

mod answers;
mod bodies;
mod control;
mod error;
mod metrics;
mod ports;

pub use answers::{CallerProtocol, FlushBeforeError};
pub use bodies::{BodyIntake, BodyLimits, IntakeError, memory_limit};
pub use control::{forward, on_control_thread};
pub use error::StartError;
pub use metrics::install_metrics;
pub use ports::{Port, open_ports};
