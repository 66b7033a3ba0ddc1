//! Code that all serving programs share: their start, with ports, metrics and the control thread, and
//! how their answers end.
//!
//! The product's daemon and the program on the users' platform serve different requests, but start
//! in the same way.

mod answers;
mod control;
mod error;
mod metrics;
mod ports;

pub use answers::{CallerProtocol, FlushBeforeError};
pub use control::{forward, on_control_thread};
pub use error::StartError;
pub use metrics::install_metrics;
pub use ports::listen;
