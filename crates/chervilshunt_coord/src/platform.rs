//! What the machines ask of the platform's object API, as typed calls and results.
//!
//! The machines never call the platform themselves: they return a [`PlatformCall`] and are later
//! told its [`PlatformResult`]. Whoever carries the calls out has to give each exactly one result,
//! if need be [`PlatformResult::Unknown`] after a timeout.

mod call;
mod memory;
mod object;

pub(crate) use call::Calls;
pub use call::{CallId, PlatformCall, PlatformOp, PlatformResult, Purpose};
pub use memory::{CarriedOut, MemoryPlatform};
pub use object::{Object, ObjectKind, ObjectName, ObjectVersion, PageName, Stored};
