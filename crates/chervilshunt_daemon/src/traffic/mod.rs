//! The traffic threads, which serve callers' requests.
//!
//! Scheduling decisions are made by the targets' owners: the entry instance obtains a permit from
//! the owner and then calls the target directly, so that answers never pass through another
//! instance. See `docs/design/request-path.md`.

mod attempt;
mod body;
mod caller;
mod claims;
mod completion;
mod front;
mod greeting;
mod headers;
mod held;
mod intake;
mod links;
mod metrics;
mod permits;
mod place;
mod problem;
mod relay;
mod serve;
mod slow_head;

pub(crate) use claims::Claims;
pub(crate) use front::serve_callers;
pub(crate) use held::HeldPermits;
pub(crate) use links::Links;
pub(crate) use permits::Permits;
pub(crate) use serve::Traffic;

/// Returns the current time of the boot clock, because deadlines and permits must also expire while
/// the machine is suspended.
fn now() -> chervilshunt_model::Moment {
    chervilshunt_model::Clock::boot().now()
}
