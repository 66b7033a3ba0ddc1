//! Failures that the promises have to survive, brought about on real processes.
//!
//! Each test starts a deployment of its own on loopback through `chervilshunt_standin::fleet`, has
//! checked load running while the failure happens, and at the end holds what every caller was told
//! against what the targets ran. See `docs/DEVELOPERS.md` on running them.

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
