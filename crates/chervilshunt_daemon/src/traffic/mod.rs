//! The traffic threads: callers' requests, from the first byte to the last.
//!
//! Nothing here decides about targets: a request asks the owner for a permit and then opens the
//! call itself, so that the answer never crosses another instance. See
//! `docs/design/request-path.md`.

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

/// Returns the present time. Deadlines and permits age while the machine is suspended, so that it is
/// the boot clock's.
fn now() -> chervilshunt_model::Moment {
    chervilshunt_model::Clock::boot().now()
}
