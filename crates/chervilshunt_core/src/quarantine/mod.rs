//! Quarantine of requests that crash the targets that run them.
//!
//! A caller retries such a request under a new id and at any instance, and each attempt would crash
//! one more target with all its running requests. Crashes are therefore recorded by a fingerprint
//! of the request's content, shared between all instances, and the request is refused. See
//! `docs/design/quarantine.md`.

mod fingerprint;
mod part;
mod state;

pub use fingerprint::Fingerprint;
pub use part::PartId;
pub use state::{Crash, CrashRecord, Quarantine, QuarantineConfig, StoredCrashes};
