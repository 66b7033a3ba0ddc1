//! When an instance asks the platform what has changed, and when it is told enough to wait.
//!
//! Targets change their entries about once a second, nearly always in what they hold, which the
//! placer knows anyway. An instance that follows them by itself makes a call for each batch of
//! changes, most of them for nothing, and the calls of all instances come out of one rate. So the
//! placer looks often, and tells everyone what has changed that concerns them
//! and up to which revision they have to know it; an instance asks for itself if it has missed
//! something, and whenever the placer falls silent or has lost sight of the platform.

use std::time::Duration;

use chervilshunt_model::{Moment, StoreRevision};

/// How an instance follows a kind of objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// By itself: nobody tells it anything it can rely on.
    Alone,
    /// Not at all for now: nothing has changed that concerns it.
    Rest,
    /// By one call at once: something has changed.
    Look,
}

/// How changes that the placer tells follow on what an instance has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// It has seen them, or something newer.
    Known,
    /// They are the next ones.
    Next,
    /// Others came before them that it has not seen.
    Gap,
}

/// What an instance is told about a kind of objects, and what it has seen itself.
#[derive(Clone, Copy, Debug)]
pub struct Guide {
    /// How long after the placer's own look what it told counts.
    trust: Duration,
    /// The longest time without an own look, in case the placer overlooks something.
    longest_rest: Duration,
    told_revision: StoreRevision,
    told_as_of: Option<Moment>,
    looked: Option<(StoreRevision, Moment)>,
}

impl Guide {
    /// Starts with nothing told and nothing seen.
    pub const fn new(trust: Duration, longest_rest: Duration) -> Self {
        Self {
            trust,
            longest_rest,
            told_revision: StoreRevision::new(0, 0),
            told_as_of: None,
            looked: None,
        }
    }

    /// Takes in that nothing concerns this instance after `revision`, as seen at a moment.
    ///
    /// A message that was held up on its way is as old as what it tells, not as its arrival.
    pub fn told(&mut self, revision: StoreRevision, as_of: Moment) {
        self.told_revision = self.told_revision.max(revision);
        self.told_as_of = self.told_as_of.max(Some(as_of));
    }

    /// Takes in that something has changed up to a revision, without a word on when that was seen.
    pub fn changed(&mut self, revision: StoreRevision) {
        self.told_revision = self.told_revision.max(revision);
    }

    /// Says how changes follow on what this instance has seen that lie after one revision and not after
    /// another.
    ///
    /// Messages get lost with a connection, and come late after an own look. Taken in all the same, a
    /// change would be missing until the next look, or an older one would replace a newer one.
    pub fn follows(&self, after: StoreRevision, up_to: StoreRevision) -> Continuity {
        match self.looked {
            Some((revision, _)) if revision >= up_to => Continuity::Known,
            Some((revision, _)) if revision >= after && after.era == up_to.era => Continuity::Next,
            Some(_) | None => Continuity::Gap,
        }
    }

    /// Takes in that this instance has been told everything up to a revision.
    pub fn caught_up(&mut self, revision: StoreRevision) {
        if let Some((seen, _)) = &mut self.looked {
            *seen = revision.max(*seen);
        }
    }

    /// Takes in that the placer can't be heard any more.
    pub fn placer_lost(&mut self) {
        self.told_as_of = None;
    }

    /// Takes in that this instance has itself seen everything up to a revision.
    pub fn looked(&mut self, revision: StoreRevision, now: Moment) {
        self.looked = Some((revision, now));
    }

    /// Returns how to follow the objects now.
    pub fn pace(&self, now: Moment) -> Pace {
        if self.trusted_until().is_none_or(|until| now >= until) {
            return Pace::Alone;
        }
        match self.looked {
            Some((revision, at))
                if revision >= self.told_revision && now.since(at) < self.longest_rest =>
            {
                Pace::Rest
            }
            Some(_) | None => Pace::Look,
        }
    }

    /// Returns when the pace changes by time alone, if it does.
    pub fn next_wakeup(&self, now: Moment) -> Option<Moment> {
        let trusted_until = self.trusted_until().filter(|until| *until > now)?;
        let rested = self.looked.map(|(_, at)| at + self.longest_rest);
        Some(rested.map_or(trusted_until, |rested| rested.min(trusted_until)))
    }

    fn trusted_until(&self) -> Option<Moment> {
        self.told_as_of.map(|as_of| as_of + self.trust)
    }
}
