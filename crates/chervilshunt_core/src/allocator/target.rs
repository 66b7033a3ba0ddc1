//! What a power allocator knows of one target.

use chervilshunt_model::{Moment, TargetName};

use super::PowerAction;

/// Part of a target's range of power that is not worth a message.
const QUANTUM: f64 = 1.0 / 64.0;

/// What is known of one target.
#[derive(Clone, Debug)]
pub(super) struct TargetPower {
    /// Fixed part of a step's power.
    pub(super) idle_watts: f64,
    /// Power of a full batch.
    pub(super) full_watts: f64,
    /// Power that live work could use.
    pub(super) live_watts: f64,
    /// Power that deferrable work could use beside it.
    pub(super) deferrable_watts: f64,
    /// The share last confirmed, and the most that can be drawn under it.
    pub(super) confirmed: (u64, f64),
    /// Shares sent since, oldest first.
    pub(super) pending: Vec<(u64, f64)>,
    /// Whether it is to run nothing, so that others run fuller batches.
    pub(super) parked: bool,
    /// The share that it is to have.
    pub(super) wanted: f64,
    /// When a share was last sent.
    pub(super) sent: Moment,
}

impl TargetPower {
    /// Returns the most that the target can draw: it may hold any share that was sent since the
    /// last confirmation.
    pub(super) fn held(&self) -> f64 {
        let pending = self.pending.iter().map(|(_, watts)| *watts);
        pending.fold(self.confirmed.1, f64::max)
    }

    /// Returns the share sent last, or what was drawn before the first.
    pub(super) fn share(&self) -> f64 {
        self.last_sent().1
    }

    /// Returns number and size of the share sent last.
    pub(super) fn last_sent(&self) -> (u64, f64) {
        self.pending.last().copied().unwrap_or(self.confirmed)
    }

    /// Whether the last share is confirmed and kept.
    pub(super) fn settled(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns how far the share is below what live work could use.
    pub(super) fn need(&self) -> f64 {
        self.live_watts - self.held()
    }

    /// Returns the power between idling and a full batch.
    pub(super) fn range(&self) -> f64 {
        self.full_watts - self.idle_watts
    }

    /// Returns the power that the sequences of its live work could use, beside the fixed part.
    pub(super) fn live_demand(&self) -> f64 {
        (self.live_watts - self.idle_watts).max(0.0)
    }

    /// Returns the power that the sequences of all its work could use, beside the fixed part.
    pub(super) fn demand(&self) -> f64 {
        self.live_demand() + self.deferrable_watts
    }

    /// Returns the change of share that is not worth a message.
    pub(super) fn quantum(&self) -> f64 {
        self.range() * QUANTUM
    }

    /// Notes a share as sent.
    pub(super) fn send(
        &mut self,
        target: &TargetName,
        sequence: u64,
        watts: f64,
        now: Moment,
    ) -> PowerAction {
        self.pending.push((sequence, watts));
        self.sent = now;
        PowerAction::SetShare {
            target: target.clone(),
            sequence,
            watts,
        }
    }

    /// Takes a confirmation: the owner holds this share and none sent before it.
    ///
    /// While sequences run beyond the share, the confirmation names more than the share, and the
    /// share stays pending until a later one no longer does. Of two for the same share the lesser
    /// holds, in whichever order they come: what is drawn beyond a share only falls.
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
