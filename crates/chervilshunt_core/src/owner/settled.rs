//! Answers that have already been given, to handle late and duplicate messages.

use std::collections::VecDeque;

use chervilshunt_model::{AttemptId, Moment};
use indexmap::IndexMap;

use super::tuning::{MAX_SETTLED_ATTEMPTS, SETTLED_RETENTION};
use crate::PermitAnswer;

/// How an attempt was settled.
#[derive(Clone, Debug)]
pub(super) enum Settlement {
    /// Its permit was released, or its request was withdrawn: nobody waits for an answer.
    Released,
    /// It was refused or redirected with this answer. The answer is boxed because one stored inline
    /// for each released permit would take most of an owner's memory.
    Answered(Box<PermitAnswer>),
}

#[derive(Clone, Debug)]
struct SettledAttempt {
    hops: u8,
    settlement: Settlement,
    at: Moment,
}

/// The recently settled attempts.
///
/// Without them, a request that arrives a second time after its end would get a permit that nobody
/// releases, and its batch slot would be lost.
#[derive(Debug, Default)]
pub(super) struct SettledAttempts {
    by_attempt: IndexMap<AttemptId, SettledAttempt>,
    order: VecDeque<(Moment, AttemptId)>,
}

impl SettledAttempts {
    /// Records how an attempt was settled whose request had been redirected `hops` times.
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
    /// A request with more hops than the settled one was redirected here again and counts as new,
    /// unless the attempt was released.
    pub(super) fn get(&self, attempt: AttemptId, hops: u8) -> Option<&Settlement> {
        let settled = self.by_attempt.get(&attempt)?;
        match settled.settlement {
            Settlement::Released => Some(&settled.settlement),
            Settlement::Answered(_) => (hops <= settled.hops).then_some(&settled.settlement),
        }
    }

    /// Returns whether the attempt's permit was released or its request withdrawn.
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
