//! The log of every program: JSON lines on standard output.
//!
//! Lines are written by a separate thread through a bounded queue. Failures that end a program before
//! that thread runs are written directly, so that their reason is in the log as well.

mod failures;
mod lines;
mod queue;

pub use failures::{report_failed_start, report_panics};
pub use queue::{FlushGuard, start};
