//! How fast followers go: by themselves, as the placer tells, or for all others as the placer.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_core::{PollGuide, PollMode};
use chervilshunt_model::Moment;
use tokio::sync::watch;

use crate::dialect::Kind;

/// How long what the placer tells of the platform counts, from when it saw it. The operators
/// give two seconds from when a target begins to leave until it gets no more work; an entry that is
/// gone takes 0.6 s of that.
const VIEW_TRUST: Duration = Duration::from_millis(1_000);
/// The same for records of requests that crash targets, which may be known seconds later: each moment in
/// which a placer is not heard would cost a call of every instance.
const CRASHES_TRUST: Duration = Duration::from_secs(3);
/// How long the placer's last message tells that its lease need not be looked at: three of the
/// intervals at which it sends.
const LEASE_TRUST: Duration = Duration::from_millis(1_300);
/// The longest time without an own look.
const LONGEST_REST: Duration = Duration::from_secs(60);

/// How a follower goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FollowPace {
    /// As the guide says.
    Guided(PollMode),
    /// Often, so that the other instances can rely on it.
    Guiding,
}

/// Steers the followers of all kinds of objects.
#[derive(Debug)]
pub(crate) struct Paces(HashMap<Kind, Steered>);

/// One follower that is steered.
#[derive(Debug)]
struct Steered {
    guide: PollGuide,
    tx: watch::Sender<FollowPace>,
}

/// What the followers listen to.
pub(crate) type PaceReceivers = HashMap<Kind, watch::Receiver<FollowPace>>;

impl Paces {
    /// Starts with followers that go by themselves.
    pub(crate) fn new() -> (Self, PaceReceivers) {
        let mut receivers = HashMap::new();
        let mut steered = HashMap::new();
        for kind in Kind::ALL {
            let (tx, rx) = watch::channel(FollowPace::Guided(PollMode::Continuous));
            receivers.insert(kind, rx);
            let guide = PollGuide::new(trust(kind), LONGEST_REST);
            steered.insert(kind, Steered { guide, tx });
        }
        (Self(steered), receivers)
    }

    /// Returns what is known of one kind.
    pub(super) fn guide(&mut self, kind: Kind) -> &mut PollGuide {
        let new = || Steered {
            guide: PollGuide::new(trust(kind), LONGEST_REST),
            tx: watch::Sender::new(FollowPace::Guided(PollMode::Continuous)),
        };
        &mut self.0.entry(kind).or_insert_with(new).guide
    }

    /// Takes in that the placer can't be heard any more.
    pub(super) fn placer_lost(&mut self) {
        for steered in self.0.values_mut() {
            steered.guide.placer_lost();
        }
    }

    /// Tells the followers how to go on.
    pub(super) fn steer(&self, is_placer: bool, now: Moment) {
        for (kind, steered) in &self.0 {
            let pace = if is_placer {
                guiding_pace(*kind)
            } else {
                FollowPace::Guided(steered.guide.mode(now))
            };
            let tx = &steered.tx;
            tx.send_if_modified(|known| std::mem::replace(known, pace) != pace);
        }
    }

    /// Returns when followers have to be told anew by time alone.
    pub(super) fn next_wakeup(&self, now: Moment) -> Option<Moment> {
        let steered = self.0.values();
        steered.filter_map(|it| it.guide.next_wakeup(now)).min()
    }
}

const fn trust(kind: Kind) -> Duration {
    match kind {
        Kind::Configuration | Kind::Targets | Kind::Versions => VIEW_TRUST,
        Kind::Crashes => CRASHES_TRUST,
        Kind::Lease => LEASE_TRUST,
    }
}

/// Returns how the placer follows a kind.
///
/// It looks at targets' entries all the time, which also shows that the platform answers. It reads
/// configuration and versions often because the other instances rely on it for their changes. Its own
/// renewals show whether it still holds the lease.
const fn guiding_pace(kind: Kind) -> FollowPace {
    match kind {
        Kind::Targets | Kind::Configuration | Kind::Versions => FollowPace::Guiding,
        Kind::Crashes => FollowPace::Guided(PollMode::Continuous),
        Kind::Lease => FollowPace::Guided(PollMode::Paused),
    }
}
