//! Rate limits that targets name in their answers: the requests a second that a target takes from
//! all instances together.
//!
//! Every instance keeps what it knows of the limits in [`RateLimits`]. The placer schedules the
//! requests to limited targets for all instances in [`SendSchedules`]. An instance that gets no
//! answer from it sends from its [`SendShares`], which together use a part of the limit. See
//! `docs/design/rate-limits.md`.

mod known;
mod rate;
mod schedule;
mod share;

pub use known::{LimitChange, LimitReport, RateLimits};
pub use rate::RequestRate;
pub use schedule::{SendPermit, SendSchedules};
pub use share::SendShares;
