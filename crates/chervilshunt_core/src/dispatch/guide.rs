//! Decides when an instance polls the platform for changes, and when it can rely on the placer's
//! notifications instead.
//!
//! Targets update their entries about once a second, nearly always because of the adapters they
//! hold, which the placer already knows. An instance that polls on its own makes a call for each
//! batch of changes, most of them to no effect, and the calls of all instances share one rate
//! limit. Therefore the placer polls frequently, and notifies all instances of the changes that
//! concern them and of the revision up to which they must be current. An instance polls on its own
//! if it has missed a change, and whenever the placer is unreachable or has lost its connection to
//! the platform.

use std::time::Duration;

use chervilshunt_model::{Moment, StoreRevision};

/// How an instance tracks objects of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollMode {
    /// It polls continuously, since there are no notifications to rely on.
    Continuous,
    /// It does not poll, since nothing relevant has changed.
    Paused,
    /// It polls once immediately, since something has changed.
    Once,
}

/// How changes in a notification relate to the revision that an instance has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// The instance has already seen them, or something newer.
    Known,
    /// They directly follow what the instance has seen.
    Next,
    /// There were earlier changes that the instance has not seen.
    Gap,
}

/// The notifications and polls of one kind of objects, as far as an instance knows them.
#[derive(Clone, Copy, Debug)]
pub struct Guide {
    /// How long a notification stays valid, counted from the placer's own poll.
    trust: Duration,
    /// The longest time between polls, in case the placer misses a change.
    longest_rest: Duration,
    told_revision: StoreRevision,
    told_as_of: Option<Moment>,
    looked: Option<(StoreRevision, Moment)>,
}

impl Guide {
    /// Creates the state without any notification or poll.
    pub const fn new(trust: Duration, longest_rest: Duration) -> Self {
        Self {
            trust,
            longest_rest,
            told_revision: StoreRevision::new(0, 0),
            told_as_of: None,
            looked: None,
        }
    }

    /// Records that, as observed at `as_of`, nothing after `revision` concerns this instance.
    ///
    /// A delayed message is as old as the observation that it reports, not as its arrival.
    pub fn told(&mut self, revision: StoreRevision, as_of: Moment) {
        self.told_revision = self.told_revision.max(revision);
        self.told_as_of = self.told_as_of.max(Some(as_of));
    }

    /// Records that something changed up to a revision, when the time of the observation is
    /// unknown.
    pub fn changed(&mut self, revision: StoreRevision) {
        self.told_revision = self.told_revision.max(revision);
    }

    /// Returns how the changes after revision `after` up to `up_to` relate to what this instance
    /// has seen.
    ///
    /// Messages are lost with a connection, and may arrive after the instance has polled on its
    /// own. If they were applied regardless, a change would be missing until the next poll, or an
    /// older state would replace a newer one.
    pub fn follows(&self, after: StoreRevision, up_to: StoreRevision) -> Continuity {
        match self.looked {
            Some((revision, _)) if revision >= up_to => Continuity::Known,
            Some((revision, _)) if revision >= after && after.era == up_to.era => Continuity::Next,
            Some(_) | None => Continuity::Gap,
        }
    }

    /// Records that this instance has been notified of everything up to a revision.
    pub fn caught_up(&mut self, revision: StoreRevision) {
        if let Some((seen, _)) = &mut self.looked {
            *seen = revision.max(*seen);
        }
    }

    /// Records that the placer is unreachable.
    pub fn placer_lost(&mut self) {
        self.told_as_of = None;
    }

    /// Records that this instance has itself polled everything up to a revision.
    pub fn looked(&mut self, revision: StoreRevision, now: Moment) {
        self.looked = Some((revision, now));
    }

    /// Returns how to track the objects now.
    pub fn mode(&self, now: Moment) -> PollMode {
        if self.trusted_until().is_none_or(|until| now >= until) {
            return PollMode::Continuous;
        }
        match self.looked {
            Some((revision, at))
                if revision >= self.told_revision && now.since(at) < self.longest_rest =>
            {
                PollMode::Paused
            }
            Some(_) | None => PollMode::Once,
        }
    }

    /// Returns when the mode next changes without any event, if it does.
    pub fn next_wakeup(&self, now: Moment) -> Option<Moment> {
        let trusted_until = self.trusted_until().filter(|until| *until > now)?;
        let rested = self.looked.map(|(_, at)| at + self.longest_rest);
        Some(rested.map_or(trusted_until, |rested| rested.min(trusted_until)))
    }

    fn trusted_until(&self) -> Option<Moment> {
        self.told_as_of.map(|as_of| as_of + self.trust)
    }
}
