//! Tests that inject failures into real processes and check that every promise holds.
//!
//! Each test starts its own deployment on loopback through `chervilshunt_standin::fleet`, runs load
//! with checked answers during the failure, and at the end compares the answers that callers
//! received with what the targets ran. See `docs/DEVELOPERS.md` on running them.

mod case;
mod engines;
mod entry;
mod leases;
mod leaving;
mod operators;
mod pairs;
mod platform;
mod popularity;
mod releases;
