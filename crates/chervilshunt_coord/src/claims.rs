//! Idempotency claims: a keyed, non-idempotent request runs at most once.
//!
//! A [`ClaimKeeper`] decides for one shard of the idempotency keys. It records every claim in the
//! platform before the request may be sent. See `docs/design/at-most-once.md`.

mod keeper;
mod log;
mod record;

pub use keeper::{
    ClaimAction, ClaimAnswer, ClaimConfig, ClaimEvent, ClaimKeeper, ClaimRequest, ClaimsInOutage,
};
pub use record::{ClaimEntry, ClaimKey, ClaimOutcome, ClaimPage, ClaimPageName};
