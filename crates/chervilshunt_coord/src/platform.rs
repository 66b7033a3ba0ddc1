//! The calls that the state machines make to the platform's object API, as typed operations and
//! results.
//!
//! The state machines never call the platform themselves: they return a [`PlatformCall`] and later
//! receive its [`PlatformResult`]. The driver that carries out the calls must report exactly one
//! result for each; after a timeout, this is [`PlatformResult::Unknown`].

mod call;
mod memory;
mod object;

pub(crate) use call::Calls;
pub use call::{CallId, CallPurpose, PlatformCall, PlatformOp, PlatformResult};
pub use memory::{CallEffect, MemoryPlatform};
pub use object::{Object, ObjectKind, ObjectName, ObjectVersion, PageName, StoredObject};
