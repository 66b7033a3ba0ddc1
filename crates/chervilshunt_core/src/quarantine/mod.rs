//! Quarantine of requests, and of parts of prompts, that crash the targets that run them.
//!
//! A caller retries such a request under a new id and at any instance, and each attempt would crash
//! one more target with all its running requests. Crashes are therefore recorded by a fingerprint
//! of the request's content, shared between all instances, and the request is refused. See
//! `docs/design/quarantine.md`.

mod fingerprint;
mod part;
mod parts;
mod recent;
mod run;
mod run_check;
mod settling;
mod state;

pub use fingerprint::Fingerprint;
pub use part::PartId;
pub use run::CrashedRun;
pub use run_check::{RunCheck, RunFinding, RunVerdict};
pub use settling::{FRESH_ANSWER_AGE, SETTLE_TIME, SettlingAnswers, SettlingNumber};
pub use state::{Crash, CrashRecord, Quarantine, QuarantineConfig, StoredCrashes, Suspect};
