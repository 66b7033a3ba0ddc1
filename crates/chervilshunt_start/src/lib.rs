//! What every serving program does at its start: ports, metrics and the control thread.
//!
//! The product's daemon and the program on the users' platform differ in what they serve, and share
//! how they come up.

mod control;
mod error;
mod metrics;
mod ports;

pub use control::{forward, on_control_thread};
pub use error::StartError;
pub use metrics::install_metrics;
pub use ports::listen;
