//! Meshes that talk over loopback.

mod common;
mod idle;
mod loss;
mod messages;
