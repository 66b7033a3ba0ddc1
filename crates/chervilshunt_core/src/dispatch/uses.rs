//! The requests that this instance has in flight, by target and adapter.

use std::collections::HashMap;

use chervilshunt_model::TargetName;

use super::facts::Weights;
use crate::residency::TargetUse;

/// Requests in flight by target and weights, including entries used since the last report.
#[derive(Debug, Default)]
pub(crate) struct UseTable {
    in_flight: HashMap<(TargetName, Option<Weights>), u32>,
}

impl UseTable {
    /// Counts a request that was sent.
    pub(crate) fn sent(&mut self, target: &TargetName, weights: Option<&Weights>) {
        let key = (target.clone(), weights.cloned());
        *self.in_flight.entry(key).or_default() += 1;
    }

    /// Counts a request that ended.
    ///
    /// Its entry remains until it has been reported, so that the placer also learns of uses shorter
    /// than the time between two reports.
    pub(crate) fn ended(&mut self, target: &TargetName, weights: Option<&Weights>) {
        let key = (target.clone(), weights.cloned());
        if let Some(count) = self.in_flight.get_mut(&key) {
            *count = count.saturating_sub(1);
        }
    }

    /// Forgets the requests in flight at a target that is gone.
    pub(crate) fn forget_target(&mut self, target: &TargetName) {
        self.in_flight.retain(|(at, _), _| at != target);
    }

    /// Returns everything used since the last call, and removes entries without requests in flight.
    pub(crate) fn report(&mut self) -> Vec<TargetUse> {
        let uses = self
            .in_flight
            .iter()
            .map(|((target, weights), count)| TargetUse {
                target: target.clone(),
                weights: weights.clone(),
                in_flight: *count,
            });
        let uses = uses.collect();
        self.in_flight.retain(|_, count| *count > 0);
        uses
    }
}
