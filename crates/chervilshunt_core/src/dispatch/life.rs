//! What shows that a target's process runs: bytes of its answers, and to which requests.

use chervilshunt_model::{Moment, TargetName};

use super::facts::TargetStart;
use super::state::Dispatch;

/// The last signs of life of one target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SignsOfLife {
    /// When bytes of an answer were last received.
    received_at: Option<Moment>,
    /// When the request was sent that was sent last of those that the target has begun to answer.
    answered_sent_at: Option<Moment>,
}

impl Dispatch {
    /// Records that a target has begun to answer a request that was sent to a run of it.
    pub fn answer_began(
        &mut self,
        target: &TargetName,
        started: Option<TargetStart>,
        sent_at: Moment,
        now: Moment,
    ) {
        let Some(known) = self.targets.get_mut(target) else {
            return;
        };
        known.signs.received_at = known.signs.received_at.max(Some(now));
        if TargetStart::compare(started, known.facts.started).is_eq() {
            known.signs.answered_sent_at = known.signs.answered_sent_at.max(Some(sent_at));
        }
    }

    /// Records that bytes of an answer were received from a target.
    pub fn answer_received(&mut self, target: &TargetName, now: Moment) {
        if let Some(known) = self.targets.get_mut(target) {
            known.signs.received_at = known.signs.received_at.max(Some(now));
        }
    }

    /// Returns when bytes of an answer were last received from a target.
    pub fn last_received_at(&self, target: &TargetName) -> Option<Moment> {
        self.targets.get(target)?.signs.received_at
    }

    /// Returns whether a run of a target has begun to answer a request that was sent after a time.
    pub fn has_answered_since(
        &self,
        target: &TargetName,
        started: Option<TargetStart>,
        time: Moment,
    ) -> bool {
        self.targets.get(target).is_some_and(|it| {
            TargetStart::compare(started, it.facts.started).is_eq()
                && it.signs.answered_sent_at.is_some_and(|sent| sent > time)
        })
    }
}
