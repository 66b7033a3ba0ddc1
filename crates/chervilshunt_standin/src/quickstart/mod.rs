//! The quickstart: a complete deployment on loopback under mixed load, with every response verified.
//!
//! Under load it adds an adapter version and requests it immediately from every instance, drains a
//! target and shuts an instance down gracefully. At the end it compares the responses that callers
//! received with the runs that the stand-ins recorded, and prints a table of guarantees.

mod command;
mod report;
mod script;

pub use command::run;
