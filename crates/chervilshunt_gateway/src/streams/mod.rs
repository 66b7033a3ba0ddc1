//! Where streams began: what this instance knows, tells other instances and asks of them.
//!
//! An instance that passes on the first event of a stream remembers the software version of its target
//! and tells the placer, which tells its deputy and writes it to the platform. An instance whose caller
//! continues a stream asks those two unless it knows, and else reads what was written. See `docs/design/stream-origins.md`.

mod ask;
mod keepers;
mod read;
mod record;
mod tell;

pub(crate) use ask::{OriginError, find_origin};
pub(crate) use keepers::StreamKeepers;
pub(crate) use read::{ReadRequests, RecordReader, read_records};
pub(crate) use record::{sweep_records, write_records};
pub(crate) use tell::{StreamMemory, forward_streams};
