//! Tests of the machines together.

mod fleet;
mod platform;
mod smoke;
mod table;
