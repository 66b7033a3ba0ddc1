//! What control costs in whole fleets: bytes and platform calls by purpose, from the daemons' own
//! metrics, at rest and through one graceful restart.
//!
//! `docs/CAPACITY.md` records them, and sets them against what it works out from the slopes of the
//! parts. Each size starts stand-ins and instances as separate processes on loopback, and ends them.

mod command;
mod line;
mod measure;
mod table;

pub use command::run;
