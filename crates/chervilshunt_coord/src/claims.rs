//! Claims of idempotency keys: a keyed, non-idempotent request runs at most once.

mod record;

pub use record::{ClaimEntry, ClaimKey, ClaimOutcome, ClaimPage, ClaimPageName};
