//! The paces that targets state in their answers to this instance.

use std::cmp::Ordering;

use chervilshunt_model::{Moment, TargetName};

use super::facts::TargetStart;
use super::state::Dispatch;
use crate::speed::{PaceChange, TargetSpeed};

/// What a stated pace changes in the knowledge of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PaceUpdate {
    /// Whether the pace differs from the one that the target stated last.
    pub is_news: bool,
    /// A change of the lasting figure that operators should see.
    pub change: Option<PaceChange>,
}

impl Dispatch {
    /// Records the pace that a target states in an answer, or that the answer states none. `started`
    /// is the start of the target when the request was sent; a later start may work at another pace.
    pub fn pace_reported(
        &mut self,
        target: &TargetName,
        started: Option<TargetStart>,
        pace: Option<u16>,
        now: Moment,
    ) -> PaceUpdate {
        let mut update = PaceUpdate::default();
        let Some(target) = self.targets.get_mut(target) else {
            return update;
        };
        if TargetStart::compare(started, target.facts.started) == Ordering::Less {
            return update;
        }
        match pace {
            Some(pace) => {
                update.is_news = target.speed.is_news(pace);
                update.change = target.speed.record(pace, now);
            }
            None => target.speed.answered(),
        }
        update
    }

    /// Returns what this instance knows about the speeds of targets.
    pub fn speeds(&self) -> Vec<(TargetName, TargetSpeed)> {
        let known = self.targets.iter();
        let known = known.filter(|(_, target)| target.speed.is_known());
        known
            .map(|(name, target)| (name.clone(), target.speed))
            .collect()
    }
}
