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
pub struct PollGuide {
    /// How long a notification stays valid, counted from the placer's own poll.
    validity: Duration,
    /// The longest time between polls, in case the placer misses a change.
    max_poll_interval: Duration,
    notified_revision: StoreRevision,
    notified_as_of: Option<Moment>,
    /// When the placer last saw objects of this kind.
    notified_seen_at: Option<Moment>,
    polled: Option<(StoreRevision, Moment)>,
}

impl PollGuide {
    /// Creates the state without any notification or poll.
    pub const fn new(validity: Duration, max_poll_interval: Duration) -> Self {
        Self {
            validity,
            max_poll_interval,
            notified_revision: StoreRevision::new(0, 0),
            notified_as_of: None,
            notified_seen_at: None,
            polled: None,
        }
    }

    /// Records that, as observed at `as_of`, the placer reaches the platform and knows of nothing after
    /// `revision` that concerns this instance; it saw objects of this kind at `seen_at`.
    ///
    /// A delayed message is as old as the observation that it reports, not as its arrival.
    pub fn notified(&mut self, revision: StoreRevision, as_of: Moment, seen_at: Moment) {
        self.notified_revision = self.notified_revision.max(revision);
        self.notified_as_of = self.notified_as_of.max(Some(as_of));
        self.notified_seen_at = self.notified_seen_at.max(Some(seen_at));
    }

    /// Records that something changed up to a revision, when the time of the observation is
    /// unknown.
    pub fn changed(&mut self, revision: StoreRevision) {
        self.notified_revision = self.notified_revision.max(revision);
    }

    /// Returns how the changes after revision `after` up to `up_to` relate to what this instance
    /// has seen.
    ///
    /// Messages are lost with a connection, and may arrive after the instance has polled on its
    /// own. If they were applied regardless, a change would be missing until the next poll, or an
    /// older state would replace a newer one.
    pub fn continuity(&self, after: StoreRevision, up_to: StoreRevision) -> Continuity {
        match self.polled {
            Some((revision, _)) if revision >= up_to => Continuity::Known,
            Some((revision, _)) if revision >= after && after.era == up_to.era => Continuity::Next,
            Some(_) | None => Continuity::Gap,
        }
    }

    /// Records that this instance has been notified of everything up to a revision.
    pub fn caught_up(&mut self, revision: StoreRevision) {
        if let Some((seen, _)) = &mut self.polled {
            *seen = revision.max(*seen);
        }
    }

    /// Records that the placer is unreachable.
    pub fn placer_lost(&mut self) {
        self.notified_as_of = None;
        self.notified_seen_at = None;
    }

    /// Records that this instance has itself polled everything up to a revision.
    pub fn polled(&mut self, revision: StoreRevision, now: Moment) {
        self.polled = Some((revision, now));
    }

    /// Returns up to when it is certain that this instance knew the newest objects: from its own last
    /// poll, or from a notification that nothing has changed after what it has seen.
    pub fn confirmed_as_of(&self) -> Option<Moment> {
        let (revision, polled_at) = self.polled?;
        let notified = self
            .notified_seen_at
            .filter(|_| revision >= self.notified_revision);
        Some(notified.map_or(polled_at, |seen_at| seen_at.max(polled_at)))
    }

    /// Returns how to track the objects now.
    pub fn mode(&self, now: Moment) -> PollMode {
        if self.valid_until().is_none_or(|until| now >= until) {
            return PollMode::Continuous;
        }
        match self.polled {
            Some((revision, at))
                if revision >= self.notified_revision && now.since(at) < self.max_poll_interval =>
            {
                PollMode::Paused
            }
            Some(_) | None => PollMode::Once,
        }
    }

    /// Returns when the mode next changes without any event, if it does.
    pub fn next_wakeup(&self, now: Moment) -> Option<Moment> {
        let valid_until = self.valid_until().filter(|until| *until > now)?;
        let poll_due = self.polled.map(|(_, at)| at + self.max_poll_interval);
        Some(poll_due.map_or(valid_until, |poll_due| poll_due.min(valid_until)))
    }

    fn valid_until(&self) -> Option<Moment> {
        self.notified_as_of.map(|as_of| as_of + self.validity)
    }
}
