//! Answers already given, for late and doubled messages.

use std::collections::VecDeque;

use chervilshunt_model::{AttemptId, Moment};
use indexmap::IndexMap;

use super::tuning::{MAX_SETTLED_ATTEMPTS, SETTLED_RETENTION};
use crate::PermitAnswer;

/// How an attempt was settled.
#[derive(Clone, Debug)]
pub(super) enum Settlement {
    /// Its permit was released, or it was withdrawn: nobody waits for an answer.
    Released,
    /// It was refused or redirected with this answer; in a box, as a place for an answer beside each
    /// released permit would take most of an owner's memory.
    Answered(Box<PermitAnswer>),
}

#[derive(Clone, Debug)]
struct SettledAttempt {
    hops: u8,
    settlement: Settlement,
    at: Moment,
}

/// The attempts settled of late.
///
/// A request that arrives a second time after its end would otherwise get a permit that nobody
/// releases, and its seat in the batch would be lost.
#[derive(Debug, Default)]
pub(super) struct SettledAttempts {
    by_attempt: IndexMap<AttemptId, SettledAttempt>,
    order: VecDeque<(Moment, AttemptId)>,
}

impl SettledAttempts {
    /// Notes how an attempt was settled that had seen `hops` redirects.
    pub(super) fn insert(
        &mut self,
        attempt: AttemptId,
        hops: u8,
        settlement: Settlement,
        now: Moment,
    ) {
        self.prune(now);
        let settled = SettledAttempt {
            hops,
            settlement,
            at: now,
        };
        self.by_attempt.insert(attempt, settled);
        self.order.push_back((now, attempt));
    }

    /// Returns how an attempt was settled.
    ///
    /// A request that comes back with more hops was redirected here anew, unless it was released.
    pub(super) fn get(&self, attempt: AttemptId, hops: u8) -> Option<&Settlement> {
        let settled = self.by_attempt.get(&attempt)?;
        match settled.settlement {
            Settlement::Released => Some(&settled.settlement),
            Settlement::Answered(_) => (hops <= settled.hops).then_some(&settled.settlement),
        }
    }

    /// Whether the attempt's permit has been released.
    pub(super) fn released(&self, attempt: AttemptId) -> bool {
        let settled = self.by_attempt.get(&attempt);
        settled.is_some_and(|it| matches!(it.settlement, Settlement::Released))
    }

    fn prune(&mut self, now: Moment) {
        while let Some((at, attempt)) = self.order.front() {
            let old = now.since(*at) > SETTLED_RETENTION;
            if !old && self.order.len() < MAX_SETTLED_ATTEMPTS {
                return;
            }
            if self.by_attempt.get(attempt).is_some_and(|it| it.at == *at) {
                self.by_attempt.swap_remove(attempt);
            }
            self.order.pop_front();
        }
    }
}
