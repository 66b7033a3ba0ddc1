//! The outstanding permits.

use std::collections::BTreeSet;

use chervilshunt_model::{AttemptId, Class, InstanceId, Moment};
use indexmap::IndexMap;

use crate::{BreakerTicket, Permit};

/// A permit that has not been released.
#[derive(Clone, Debug)]
pub(super) struct HeldPermit {
    pub(super) permit: Permit,
    /// When the permit was granted, or reported after a takeover.
    pub(super) since: Moment,
    /// The breaker's ticket with which the outcome of the call is recorded, or `None` for a permit
    /// that was reported after a takeover.
    pub(super) ticket: Option<BreakerTicket>,
    /// When the permit ends without a release, because its entry instance has left.
    ends: Option<Moment>,
}

/// All outstanding permits for one target.
#[derive(Debug, Default)]
pub(super) struct Permits {
    by_attempt: IndexMap<AttemptId, HeldPermit>,
    ending: BTreeSet<(Moment, AttemptId)>,
    live: usize,
}

impl Permits {
    /// Returns the number of outstanding permits.
    pub(super) fn len(&self) -> usize {
        self.by_attempt.len()
    }

    /// Returns the number of outstanding live permits.
    pub(super) fn live(&self) -> usize {
        self.live
    }

    /// Returns the number of outstanding deferrable permits.
    pub(super) fn deferrable(&self) -> usize {
        self.len() - self.live
    }

    /// Returns the permit of an attempt.
    pub(super) fn get(&self, attempt: AttemptId) -> Option<&HeldPermit> {
        self.by_attempt.get(&attempt)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &HeldPermit> {
        self.by_attempt.values()
    }

    /// Adds a permit and returns whether it was new; a permit that is already known is not changed.
    pub(super) fn insert(
        &mut self,
        permit: Permit,
        ticket: Option<BreakerTicket>,
        now: Moment,
    ) -> bool {
        if self.by_attempt.contains_key(&permit.attempt) {
            return false;
        }
        if permit.class == Class::Live {
            self.live += 1;
        }
        let held = HeldPermit {
            permit,
            since: now,
            ticket,
            ends: None,
        };
        self.by_attempt.insert(held.permit.attempt, held);
        true
    }

    /// Removes a permit; a second release of the same attempt finds none.
    pub(super) fn remove(&mut self, attempt: AttemptId) -> Option<HeldPermit> {
        let held = self.by_attempt.swap_remove(&attempt)?;
        if held.permit.class == Class::Live {
            self.live -= 1;
        }
        if let Some(ends) = held.ends {
            self.ending.remove(&(ends, attempt));
        }
        Some(held)
    }

    /// Sets the permits of an instance that has left to end at `ends` without a release.
    pub(super) fn end_for_entry(&mut self, entry: &InstanceId, ends: Moment) {
        let of_entry = self.by_attempt.values_mut();
        for held in of_entry.filter(|held| held.permit.entry == *entry) {
            if held.ends.is_none() {
                held.ends = Some(ends);
                self.ending.insert((ends, held.permit.attempt));
            }
        }
    }

    /// Returns an attempt whose permit has ended without a release.
    pub(super) fn next_ended(&self, now: Moment) -> Option<AttemptId> {
        let (ends, attempt) = self.ending.first()?;
        (*ends <= now).then_some(*attempt)
    }

    /// Returns when the next permit ends without a release.
    pub(super) fn next_end(&self) -> Option<Moment> {
        self.ending.first().map(|(ends, _)| *ends)
    }
}
