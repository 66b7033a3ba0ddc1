//! The quickstart: a whole deployment on loopback under mixed load, with every answer checked.
//!
//! While callers send requests it adds an adapter version and uses it at once at every instance,
//! drains a target and shuts an instance down gracefully. At the end it compares what callers were
//! told with what the stand-ins ran, and prints a table of promises.

mod command;
mod report;
mod script;

pub use command::run;
