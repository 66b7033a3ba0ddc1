//! Where streams began, so that they can be continued.
//!
//! Targets of two software versions generate events that do not fit together, and a target does not
//! notice. A caller whose stream broke off comes to any instance, most often because the one that it
//! had is gone, and names only its first attempt. See `docs/design/stream-origins.md`.

mod origins;
mod records;

pub use origins::{BegunStreams, StreamKey, StreamOrigin, StreamOrigins};
pub use records::{RecordOutcome, RecordSweep, RecordWrite, StreamRecorder};
