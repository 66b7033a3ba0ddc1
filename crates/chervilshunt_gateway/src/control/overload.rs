//! Detection of a placer that can't keep up with its load.

use std::time::Duration;

use chervilshunt_coord::ExclusiveLeaseEvent;
use chervilshunt_model::Moment;

use super::actor::Control;

/// Delay of the control actor's messages from which it counts as behind. Most requests wait for the
/// placer's answer little longer than this.
const OVERLOAD_DELAY: Duration = Duration::from_millis(400);
/// Time for which a placer has to be behind without interruption before it steps down. During a
/// handover there is no placer until the lease's handover gap is over, so short bursts are better
/// endured.
const OVERLOAD_DURATION: Duration = Duration::from_secs(2);
/// Factor by which another instance's processor share must exceed this one's before a placer steps
/// down.
const STEP_DOWN_FACTOR: f32 = 2.0;

/// Since when the control actor has been behind.
#[derive(Debug, Default)]
pub(super) struct Overload {
    behind_since: Option<Moment>,
}

impl Overload {
    /// Records the delay of a message and returns whether the actor has been behind for too long.
    fn record_delay(&mut self, late_by: Duration, now: Moment) -> bool {
        if late_by < OVERLOAD_DELAY {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        now.since(since) >= OVERLOAD_DURATION
    }
}

impl Control {
    /// Returns this instance's share of a processor core.
    pub(super) fn processor_share(&self) -> f32 {
        self.shared.settings.instance.processor_share as f32
    }

    /// Steps down as the placer if this instance is overloaded and a much larger one is available.
    ///
    /// A placer that is behind answers no request in time, so requests for adapters that are not
    /// loaded are refused for as long as it holds the lease.
    pub(super) fn check_overload(&mut self, late_by: Duration) {
        let now = self.now();
        let lasts = self.overload.record_delay(late_by, now);
        let Some(placer) = self.placer.as_ref().filter(|_| lasts) else {
            return;
        };
        let largest = placer.presence.largest_share();
        if largest < self.processor_share() * STEP_DOWN_FACTOR {
            return;
        }
        slog::warn!(self.shared.log, "placer overloaded; stepping down";
            "late_by_ms" => late_by.as_millis() as u64,
            "processor_share" => self.processor_share(), "largest_share" => largest);
        self.lease_event(ExclusiveLeaseEvent::StepDown);
    }
}

#[cfg(test)]
mod tests;
