//! How fast followers go: by themselves, as the placer tells, or for all others as the placer.

use std::time::Duration;

use chervilshunt_core::{Guide, Pace};
use chervilshunt_model::Moment;
use tokio::sync::watch;

/// How long what the placer tells of targets' entries counts, from when it saw them. The operators
/// give two seconds from when a target begins to leave until it gets no more work; an entry that is
/// gone takes 0.6 s of that.
const ENTRIES_TRUST: Duration = Duration::from_millis(1_000);
/// How long the placer's last message tells that its lease need not be looked at: three of the
/// intervals at which it sends.
const LEASE_TRUST: Duration = Duration::from_millis(1_300);
/// The longest time without an own look.
const LONGEST_REST: Duration = Duration::from_secs(10);

/// How a follower goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FollowPace {
    /// As the guide says.
    Guided(Pace),
    /// Often, so that the other instances can rely on it.
    Guiding,
}

/// Steers the followers that need not always follow by themselves.
#[derive(Debug)]
pub(crate) struct Paces {
    pub(super) entries: Guide,
    pub(super) lease: Guide,
    entries_tx: watch::Sender<FollowPace>,
    lease_tx: watch::Sender<FollowPace>,
}

/// What the followers listen to.
#[derive(Clone, Debug)]
pub(crate) struct PaceReceivers {
    pub(super) entries: watch::Receiver<FollowPace>,
    pub(super) lease: watch::Receiver<FollowPace>,
}

impl Paces {
    /// Starts with followers that go by themselves.
    pub(crate) fn new() -> (Self, PaceReceivers) {
        let (entries_tx, entries) = watch::channel(FollowPace::Guided(Pace::Alone));
        let (lease_tx, lease) = watch::channel(FollowPace::Guided(Pace::Alone));
        let paces = Self {
            entries: Guide::new(ENTRIES_TRUST, LONGEST_REST),
            lease: Guide::new(LEASE_TRUST, LONGEST_REST),
            entries_tx,
            lease_tx,
        };
        (paces, PaceReceivers { entries, lease })
    }

    /// Tells the followers how to go on.
    pub(super) fn steer(&self, is_placer: bool, now: Moment) {
        let (entries, lease) = if is_placer {
            // Its own renewals show the placer whether the lease is still its own.
            (FollowPace::Guiding, FollowPace::Guided(Pace::Rest))
        } else {
            let guided = |guide: &Guide| FollowPace::Guided(guide.pace(now));
            (guided(&self.entries), guided(&self.lease))
        };
        for (tx, pace) in [(&self.entries_tx, entries), (&self.lease_tx, lease)] {
            tx.send_if_modified(|known| std::mem::replace(known, pace) != pace);
        }
    }

    /// Returns when followers have to be told anew by time alone.
    pub(super) fn next_wakeup(&self, now: Moment) -> Option<Moment> {
        let guides = [&self.entries, &self.lease].into_iter();
        guides.filter_map(|guide| guide.next_wakeup(now)).min()
    }
}
