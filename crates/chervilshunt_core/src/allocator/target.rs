//! State that the power allocator keeps for one target.

use chervilshunt_model::{Moment, TargetName};

use super::PowerAction;

/// Fraction of a target's power range below which a change of its share is not worth a message.
const DEADBAND_FRACTION: f64 = 1.0 / 64.0;

/// The power state of one target.
#[derive(Clone, Debug)]
pub(super) struct TargetPower {
    /// Fixed part of the power of a step, in watts.
    pub(super) idle_watts: f64,
    /// Power of a step with a full batch, in watts.
    pub(super) full_watts: f64,
    /// Power that live work could use, in watts.
    pub(super) live_watts: f64,
    /// Additional power that deferrable work could use, in watts.
    pub(super) deferrable_watts: f64,
    /// Sequence number of the share confirmed last, and the maximum power in watts that can be
    /// drawn under it.
    pub(super) confirmed: (u64, f64),
    /// Sequence numbers and watts of the shares sent since, oldest first.
    pub(super) pending: Vec<(u64, f64)>,
    /// Whether the target is to run nothing, so that others run fuller batches.
    pub(super) parked: bool,
    /// The share that the target should have, in watts.
    pub(super) desired: f64,
    /// When a share was last sent.
    pub(super) sent_at: Moment,
}

impl TargetPower {
    /// Returns the maximum power that the target can draw, in watts. It may hold any share sent
    /// since the last confirmation.
    pub(super) fn committed(&self) -> f64 {
        let pending = self.pending.iter().map(|(_, watts)| *watts);
        pending.fold(self.confirmed.1, f64::max)
    }

    /// Returns the share sent last in watts, or the assumed draw if none was sent yet.
    pub(super) fn share(&self) -> f64 {
        self.last_sent().1
    }

    /// Returns the sequence number and watts of the share sent last.
    pub(super) fn last_sent(&self) -> (u64, f64) {
        self.pending.last().copied().unwrap_or(self.confirmed)
    }

    /// Returns whether the last share is confirmed and the draw is within it.
    pub(super) fn settled(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns how many watts live work lacks under the committed power.
    pub(super) fn live_shortfall(&self) -> f64 {
        self.live_watts - self.committed()
    }

    /// Returns the difference between the full-batch power and the fixed part, in watts.
    pub(super) fn range(&self) -> f64 {
        self.full_watts - self.idle_watts
    }

    /// Returns the power that live sequences could use beyond the fixed part, in watts.
    pub(super) fn live_demand(&self) -> f64 {
        (self.live_watts - self.idle_watts).max(0.0)
    }

    /// Returns the power that all sequences could use beyond the fixed part, in watts.
    pub(super) fn demand(&self) -> f64 {
        self.live_demand() + self.deferrable_watts
    }

    /// Returns the change of share, in watts, below which no message is sent.
    pub(super) fn deadband(&self) -> f64 {
        self.range() * DEADBAND_FRACTION
    }

    /// Records a share as sent and returns the message that carries it.
    pub(super) fn send(
        &mut self,
        target: &TargetName,
        sequence: u64,
        watts: f64,
        now: Moment,
    ) -> PowerAction {
        self.pending.push((sequence, watts));
        self.sent_at = now;
        PowerAction::SetShare {
            target: target.clone(),
            sequence,
            watts,
        }
    }

    /// Handles a confirmation: the owner holds this share and none sent before it.
    ///
    /// While sequences admitted under a larger share still run, the confirmation reports more watts
    /// than the share, and the share stays pending until a later confirmation no longer does. Of
    /// two confirmations for the same share the lower value counts, in whatever order they arrive,
    /// because a draw above the share can only fall.
    pub(super) fn confirm(&mut self, sequence: u64, watts: f64) {
        let Some(index) = self.pending.iter().position(|(sent, _)| *sent == sequence) else {
            return;
        };
        let (_, share) = self.pending[index];
        self.pending.drain(..index);
        if watts <= share {
            self.pending.remove(0);
        }
        let least = if self.confirmed.0 == sequence {
            watts.min(self.confirmed.1)
        } else {
            watts
        };
        self.confirmed = (sequence, least);
    }
}
