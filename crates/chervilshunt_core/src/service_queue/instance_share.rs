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
    /// What is left of the time that the caller waits.
    pub time_left: Duration,
    /// Identifies the request across its caller's attempts.
    pub content: Fingerprint,
}

impl InstanceShare {
    /// Records the time in a slot that the placer has told.
    pub fn record_slot_time(&mut self, service: &ServiceName, time: Duration) {
        let state = self.services.entry(service.clone()).or_default();
        state.slot_time = Some(time);
    }

    /// Admits a request, which counts as in flight until [`Self::sent`] is called for it.
    ///
    /// # Errors Fails with the time after which the caller should return if the share is used up;
    /// the time is `None` if the caller would not wait that long.
    pub fn try_admit(
        &mut self,
        req: &ShareRequest<'_>,
        now: Moment,
    ) -> Result<(), Option<Duration>> {
        let state = self.services.entry(req.service.clone()).or_default();
        let slot_time = state.slot_time.unwrap_or(INITIAL_SLOT_TIME).as_secs_f64();
        let slot_time = slot_time.max(1e-4);
        let instances = req.instances.max(1) as f64;
        let slots = f64::from(req.slots);
        let fill = (req.objective.as_secs_f64() / slot_time).min(MAX_FILL);
        let share = (slots * fill / instances).max(1.0);
        // A caller that returns at its time gets one place beyond the share. The intervals between
        // the times bound how many there are.
        let is_return = state.returns.redeem(req.content, now);
        let allowed = if is_return { share + 1.0 } else { share };
        if f64::from(req.in_flight + state.pending) + 1.0 <= allowed {
            state.pending += 1;
            return Ok(());
        }
        let throughput = slots / slot_time / instances;
        let interval = Duration::from_secs_f64((1.0 / (RETURN_PART * throughput)).min(1.0));
        let patience = req.time_left / PATIENCE_DIVISOR;
        let free_in = Duration::from_secs_f64(slot_time.min(1.0));
        let returns = &mut state.returns;
        Err(returns.schedule(req.content, free_in, interval, patience, now))
    }

    /// Records that an admitted request has been sent, and counts as in flight elsewhere, or will
    /// not be sent.
    pub fn sent(&mut self, service: &ServiceName) {
        if let Some(state) = self.services.get_mut(service) {
            state.pending = state.pending.saturating_sub(1);
        }
    }

    /// Removes services that are not in the configuration any more.
    pub fn retain(&mut self, mut is_known: impl FnMut(&ServiceName) -> bool) {
        self.services.retain(|service, _| is_known(service));
    }
}
