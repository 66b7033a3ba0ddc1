//! Quotas of teams, which hold for all instances together.
//!
//! The placer keeps a [`QuotaLedger`] that every request of a limited team is charged to. While there
//! is no placer, the deputy that it has named keeps a [`DeputyLedger`]. An instance that gets no
//! answer from either admits from its [`QuotaShares`], which together stay within the same quota.
//! See `docs/design/teams.md`.

mod bucket;
mod deputy;
mod ledger;
mod share;

pub use deputy::DeputyLedger;
pub use ledger::{ChargeNumber, ChargeResult, QuotaLedger};
pub use share::{QuotaShares, QuotaTolerance};
