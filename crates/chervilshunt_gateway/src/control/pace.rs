//! Modes of the followers: polling on their own, relying on the placer's reports, or, as the
//! placer, polling for all instances.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_core::{PollGuide, PollMode};
use chervilshunt_model::Moment;
use tokio::sync::watch;

use crate::dialect::Kind;

/// Time for which the placer's view of the platform is valid, from when the placer saw it. The
/// operators allow two seconds from when a target starts to leave until it gets no more work; 0.6 s
/// of that are the grace period of an entry that has gone.
const VIEW_MAX_AGE: Duration = Duration::from_millis(1_000);
/// The same for crash records. They may be known seconds later, since a shorter time would cost a
/// call by every instance at each short loss of contact with the placer.
const CRASHES_MAX_AGE: Duration = Duration::from_secs(3);
/// Time after the placer's last message in which its lease need not be polled: three of the
/// intervals at which it reports.
const LEASE_MAX_AGE: Duration = Duration::from_millis(1_300);
/// Longest time without polling the platform.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(60);

/// How a follower polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FollowMode {
    /// As the guide decides from the placer's reports.
    Guided(PollMode),
    /// At short intervals, because the other instances rely on it.
    Placer,
}

/// Sets the modes of the followers of all kinds.
#[derive(Debug)]
pub(crate) struct FollowModes(HashMap<Kind, FollowerControl>);

/// The guide of one follower, and the channel that carries its mode.
#[derive(Debug)]
struct FollowerControl {
    guide: PollGuide,
    tx: watch::Sender<FollowMode>,
}

/// The channels on which the followers receive their modes.
pub(crate) type FollowModeReceivers = HashMap<Kind, watch::Receiver<FollowMode>>;

impl FollowModes {
    /// Creates the modes; all followers start by polling on their own.
    pub(crate) fn new() -> (Self, FollowModeReceivers) {
        let mut receivers = HashMap::new();
        let mut steered = HashMap::new();
        for kind in Kind::ALL {
            let (tx, rx) = watch::channel(FollowMode::Guided(PollMode::Continuous));
            receivers.insert(kind, rx);
            let guide = PollGuide::new(max_age(kind), MAX_POLL_INTERVAL);
            steered.insert(kind, FollowerControl { guide, tx });
        }
        (Self(steered), receivers)
    }

    /// Returns the guide of one kind.
    pub(super) fn guide(&mut self, kind: Kind) -> &mut PollGuide {
        let new = || FollowerControl {
            guide: PollGuide::new(max_age(kind), MAX_POLL_INTERVAL),
            tx: watch::Sender::new(FollowMode::Guided(PollMode::Continuous)),
        };
        &mut self.0.entry(kind).or_insert_with(new).guide
    }

    /// Records that there is no contact with the placer any more.
    pub(super) fn placer_lost(&mut self) {
        for steered in self.0.values_mut() {
            steered.guide.placer_lost();
        }
    }

    /// Sends the followers their current modes.
    pub(super) fn update(&self, is_placer: bool, now: Moment) {
        for (kind, steered) in &self.0 {
            let mode = if is_placer {
                placer_mode(*kind)
            } else {
                FollowMode::Guided(steered.guide.mode(now))
            };
            let tx = &steered.tx;
            tx.send_if_modified(|known| std::mem::replace(known, mode) != mode);
        }
    }

    /// Returns when a follower's mode next changes by time alone.
    pub(super) fn next_wakeup(&self, now: Moment) -> Option<Moment> {
        let steered = self.0.values();
        steered.filter_map(|it| it.guide.next_wakeup(now)).min()
    }
}

const fn max_age(kind: Kind) -> Duration {
    match kind {
        Kind::Configuration | Kind::Targets | Kind::Versions => VIEW_MAX_AGE,
        Kind::Crashes => CRASHES_MAX_AGE,
        Kind::Lease => LEASE_MAX_AGE,
    }
}

/// Returns how the placer follows a kind.
///
/// It polls targets' entries continuously, which also shows that the platform answers. It polls
/// configuration and versions often because the other instances rely on it for their changes. Its
/// own renewals show whether it still holds the lease.
const fn placer_mode(kind: Kind) -> FollowMode {
    match kind {
        Kind::Targets | Kind::Configuration | Kind::Versions => FollowMode::Placer,
        Kind::Crashes => FollowMode::Guided(PollMode::Continuous),
        Kind::Lease => FollowMode::Guided(PollMode::Paused),
    }
}
