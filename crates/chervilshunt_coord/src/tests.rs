//! Tests of the machines together.

mod claims;
mod fleet;
mod outage;
mod platform;
mod runs;
mod smoke;
mod table;
