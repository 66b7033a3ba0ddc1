//! Changes that the placer sees at the platform, broadcast so that other instances need not poll.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_core::{Continuity, Fingerprint, StoredCrashes, TargetFacts, Weights};
use chervilshunt_model::{Moment, StoreRevision, TargetName};

use super::actor::Control;
use crate::dialect::Kind;
use crate::peers::{ChangeBatch, KindChanges, PeerMessage, PlatformView};

/// Maximum number of changed entries that are broadcast. If more change at once, the instances poll
/// the platform themselves, because the placer's link can't carry all of them to every instance.
const MAX_BROADCAST_ENTRIES: usize = 64;

/// Returns the time after one answer about a kind at which the next one is overdue; `None` if no other
/// instance waits for it. The placer polls targets every 0.3 s and the configuration every second.
const fn overdue_after(kind: Kind) -> Option<Duration> {
    match kind {
        Kind::Targets => Some(Duration::from_millis(500)),
        Kind::Configuration => Some(Duration::from_millis(1_500)),
        Kind::Versions | Kind::Crashes | Kind::Lease => None,
    }
}

/// Age of the placer's last answer about the configuration or versions from which on its view does not
/// cover them: its calls wait for a second, and a late answer comes through another instance in 0.6 s.
const RARE_SEEN_MAX_AGE: Duration = Duration::from_millis(1_600);

/// What this instance has seen of each kind of objects.
#[derive(Debug, Default)]
pub(super) struct ChangeFeed {
    kinds: HashMap<Kind, KindFeed>,
    /// Changes since the last broadcast.
    pending_targets: Vec<TargetFacts>,
    pending_gone: Vec<TargetName>,
    pending_versions: Vec<(Weights, u64)>,
    pending_crashes: Vec<StoredCrashes>,
    pending_releases: Vec<Fingerprint>,
}

/// What this instance has seen of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct KindFeed {
    /// The service's revision at the last change that affects every instance.
    changed_at: StoreRevision,
    /// The value of `changed_at` at the last broadcast.
    broadcast_up_to: StoreRevision,
    /// When a call was last answered.
    seen_at: Option<Moment>,
    /// Whether the last call was answered.
    is_seen: bool,
}

impl ChangeFeed {
    /// Records that a call about a kind was answered and returns whether the answer was overdue.
    pub(super) fn record_answer(&mut self, kind: Kind, now: Moment) -> bool {
        let feed = self.kinds.entry(kind).or_default();
        feed.is_seen = true;
        let before = feed.seen_at.replace(now);
        let age = before.map(|at| now.since(at));
        age.is_some_and(|age| overdue_after(kind).is_some_and(|limit| age > limit))
    }

    /// Records that a call about a kind has failed.
    pub(super) fn record_failure(&mut self, kind: Kind) {
        self.kinds.entry(kind).or_default().is_seen = false;
    }

    fn changed(&mut self, kind: Kind, revision: StoreRevision) {
        let feed = self.kinds.entry(kind).or_default();
        feed.changed_at = feed.changed_at.max(revision);
    }

    /// Records that the configuration has changed.
    pub(super) fn configuration_changed(&mut self, revision: StoreRevision) {
        self.changed(Kind::Configuration, revision);
    }

    /// Records a change of a target that affects every instance.
    pub(super) fn target_changed(&mut self, facts: &TargetFacts, revision: StoreRevision) {
        self.pending_gone.retain(|it| *it != facts.name);
        self.pending_targets.retain(|it| it.name != facts.name);
        self.pending_targets.push(facts.without_adapters());
        self.changed(Kind::Targets, revision);
    }

    /// Records that targets are no longer listed.
    pub(super) fn targets_gone(&mut self, names: &[TargetName], revision: StoreRevision) {
        self.pending_targets.retain(|it| !names.contains(&it.name));
        self.pending_gone.extend(names.iter().cloned());
        self.changed(Kind::Targets, revision);
    }

    /// Records that a version has been announced.
    pub(super) fn version_announced(
        &mut self,
        weights: &Weights,
        version: u64,
        revision: StoreRevision,
    ) {
        self.pending_versions.push((weights.clone(), version));
        self.changed(Kind::Versions, revision);
    }

    /// Records that a crash record of a request was written.
    pub(super) fn crashes_recorded(&mut self, crashes: &StoredCrashes, revision: StoreRevision) {
        let fingerprint = crashes.fingerprint;
        self.pending_releases.retain(|it| *it != fingerprint);
        self.pending_crashes
            .retain(|it| it.fingerprint != fingerprint);
        self.pending_crashes.push(crashes.clone());
        self.changed(Kind::Crashes, revision);
    }

    /// Records that crash records were removed.
    pub(super) fn crashes_removed(&mut self, removed: &[Fingerprint], revision: StoreRevision) {
        if removed.is_empty() {
            return;
        }
        self.pending_crashes
            .retain(|it| !removed.contains(&it.fingerprint));
        self.pending_releases.extend_from_slice(removed);
        self.changed(Kind::Crashes, revision);
    }

    /// Takes the changes of a kind since the last call. Returns `None` if nothing has changed, or
    /// if so much has that every instance should poll the platform itself.
    fn take_batch(&mut self, kind: Kind) -> Option<ChangeBatch> {
        let what = match kind {
            Kind::Targets => KindChanges::Targets(
                std::mem::take(&mut self.pending_targets),
                std::mem::take(&mut self.pending_gone),
            ),
            Kind::Versions => KindChanges::Versions(std::mem::take(&mut self.pending_versions)),
            Kind::Configuration => KindChanges::Configuration,
            Kind::Crashes => KindChanges::Crashes(
                std::mem::take(&mut self.pending_crashes),
                std::mem::take(&mut self.pending_releases),
            ),
            Kind::Lease => return None,
        };
        let feed = self.kinds.entry(kind).or_default();
        let (after, up_to) = (feed.broadcast_up_to, feed.changed_at);
        feed.broadcast_up_to = up_to;
        let entry_count = match &what {
            KindChanges::Targets(seen, gone) => seen.len() + gone.len(),
            KindChanges::Versions(named) => named.len(),
            KindChanges::Configuration => 1,
            KindChanges::Crashes(recorded, released) => recorded.len() + released.len(),
        };
        let is_broadcast = up_to > after && (1..=MAX_BROADCAST_ENTRIES).contains(&entry_count);
        is_broadcast.then_some(ChangeBatch { after, up_to, what })
    }

    /// Returns the view of the platform that the placer sends at regular intervals.
    pub(super) fn view(&self, now: Moment) -> Option<PlatformView> {
        let targets = self.kinds.get(&Kind::Targets)?;
        let seen = |kind| self.kinds.get(&kind).filter(|it| it.is_seen);
        let changed_at = |kind| seen(kind).map(|it| it.changed_at);
        let age = |kind| seen(kind).and_then(|it| it.seen_at).map(|at| now.since(at));
        Some(PlatformView {
            age: now.since(targets.seen_at?),
            targets: targets.changed_at,
            configuration: changed_at(Kind::Configuration),
            configuration_age: age(Kind::Configuration),
            versions: changed_at(Kind::Versions),
            versions_age: age(Kind::Versions),
            crashes: changed_at(Kind::Crashes),
        })
    }
}

impl Control {
    /// Broadcasts recent changes to all other instances if this one is the placer.
    pub(super) fn broadcast_changes(&mut self) {
        for kind in Kind::ALL {
            let Some(batch) = self.feed.take_batch(kind) else {
                continue;
            };
            let Some(placer) = &self.placer else {
                continue;
            };
            let peers: Vec<_> = placer.presence.peers().collect();
            for peer in peers {
                self.send(&peer, PeerMessage::Changed(batch.clone()));
            }
        }
    }

    /// Applies the placer's view of the platform.
    ///
    /// Failures of the placer's own calls are not part of the view. While they last the view ages,
    /// and this instance polls the platform itself to find out whether it is unavailable to every
    /// instance.
    pub(super) fn apply_view(&mut self, view: PlatformView, now: Moment) {
        self.handle_era(view.targets.era);
        let as_of = now - view.age;
        let rarely_polled = [
            (
                Kind::Configuration,
                view.configuration,
                view.configuration_age,
            ),
            (Kind::Versions, view.versions, view.versions_age),
        ];
        for (kind, revision, age) in rarely_polled {
            let Some(revision) = revision else {
                continue;
            };
            let age = age.unwrap_or(view.age);
            let guide = self.follow_modes.guide(kind);
            if age <= RARE_SEEN_MAX_AGE {
                guide.notified(revision, as_of, now - age);
            } else {
                guide.changed(revision);
            }
        }
        let targets = self.follow_modes.guide(Kind::Targets);
        targets.notified(view.targets, as_of, as_of);
        if let Some(revision) = view.crashes {
            let crashes = self.follow_modes.guide(Kind::Crashes);
            crashes.notified(revision, as_of, as_of);
        }
    }

    /// Applies a batch of changes from the placer.
    pub(super) fn apply_batch(&mut self, batch: ChangeBatch) {
        let kind = match &batch.what {
            KindChanges::Targets(..) => Kind::Targets,
            KindChanges::Versions(_) => Kind::Versions,
            KindChanges::Configuration => Kind::Configuration,
            KindChanges::Crashes(..) => Kind::Crashes,
        };
        self.handle_era(batch.up_to.era);
        let guide = self.follow_modes.guide(kind);
        guide.changed(batch.up_to);
        if guide.continuity(batch.after, batch.up_to) != Continuity::Next {
            return;
        }
        match batch.what {
            KindChanges::Targets(seen, gone) => {
                for facts in seen {
                    self.apply_forwarded_target(facts, batch.up_to);
                }
                self.handle_missing_targets(gone, batch.up_to);
            }
            KindChanges::Versions(named) => {
                for (weights, version) in named {
                    self.apply_version(weights, version, batch.up_to);
                }
            }
            KindChanges::Configuration => return,
            KindChanges::Crashes(recorded, released) => {
                for crashes in recorded {
                    self.crashes_recorded(crashes, batch.up_to);
                }
                self.crashes_removed(&released, batch.up_to);
            }
        }
        self.follow_modes.guide(kind).caught_up(batch.up_to);
    }
}

#[cfg(test)]
mod tests;
