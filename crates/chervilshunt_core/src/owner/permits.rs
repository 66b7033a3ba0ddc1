//! The permits that are out.

use std::collections::BTreeSet;

use chervilshunt_model::{AttemptId, Class, InstanceId, Moment};
use indexmap::IndexMap;

use crate::{BreakerTicket, Permit};

/// A permit that has not been released.
#[derive(Clone, Debug)]
pub(super) struct HeldPermit {
    /// The permit.
    pub(super) permit: Permit,
    /// When it was granted, or learnt of after a takeover.
    pub(super) since: Moment,
    /// What the call's end has to be counted with; none for a call that was learnt of.
    pub(super) ticket: Option<BreakerTicket>,
    /// When it ends by itself, as its entry instance has left.
    ends: Option<Moment>,
}

/// All permits that are out for one target.
#[derive(Debug, Default)]
pub(super) struct Permits {
    by_attempt: IndexMap<AttemptId, HeldPermit>,
    ending: BTreeSet<(Moment, AttemptId)>,
    live: usize,
}

impl Permits {
    /// Returns the number of permits that are out.
    pub(super) fn len(&self) -> usize {
        self.by_attempt.len()
    }

    /// Returns the number of live permits that are out.
    pub(super) fn live(&self) -> usize {
        self.live
    }

    /// Returns the number of deferrable permits that are out.
    pub(super) fn deferrable(&self) -> usize {
        self.len() - self.live
    }

    /// Returns the permit of an attempt.
    pub(super) fn get(&self, attempt: AttemptId) -> Option<&HeldPermit> {
        self.by_attempt.get(&attempt)
    }

    /// Returns all permits that are out.
    pub(super) fn iter(&self) -> impl Iterator<Item = &HeldPermit> {
        self.by_attempt.values()
    }

    /// Takes in a permit; one that is known already stays as it is.
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

    /// Takes a permit out; a second release of the same attempt finds nothing.
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

    /// Lets the permits of an instance that has left end by themselves at `ends`.
    pub(super) fn end_for_entry(&mut self, entry: &InstanceId, ends: Moment) {
        let of_entry = self.by_attempt.values_mut();
        for held in of_entry.filter(|held| held.permit.entry == *entry) {
            if held.ends.is_none() {
                held.ends = Some(ends);
                self.ending.insert((ends, held.permit.attempt));
            }
        }
    }

    /// Returns an attempt whose permit has ended by itself.
    pub(super) fn next_ended(&self, now: Moment) -> Option<AttemptId> {
        let (ends, attempt) = self.ending.first()?;
        (*ends <= now).then_some(*attempt)
    }

    /// Returns when the next permit ends by itself.
    pub(super) fn next_end(&self) -> Option<Moment> {
        self.ending.first().map(|(ends, _)| *ends)
    }
}
