//! Tests the load tool against an engine stand-in behind a minimal instance.

mod instance;
mod runs;
mod streams;
