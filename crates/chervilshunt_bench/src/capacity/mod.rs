//! Control-plane cost of whole fleets: bytes and platform API calls by purpose, taken from the
//! daemons' metrics, while idle and during one graceful restart.
//!
//! `docs/CAPACITY.md` records the results and compares them with estimates from the slopes of the
//! parts. Each fleet size starts stand-ins and instances as separate processes on loopback, and
//! stops them afterwards.

mod command;
mod line;
mod measure;
mod table;

pub use command::run;
