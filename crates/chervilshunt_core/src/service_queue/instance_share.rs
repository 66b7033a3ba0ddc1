//! What an instance admits to plain services while no placer answers.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName};

use super::{INITIAL_SLOT_TIME, PATIENCE_DIVISOR, RETURN_PART};
use crate::quarantine::Fingerprint;
use crate::returns::ReturnSchedule;

/// The requests that all instances together may have in flight at a service, as a multiple of its
/// slots. Instances that admit on their own don't know of each other's requests, so the queues of
/// the targets are kept shorter than with a placer.
const MAX_FILL: f64 = 1.5;

/// This instance's share of the capacity of each plain service, for the time without a placer.
///
/// Load that this handles: the placer is lost, frozen or cut off while callers send more than the
/// targets can run. Admission is then bounded by the sum of the shares.
#[derive(Clone, Debug, Default)]
pub struct InstanceShare {
    services: HashMap<ServiceName, ShareState>,
}

#[derive(Clone, Debug, Default)]
struct ShareState {
    /// The time in a slot that the placer has told last.
    slot_time: Option<Duration>,
    /// Requests that were admitted and have not been sent yet.
    pending: u32,
    /// Requests that wait for a place.
    waiting: u32,
    returns: ReturnSchedule,
}

/// What an instance knows of the service and the request when it decides alone.
#[derive(Clone, Copy, Debug)]
pub struct ShareRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The slots of all its targets that take new requests.
    pub slots: u32,
    /// The number of instances.
    pub instances: usize,
    /// The requests that this instance has in flight at the service.
    pub in_flight: u32,
    /// The time to the first byte that such requests should have.
    pub objective: Duration,
    /// What is left of that time.
    pub objective_left: Duration,
    /// What is left of the time that the caller waits.
    pub time_left: Duration,
    /// Identifies the request across its caller's attempts.
    pub content: Fingerprint,
    /// Whether the request is one of those that wait for a place.
    pub is_waiting: bool,
}

/// The decision on a request from an instance's own share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareResult {
    /// The request may be sent. It counts as in flight until [`InstanceShare::sent`] is called.
    Admitted,
    /// The share is used up, and the response will still be in time if a place is free soon.
    Wait,
    /// The request is refused. Its caller should return after the given time; `None` if it would
    /// not wait that long.
    Refused(Option<Duration>),
}

/// The part of its objective that a request may have left at least to wait for a place, as a
/// multiple of the time in a slot: the place of an earlier request is free after one, and the
/// response comes after another.
const WAIT_FACTOR: u32 = 2;

impl InstanceShare {
    /// Records the time in a slot that the placer has told.
    pub fn record_slot_time(&mut self, service: &ServiceName, time: Duration) {
        let state = self.services.entry(service.clone()).or_default();
        state.slot_time = Some(time);
    }

    /// Admits a request if the share allows it.
    ///
    /// Most instances have a share of one request. Without waiting, two requests that come to the
    /// same instance within the time in a slot would be refused also while the service is nearly
    /// idle. No more requests wait than the share holds.
    pub fn decide(&mut self, req: &ShareRequest<'_>, now: Moment) -> ShareResult {
        let state = self.services.entry(req.service.clone()).or_default();
        let slot_time = state.slot_time.unwrap_or(INITIAL_SLOT_TIME);
        let slot_secs = slot_time.as_secs_f64().max(1e-4);
        let instances = req.instances.max(1) as f64;
        let slots = f64::from(req.slots);
        let fill = (req.objective.as_secs_f64() / slot_secs).min(MAX_FILL);
        let share = (slots * fill / instances).max(1.0);
        let in_flight = f64::from(req.in_flight + state.pending);
        // A caller that returns at its time gets one place beyond the share. The intervals between
        // the times bound how many there are.
        let is_return = !req.is_waiting && state.returns.redeem(req.content, now);
        let allowed = if is_return { share + 1.0 } else { share };
        if in_flight + 1.0 <= allowed {
            state.pending += 1;
            return ShareResult::Admitted;
        }
        let has_time = req.objective_left > slot_time * WAIT_FACTOR;
        if has_time && (req.is_waiting || f64::from(state.waiting) + 1.0 <= share) {
            return ShareResult::Wait;
        }
        let throughput = slots / slot_secs / instances;
        let interval = Duration::from_secs_f64((1.0 / (RETURN_PART * throughput)).min(1.0));
        let patience = req.time_left / PATIENCE_DIVISOR;
        let returns = &mut state.returns;
        let retry_in = returns.schedule(req.content, slot_time, interval, patience, now);
        ShareResult::Refused(retry_in)
    }

    /// Records that an admitted request has been sent, and counts as in flight elsewhere, or will
    /// not be sent.
    pub fn sent(&mut self, service: &ServiceName) {
        if let Some(state) = self.services.get_mut(service) {
            state.pending = state.pending.saturating_sub(1);
        }
    }

    /// Records that a request waits for a place.
    pub fn wait_began(&mut self, service: &ServiceName) {
        self.services.entry(service.clone()).or_default().waiting += 1;
    }

    /// Records that a request does not wait any more.
    pub fn wait_ended(&mut self, service: &ServiceName) {
        if let Some(state) = self.services.get_mut(service) {
            state.waiting = state.waiting.saturating_sub(1);
        }
    }
}
