//! Tests of the machines together.

mod claims;
mod explore;
mod explore_hold;
mod explore_lease;
mod fleet;
mod outage;
mod platform;
mod promises;
mod runs;
mod smoke;
mod table;
