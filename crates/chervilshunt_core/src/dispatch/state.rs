//! All that one instance knows of the targets.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName, ZoneName};
use indexmap::IndexMap;

use super::choose::DispatchConfig;
use super::facts::{Leaving, LoadReport, TargetFacts, TargetStart, Weights};
use super::health::{Sign, TargetHealth};
use super::holders::{HeldAdapters, Holders, Holding, NamedVersions, TargetSnapshot};
use super::load::TargetLoad;
use super::said::SaidLeaving;
use super::uses::UseTable;
use crate::residency::Use;

/// The silence after which nobody counts on a placer any more.
const PLACER_SILENCE: Duration = Duration::from_secs(3);
/// How long what a placer told of all targets counts for more than what they list of themselves, which
/// is up to a heartbeat and a half behind.
const SNAPSHOT_TRUST: Duration = Duration::from_secs(3);

/// The silence after which a placer is no longer asked about each request: three of the intervals at
/// which it tells something.
const GUIDED_SILENCE: Duration = Duration::from_millis(1_300);
/// Targets that are gone whose last start is remembered, against entries that come late: far more
/// than fail in the time for which a write can be late.
const REMEMBERED_GONE: usize = 1_024;

/// One target as this instance knows it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) facts: TargetFacts,
    pub(crate) load: TargetLoad,
    pub(crate) health: TargetHealth,
    /// Until when it wants nothing from this instance.
    pub(crate) paused_until: Moment,
}

/// What an entry of the platform's list says, beside what was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The target was not known.
    New,
    /// The target was known.
    Known,
    /// The target has started again under its name; nothing of before holds.
    Restarted,
    /// An earlier start of the target wrote the entry, which came late and is void.
    Outdated,
}

/// All that one instance knows of the targets, and the choice among them.
#[derive(Debug)]
pub struct Dispatch {
    pub(crate) cfg: DispatchConfig,
    pub(crate) zone: ZoneName,
    pub(crate) targets: IndexMap<TargetName, Target>,
    pub(crate) holders: Holders,
    pub(crate) versions: HashMap<Weights, NamedVersions>,
    pub(crate) said_leaving: SaidLeaving,
    uses: UseTable,
    /// The last start of each target that is gone, the latest at the end.
    gone: IndexMap<TargetName, Option<TargetStart>>,
    placer_heard: Option<Moment>,
    /// Whether the placer has told that it places, and nothing speaks against it since.
    is_placing: bool,
    /// When a placer whose lease ended told what all targets hold.
    snapshot_at: Option<Moment>,
}

impl Dispatch {
    /// Starts without targets, for an instance in `zone`.
    pub fn new(cfg: DispatchConfig, zone: ZoneName) -> Self {
        Self {
            cfg,
            zone,
            targets: IndexMap::new(),
            holders: Holders::default(),
            versions: HashMap::new(),
            said_leaving: SaidLeaving::default(),
            uses: UseTable::default(),
            gone: IndexMap::new(),
            placer_heard: None,
            is_placing: false,
            snapshot_at: None,
        }
    }

    /// Takes in what the platform lists of a target.
    ///
    /// One that has started again holds nothing and knows nothing of what it was sent. Counted on,
    /// requests of before would keep work from it, and adapters of before would draw requests that
    /// it refuses.
    pub fn target_seen(&mut self, facts: TargetFacts, now: Moment) -> EntryChange {
        let change = self.target_told(facts.clone(), now);
        let snapshot_age = self.snapshot_at.map(|at| now.since(at));
        if change != EntryChange::Outdated && snapshot_age.is_none_or(|age| age >= SNAPSHOT_TRUST) {
            self.take_listed_adapters(&facts);
        }
        change
    }

    /// Takes in what the placer tells of a target's entry, which leaves out the adapters that it holds.
    pub fn target_told(&mut self, facts: TargetFacts, now: Moment) -> EntryChange {
        let known = self.targets.get(&facts.name).map(|it| it.facts.started);
        let last = known.unwrap_or_else(|| self.gone.get(&facts.name).copied().flatten());
        let change = match (TargetStart::compare(facts.started, last), known) {
            (Ordering::Less, _) => return EntryChange::Outdated,
            (Ordering::Greater, Some(_)) => {
                self.target_gone(&facts.name);
                EntryChange::Restarted
            }
            (Ordering::Equal, Some(_)) => EntryChange::Known,
            (Ordering::Equal | Ordering::Greater, None) => EntryChange::New,
        };
        let mut facts = facts;
        if facts.leaving.is_some() {
            self.said_leaving.note(&facts.name, facts.started);
        }
        if self.said_leaving.includes(&facts.name, facts.started) {
            facts.leaving.get_or_insert(Leaving { gone_after: None });
        }
        match self.targets.get_mut(&facts.name) {
            Some(target) => target.facts = facts,
            None => {
                let target = Target {
                    load: TargetLoad::default(),
                    health: TargetHealth::new(now),
                    paused_until: Moment::ZERO,
                    facts,
                };
                self.targets.insert(target.facts.name.clone(), target);
            }
        }
        change
    }

    /// Forgets a target that is gone.
    pub fn target_gone(&mut self, name: &TargetName) {
        let target = self.targets.swap_remove(name);
        if let Some(target) = target {
            self.gone.shift_remove(name);
            self.gone.insert(name.clone(), target.facts.started);
            if self.gone.len() > REMEMBERED_GONE {
                self.gone.shift_remove_index(0);
            }
        }
        self.holders.forget_target(name);
        self.uses.forget_target(name);
    }

    /// Says whether an entry is one of a target's start that was known and is gone.
    pub fn was_gone(&self, facts: &TargetFacts) -> bool {
        let last = self.gone.get(&facts.name);
        !self.targets.contains_key(&facts.name)
            && last.is_some_and(|last| TargetStart::compare(facts.started, *last).is_le())
    }

    /// Returns what the platform lists of a target.
    pub fn target(&self, name: &TargetName) -> Option<&TargetFacts> {
        self.targets.get(name).map(|target| &target.facts)
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetFacts> {
        self.targets.values().map(|target| &target.facts)
    }

    /// Returns how many targets of a service are known, fit or not.
    pub fn listed(&self, service: &ServiceName) -> usize {
        let targets = self.targets.values();
        targets.filter(|it| it.facts.service == *service).count()
    }

    /// Takes in everything that a placer knew of the targets when its lease ended.
    ///
    /// Nobody orders targets from then until there is another placer, so that this is what they hold.
    pub fn take_snapshots(&mut self, snapshots: Vec<TargetSnapshot>, now: Moment) {
        self.snapshot_at = Some(now);
        for snapshot in snapshots {
            self.take_snapshot(snapshot, now);
        }
    }

    fn take_snapshot(&mut self, snapshot: TargetSnapshot, now: Moment) {
        let TargetSnapshot {
            target,
            started,
            in_flight,
            models,
        } = snapshot;
        let Some(known) = self.targets.get_mut(&target) else {
            return;
        };
        if TargetStart::compare(started, known.facts.started) == Ordering::Less {
            return;
        }
        known.load.told(in_flight, now);
        self.holders.forget_target(&target);
        for HeldAdapters { model, adapters } in models {
            for (adapter, version) in adapters {
                self.holders.set(Holding {
                    target: target.clone(),
                    started,
                    weights: Weights::adapter(&model, &adapter),
                    version: Some(version),
                });
            }
        }
    }

    /// Takes in one hold, unless it is one of an earlier start of its target.
    pub fn holding_changed(&mut self, holding: Holding) {
        let known = self.started(&holding.target);
        if TargetStart::compare(holding.started, known) != Ordering::Less {
            self.holders.set(holding);
        }
    }

    /// Takes note that the placer is there.
    pub fn placer_heard(&mut self, now: Moment) {
        self.placer_heard = Some(now);
    }

    /// Takes in whether the placer places: until it knows what targets hold, an instance is better off
    /// with what it knows itself.
    pub fn placer_told(&mut self, is_placing: bool, now: Moment) {
        self.placer_heard = Some(now);
        self.is_placing = is_placing;
    }

    /// Takes note that the placer does not answer: until it tells that it places, requests use what is
    /// known of who holds what.
    pub fn placer_lost(&mut self) {
        self.is_placing = false;
    }

    /// Says whether the placer chooses targets: it knows what all instances have under way, and which
    /// adapters are about to go. Otherwise an instance chooses by itself.
    pub fn is_guided(&self, now: Moment) -> bool {
        self.is_placing && self.heard_within(GUIDED_SILENCE, now)
    }

    /// Says whether the placer has been heard within a time.
    pub fn heard_within(&self, silence: Duration, now: Moment) -> bool {
        self.placer_heard.is_some_and(|at| now.since(at) < silence)
    }

    /// Returns the targets of a service to which this instance would rather not send, since they were
    /// silent or failed of late; none if that is true of most, as the fault may be its own.
    pub fn doubtful(&self, service: &ServiceName, now: Moment) -> Vec<TargetName> {
        let targets = self.targets.values();
        let serving = targets.filter(|it| it.facts.service == *service);
        let (doubtful, sound): (Vec<&Target>, Vec<&Target>) = serving.partition(|target| {
            let failing = target.health.failing_share() > self.cfg.health.failing_share;
            failing || target.health.is_silent(now)
        });
        if doubtful.len() > sound.len() {
            return Vec::new();
        }
        let names = doubtful.into_iter().map(|it| it.facts.name.clone());
        names.collect()
    }

    /// Says whether the placer has been heard of late.
    pub fn is_placer_heard(&self, now: Moment) -> bool {
        self.heard_within(PLACER_SILENCE, now)
    }

    /// Takes in that a version of some weights is the newest.
    pub fn version_named(&mut self, weights: Weights, version: u64, now: Moment) {
        let named = self.versions.entry(weights).or_default();
        let kept_for = self
            .cfg
            .old_version_grace
            .max(self.cfg.old_version_begin_limit);
        named.name(version, kept_for, now);
    }

    /// Returns the newest version of some weights and how long it has been known; none if no version
    /// has been named.
    pub fn newest_version(&self, weights: &Weights, now: Moment) -> Option<(u64, Duration)> {
        let (version, since) = self.versions.get(weights)?.newest_entry()?;
        Some((version, now.since(since)))
    }

    /// Returns the time by which a request sent for a version of some weights must begin to run; None
    /// if no newer version is known.
    pub fn begin_deadline(&self, weights: &Weights, version: u64) -> Option<Moment> {
        let superseded_at = self.versions.get(weights)?.superseded_at(version)?;
        Some(superseded_at + self.cfg.old_version_begin_limit)
    }

    /// Takes in that a target says that it does not hold an adapter, or not in that version.
    pub fn not_held(&mut self, target: &TargetName, weights: &Weights) {
        self.holders.set(Holding {
            target: target.clone(),
            started: None,
            weights: weights.clone(),
            version: None,
        });
    }

    /// Returns when a target started, as far as is known.
    pub fn started(&self, target: &TargetName) -> Option<TargetStart> {
        self.targets.get(target).and_then(|it| it.facts.started)
    }

    /// Counts a request that was sent to a target.
    pub fn sent(&mut self, target: &TargetName, weights: Option<&Weights>) {
        self.uses.sent(target, weights);
        if let Some(target) = self.targets.get_mut(target) {
            target.load.sent();
        }
    }

    /// Counts a request that ended, to a target as it had started when the request was sent.
    pub fn ended(
        &mut self,
        target: &TargetName,
        weights: Option<&Weights>,
        started: Option<TargetStart>,
    ) {
        if TargetStart::compare(started, self.started(target)) == Ordering::Less {
            return;
        }
        self.uses.ended(target, weights);
        if let Some(target) = self.targets.get_mut(target) {
            target.load.ended();
        }
    }

    /// Counts prompt tokens that a target has to read before it answers.
    pub fn reads(&mut self, target: &TargetName, tokens: u32) {
        if let Some(target) = self.targets.get_mut(target) {
            target.load.reads(tokens);
        }
    }

    /// Counts prompt tokens that a target has read, or no longer has to.
    pub fn has_read(&mut self, target: &TargetName, tokens: u32) {
        if let Some(target) = self.targets.get_mut(target) {
            target.load.has_read(tokens);
        }
    }

    /// Takes in what a target says of its load.
    pub fn reported(&mut self, target: &TargetName, report: LoadReport, now: Moment) {
        if let Some(target) = self.targets.get_mut(target) {
            target.load.reported(report, now);
        }
    }

    /// Takes in what an exchange showed of a target.
    pub fn sign(&mut self, target: &TargetName, sign: Sign, now: Moment) {
        if let Some(target) = self.targets.get_mut(target) {
            target.health.note(&self.cfg.health, sign, now);
        }
    }

    /// Takes note that bytes came from a target.
    pub fn heard(&mut self, target: &TargetName, now: Moment) {
        if let Some(target) = self.targets.get_mut(target) {
            target.health.heard(now);
        }
    }

    /// Returns everything that was used since the last call, with what is under way of it.
    pub fn tell_uses(&mut self) -> Vec<Use> {
        self.uses.tell()
    }

    fn take_listed_adapters(&mut self, facts: &TargetFacts) {
        self.holders.forget_target(&facts.name);
        for model in &facts.models {
            for adapter in &model.adapters {
                self.holders.set(Holding {
                    target: facts.name.clone(),
                    started: facts.started,
                    weights: Weights::adapter(&model.name, &adapter.name),
                    version: Some(adapter.version),
                });
            }
        }
    }
}
