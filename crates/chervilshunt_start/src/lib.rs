//! Start-up code that all serving programs share: ports, metrics and the control thread.
//!
//! The product's daemon and the program on the users' platform serve different requests, but start
//! in the same way.

mod control;
mod error;
mod metrics;
mod ports;

pub use control::{forward, on_control_thread};
pub use error::StartError;
pub use metrics::install_metrics;
pub use ports::listen;
