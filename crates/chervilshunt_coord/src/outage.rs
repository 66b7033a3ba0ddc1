//! What happens to leases while the platform can't be reached.
//!
//! A few instances, the electors, give their word: either that they can't reach the platform
//! either, so that for a while nobody is to be superseded, or that they can, so that somebody may
//! be. Neither word is kept anywhere but in memory. See `docs/design/leases.md`.

mod elector;
mod electorate;
mod hold;
mod message;
mod vouch;

pub use elector::{ElectorConfig, ElectorDesk};
pub(crate) use electorate::choose_electors;
pub use hold::{Hold, HoldAction, HoldConfig};
pub use message::HoldMessage;
pub use vouch::{VouchAction, Vouching};
