//! Handles leases while the platform is unreachable.
//!
//! A few instances, the electors, answer one of two questions. An elector that cannot reach the
//! platform promises not to vouch for a while, so that no instance is superseded. An elector that
//! can reach it vouches, so that an instance may be superseded. Promises and vouches are kept in
//! memory only. See `docs/design/leases.md`.

mod elector;
mod electorate;
mod extension;
mod message;
mod vouch;

pub use elector::{ElectorConfig, ElectorState};
pub(crate) use electorate::choose_electors;
pub use extension::{LeaseExtension, LeaseExtensionAction, LeaseExtensionConfig};
pub use message::ElectorMessage;
pub use vouch::{VouchAction, VouchCollector};
