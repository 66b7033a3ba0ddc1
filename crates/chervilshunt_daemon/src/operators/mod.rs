//! The operators' port: statements, metrics and health checks.

mod health;
mod server;
mod statements;
mod tables;

pub(crate) use health::Health;
pub(crate) use server::{Operators, serve_operators};
pub(crate) use statements::Statements;
