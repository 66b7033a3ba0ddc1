//! The release of permits.

use chervilshunt_model::{AttemptId, InstanceId, Moment};

use super::Owner;
use super::action::OwnerAction;
use super::settled::Settlement;
use super::tuning::{ENTRY_LEFT_GRACE, SETTLED_RETENTION};
use crate::bugs::Bug;
use crate::{ReleaseOutcome, ReleasedPermit};

impl Owner {
    /// Releases a permit, or withdraws a request that is waiting.
    pub(super) fn permit_released(
        &mut self,
        released: &ReleasedPermit,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        if released.target != self.cfg.target {
            return;
        }
        let attempt = released.attempt;
        self.queue.remove(attempt);
        if let Some(held) = self.permits.get(attempt) {
            let (model, since) = (held.permit.model.clone(), held.since);
            match released.outcome {
                ReleaseOutcome::Finished { .. } => self.service_time.add(now.since(since)),
                ReleaseOutcome::AdapterMissing => {
                    if let Some(model) = model {
                        self.adapter_missing(&model, since, now);
                    }
                }
                ReleaseOutcome::Cancelled
                | ReleaseOutcome::TargetFailed
                | ReleaseOutcome::TimedOut => {}
            }
        }
        self.end_attempt(attempt, Some(released.outcome), now, out);
    }

    /// Drops the requests of an instance that has left, and sets its permits to end without a
    /// release.
    ///
    /// Its calls may still be running: they end once the engine notices that nobody reads the
    /// answers. Until then they occupy batch slots, and their adapters stay pinned.
    pub(super) fn entry_left(&mut self, entry: &InstanceId, now: Moment) {
        for attempt in self.queue.of_entry(entry) {
            self.queue.remove(attempt);
            self.settled
                .insert(attempt, u8::MAX, Settlement::Released, now);
        }
        self.left_entries
            .retain(|_, at| now.since(*at) <= SETTLED_RETENTION);
        self.left_entries.insert(entry.clone(), now);
        self.end_permits_of(entry, now);
    }

    /// Sets the permits of an instance to end without a release.
    pub(super) fn end_permits_of(&mut self, entry: &InstanceId, now: Moment) {
        let ends = now + self.cfg.permit_window + ENTRY_LEFT_GRACE;
        self.permits.end_for_entry(entry, ends);
    }

    /// Frees the batch slot and the pin of an attempt whose end was never reported.
    pub(super) fn release_unreported(
        &mut self,
        attempt: AttemptId,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        self.end_attempt(attempt, None, now, out);
    }

    /// Frees the batch slot and the pin of an attempt; a second call has no effect.
    fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: Option<ReleaseOutcome>,
        now: Moment,
        out: &mut Vec<OwnerAction>,
    ) {
        self.settled
            .insert(attempt, u8::MAX, Settlement::Released, now);
        let Some(held) = self.permits.remove(attempt) else {
            return;
        };
        self.call_ended(&held, outcome, now, out);
        if let Some(model) = held.permit.model.filter(|_| self.slots.exist()) {
            let mut idle = self.slots.unpin(&model, now);
            while self.bugs.has(Bug::ReleaseFreesAllPins) && self.slots.is_pinned(&model) {
                idle = self.slots.unpin(&model, now);
            }
            if idle && !self.loads.is_empty() {
                self.loads.review_due = true;
            }
        }
        self.permits_changed(now);
    }
}
