//! Requests that another instance passes on, because this one does not reach their targets.
//!
//! The instance that received a request still makes all decisions about it: the target, the
//! attempts, quotas and retries. The other one only carries the exchange with the target, so that
//! nothing is counted twice, and never passes a request on a second time.
//! See `docs/design/transit.md`.

mod answer;
mod header;
mod outcome;
mod pass_on;
mod probe;
mod routes;
mod server;
mod ticket;

pub(crate) use header::{TransitHead, strip_transit_headers};
pub(crate) use outcome::TransitOutcome;
pub(crate) use probe::{probe, probe_lost_links};
pub(crate) use routes::{TransitRoute, TransitRoutes};
pub(crate) use server::serve_transit;
pub(crate) use ticket::{IssuedTickets, Ticket};
