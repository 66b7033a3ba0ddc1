//! Requests that crash the targets that run them.
//!
//! A caller sends such a request again and again, under a new id and at any instance, and each try would
//! end one more target with all that it has under way. So what crashed is remembered by the content of
//! the request, shared by all instances, and the request is refused. See `docs/design/quarantine.md`.

mod fingerprint;
mod state;

pub use fingerprint::Fingerprint;
pub use state::{Crash, CrashRecord, Quarantine, QuarantineConfig, StoredCrashes};
