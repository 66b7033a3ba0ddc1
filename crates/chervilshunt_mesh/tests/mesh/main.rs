//! Meshes that talk over loopback.

mod bounds;
mod common;
mod cut;
mod frozen;
mod idle;
mod loss;
mod messages;
mod permits;
