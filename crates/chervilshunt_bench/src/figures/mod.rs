//! The performance figures that the project guarantees, each measured on its own deployment.
//!
//! `docs/PERFORMANCE.md` records them. Each run starts stand-ins and instances as separate
//! processes on loopback, and stops them afterwards.

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
