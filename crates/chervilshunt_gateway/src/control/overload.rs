//! Whether an instance keeps up with the placer's duty.

use std::time::Duration;

use chervilshunt_coord::ExclusiveLeaseEvent;
use chervilshunt_model::Moment;

use super::actor::Control;

/// How late the control state may come to what it is told before it counts as behind: most requests wait
/// for the placer's answer for little more than that.
const BEHIND: Duration = Duration::from_millis(400);
/// How long it has to be behind all the time before a placer steps down. While another takes over nobody
/// places for the lease's rest, so that a burst is better sat out.
const BEHIND_FOR: Duration = Duration::from_secs(2);
/// How much more of a processor another instance must have for a placer to step down.
const MUCH_LARGER: f32 = 2.0;

/// For how long the control state has been behind.
#[derive(Debug, Default)]
pub(super) struct Overload {
    behind_since: Option<Moment>,
}

impl Overload {
    /// Takes note of how late a message was taken in, and says whether this has lasted.
    fn note(&mut self, late_by: Duration, now: Moment) -> bool {
        if late_by < BEHIND {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        now.since(since) >= BEHIND_FOR
    }
}

impl Control {
    /// Returns this instance's share of a processor core.
    pub(super) fn processor_share(&self) -> f32 {
        self.shared.settings.instance.processor_share as f32
    }

    /// Steps down as the placer if this instance is overloaded and a much larger one is there.
    ///
    /// A placer that falls behind answers nobody in time, so that callers of cold adapters are refused
    /// for as long as it holds the lease.
    pub(super) fn check_overload(&mut self, late_by: Duration) {
        let now = self.now();
        let lasts = self.overload.note(late_by, now);
        let Some(placer) = self.placer.as_ref().filter(|_| lasts) else {
            return;
        };
        let largest = placer.presence.largest_share();
        if largest < self.processor_share() * MUCH_LARGER {
            return;
        }
        slog::warn!(self.shared.log, "steps down as the placer";
            "late_by_ms" => late_by.as_millis() as u64,
            "processor_share" => self.processor_share(), "largest_share" => largest);
        self.lease_event(ExclusiveLeaseEvent::StepDown);
    }
}

#[cfg(test)]
mod tests;
