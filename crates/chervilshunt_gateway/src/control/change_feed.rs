//! What the placer sees of the platform, told to all others so that they need not look themselves.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_core::{Continuity, Fingerprint, StoredCrashes, TargetFacts, Weights};
use chervilshunt_model::{Moment, StoreRevision, TargetName};

use super::actor::Control;
use crate::dialect::Kind;
use crate::peers::{ChangeBatch, KindChanges, PeerMessage, PlatformView};

/// The most entries of targets that are told; where more change at once, instances look themselves
/// rather than have the placer's link carry all of them to everybody.
const MOST_TOLD: usize = 64;

/// How long after one answer about targets' entries the next is overdue: the placer looks each 0.3 s, and
/// what it tells counts for a second.
const OVERDUE_AFTER: Duration = Duration::from_millis(500);

/// What an instance has seen of each kind of objects.
#[derive(Debug, Default)]
pub(super) struct ChangeFeed {
    /// When targets' entries were last seen whole.
    entries_seen_at: Option<Moment>,
    kinds: HashMap<Kind, KindFeed>,
    /// What has changed since it was last told.
    untold_targets: Vec<TargetFacts>,
    untold_gone: Vec<TargetName>,
    untold_versions: Vec<(Weights, u64)>,
    untold_crashes: Vec<StoredCrashes>,
    untold_releases: Vec<Fingerprint>,
}

/// What an instance has seen of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct KindFeed {
    /// The service's revision at the last change that concerns every instance.
    changed_at: StoreRevision,
    /// The same as it was last told.
    told: StoreRevision,
    /// Whether the last call was answered.
    is_seen: bool,
}

impl ChangeFeed {
    /// Takes note that a call about a kind has been answered, and returns whether the answer was overdue.
    pub(super) fn seen(&mut self, kind: Kind, now: Moment) -> bool {
        self.kinds.entry(kind).or_default().is_seen = true;
        if kind != Kind::Targets {
            return false;
        }
        let before = self.entries_seen_at.replace(now);
        before.is_some_and(|at| now.since(at) > OVERDUE_AFTER)
    }

    /// Takes note that a call about a kind has failed.
    pub(super) fn lost(&mut self, kind: Kind) {
        self.kinds.entry(kind).or_default().is_seen = false;
    }

    fn changed(&mut self, kind: Kind, revision: StoreRevision) {
        let feed = self.kinds.entry(kind).or_default();
        feed.changed_at = feed.changed_at.max(revision);
    }

    /// Takes note that the configuration has changed.
    pub(super) fn configuration_changed(&mut self, revision: StoreRevision) {
        self.changed(Kind::Configuration, revision);
    }

    /// Takes note that a target has changed in what concerns all.
    pub(super) fn target_changed(&mut self, facts: &TargetFacts, revision: StoreRevision) {
        self.untold_gone.retain(|it| *it != facts.name);
        self.untold_targets.retain(|it| it.name != facts.name);
        self.untold_targets.push(facts.without_adapters());
        self.changed(Kind::Targets, revision);
    }

    /// Takes note that targets are no longer listed.
    pub(super) fn targets_gone(&mut self, names: &[TargetName], revision: StoreRevision) {
        self.untold_targets.retain(|it| !names.contains(&it.name));
        self.untold_gone.extend(names.iter().cloned());
        self.changed(Kind::Targets, revision);
    }

    /// Takes note that a version has been named.
    pub(super) fn version_named(
        &mut self,
        weights: &Weights,
        version: u64,
        revision: StoreRevision,
    ) {
        self.untold_versions.push((weights.clone(), version));
        self.changed(Kind::Versions, revision);
    }

    /// Takes note that crashes of targets under a request have been recorded.
    pub(super) fn crashes_recorded(&mut self, crashes: &StoredCrashes, revision: StoreRevision) {
        let fingerprint = crashes.fingerprint;
        self.untold_releases.retain(|it| *it != fingerprint);
        self.untold_crashes
            .retain(|it| it.fingerprint != fingerprint);
        self.untold_crashes.push(crashes.clone());
        self.changed(Kind::Crashes, revision);
    }

    /// Takes note that records of crashes have been removed.
    pub(super) fn crashes_removed(&mut self, removed: &[Fingerprint], revision: StoreRevision) {
        if removed.is_empty() {
            return;
        }
        self.untold_crashes
            .retain(|it| !removed.contains(&it.fingerprint));
        self.untold_releases.extend_from_slice(removed);
        self.changed(Kind::Crashes, revision);
    }

    /// Takes what has changed of a kind since this was last called; none if nothing has, or so much that
    /// everybody should look.
    fn take_batch(&mut self, kind: Kind) -> Option<ChangeBatch> {
        let what = match kind {
            Kind::Targets => KindChanges::Targets(
                std::mem::take(&mut self.untold_targets),
                std::mem::take(&mut self.untold_gone),
            ),
            Kind::Versions => KindChanges::Versions(std::mem::take(&mut self.untold_versions)),
            Kind::Configuration => KindChanges::Configuration,
            Kind::Crashes => KindChanges::Crashes(
                std::mem::take(&mut self.untold_crashes),
                std::mem::take(&mut self.untold_releases),
            ),
            Kind::Lease => return None,
        };
        let feed = self.kinds.entry(kind).or_default();
        let (after, up_to) = (feed.told, feed.changed_at);
        feed.told = up_to;
        let told = match &what {
            KindChanges::Targets(seen, gone) => seen.len() + gone.len(),
            KindChanges::Versions(named) => named.len(),
            KindChanges::Configuration => 1,
            KindChanges::Crashes(recorded, released) => recorded.len() + released.len(),
        };
        let is_told = up_to > after && (1..=MOST_TOLD).contains(&told);
        is_told.then_some(ChangeBatch { after, up_to, what })
    }

    /// Returns what the placer tells regularly.
    pub(super) fn view(&self, now: Moment) -> Option<PlatformView> {
        let seen_at = self.entries_seen_at?;
        let changed_at = |kind| {
            let feed: Option<&KindFeed> = self.kinds.get(&kind);
            feed.filter(|it| it.is_seen).map(|it| it.changed_at)
        };
        Some(PlatformView {
            age: now.since(seen_at),
            targets: self.kinds.get(&Kind::Targets)?.changed_at,
            configuration: changed_at(Kind::Configuration),
            versions: changed_at(Kind::Versions),
            crashes: changed_at(Kind::Crashes),
        })
    }
}

impl Control {
    /// Tells all other instances what has changed, if this one is the placer.
    pub(super) fn tell_changes(&mut self) {
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

    /// Takes in what the placer sees of the platform.
    ///
    /// The placer's own trouble in reaching the platform counts for nothing here. While it lasts
    /// the placer's view grows old, and this instance finds out for itself whether the platform is
    /// away for all.
    pub(super) fn take_view(&mut self, view: PlatformView, now: Moment) {
        self.note_era(view.targets.era);
        let as_of = now - view.age;
        let told = [
            (Kind::Targets, Some(view.targets)),
            (Kind::Configuration, view.configuration),
            (Kind::Versions, view.versions),
            (Kind::Crashes, view.crashes),
        ];
        for (kind, revision) in told {
            if let Some(revision) = revision {
                self.paces.guide(kind).notified(revision, as_of);
            }
        }
    }

    /// Takes in what the placer saw change.
    pub(super) fn take_changed(&mut self, batch: ChangeBatch) {
        let kind = match &batch.what {
            KindChanges::Targets(..) => Kind::Targets,
            KindChanges::Versions(_) => Kind::Versions,
            KindChanges::Configuration => Kind::Configuration,
            KindChanges::Crashes(..) => Kind::Crashes,
        };
        self.note_era(batch.up_to.era);
        let guide = self.paces.guide(kind);
        guide.changed(batch.up_to);
        if guide.continuity(batch.after, batch.up_to) != Continuity::Next {
            return;
        }
        match batch.what {
            KindChanges::Targets(seen, gone) => {
                for facts in seen {
                    self.target_told(facts, batch.up_to);
                }
                self.absent(gone, batch.up_to);
            }
            KindChanges::Versions(named) => {
                for (weights, version) in named {
                    self.version_seen(weights, version, batch.up_to);
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
        self.paces.guide(kind).caught_up(batch.up_to);
    }
}

#[cfg(test)]
mod tests;
