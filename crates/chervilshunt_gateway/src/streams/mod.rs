//! Where streams began: what this instance knows, tells other instances and asks of them.
//!
//! An instance that passes on the first event of a stream remembers the software version of its target
//! and tells the placer, which tells its deputy. An instance whose caller continues a stream asks
//! those two unless it knows. See `docs/design/stream-origins.md`.

mod ask;
mod keepers;
mod tell;

pub(crate) use ask::{OriginError, find_origin};
pub(crate) use keepers::StreamKeepers;
pub(crate) use tell::{StreamMemory, forward_streams};
