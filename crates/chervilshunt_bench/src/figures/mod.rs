//! The figures that the project promises, each measured on a deployment started for it.
//!
//! `docs/PERFORMANCE.md` records them. Each run starts stand-ins and instances as separate processes
//! on loopback, and ends them.

mod command;
mod deployment;
pub(crate) mod error;
mod figure;
mod first_token;
mod relayed;
pub(crate) mod scrape;
mod streams;

pub use command::run;
pub use error::FiguresError;
pub use figure::{Bound, Figure};
