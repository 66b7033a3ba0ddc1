//! Admission of requests to plain services, for all instances together.
//!
//! Load that this handles: callers send more than the targets of a service can run in time, for
//! instance because a target is gone or one team sends several times its usual. Instances that
//! choose on their own see only their own requests, so together they fill the queues of the
//! targets until every response is late. Here the placer counts the requests of all instances and
//! grants each one a target, or refuses it at once with a time to return.
//!
//! [`ServiceQueues`] is the placer's state of all services. [`InstanceShare`] is what an instance
//! admits while no placer answers. See `docs/design/service-admission.md`.

mod fair_share;
mod grants;
mod instance_share;
mod queue;
mod queues;
mod refusals;
mod slot_time;

pub use instance_share::{InstanceShare, ShareRequest, ShareResult};
pub use queues::{AdmissionRequest, AdmissionResult, Refused, ServiceQueues, ServiceState};

use std::time::Duration;

/// The time that a request is assumed to occupy a slot before any has been measured. Measurements
/// replace it within about ten requests.
const INITIAL_SLOT_TIME: Duration = Duration::from_millis(50);

/// Callers wait at most this fraction (one third) of their remaining time.
const PATIENCE_DIVISOR: u32 = 3;

/// The part of the throughput that is for callers that return at their time; the rest is for
/// first-time callers, whose responses can still be within the objective.
const RETURN_PART: f64 = 0.5;
