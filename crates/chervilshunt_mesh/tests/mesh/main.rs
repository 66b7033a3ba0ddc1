//! Tests of meshes that are connected over loopback.

mod bounds;
mod common;
mod cut;
mod frozen;
mod idle;
mod loss;
mod messages;
mod permits;
