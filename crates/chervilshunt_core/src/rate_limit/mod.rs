//! Rate limits that targets name in their answers: the requests a second that a target takes from
//! all instances together.
//!
//! Every instance keeps what it knows of the limits in [`RateLimits`]. See
//! `docs/design/rate-limits.md`.

mod known;
mod rate;

pub use known::{LimitChange, LimitReport, RateLimits};
pub use rate::RequestRate;
