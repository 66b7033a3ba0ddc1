//! The state of all targets as known to one instance.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName, ZoneName};
use indexmap::IndexMap;

use super::brittle::BrittleTargets;
use super::choose::DispatchConfig;
use super::congestion::Congestion;
use super::facts::{Leaving, LoadReport, TargetFacts, TargetStart, Weights};
use super::health::{HealthSignal, TargetHealth, TargetPath};
use super::holders::{AdapterHolding, AnnouncedVersions, HeldAdapters, Holders, TargetSnapshot};
use super::life::SignsOfLife;
use super::links::ServiceLink;
use super::load::TargetLoad;
use super::self_reports::ReportedLeaving;
use super::uses::UseTable;
use crate::rate_limit::{RateLimits, SendShares};
use crate::residency::TargetUse;
use crate::speed::TargetSpeed;

/// The time without a message after which the placer is considered unreachable.
const PLACER_UNREACHABLE_AFTER: Duration = Duration::from_secs(3);
/// How long the placer's snapshot of all targets takes precedence over what the targets list
/// themselves, which lags behind by up to one and a half heartbeats.
const SNAPSHOT_VALIDITY: Duration = Duration::from_secs(3);

/// The time without a message after which the placer is no longer asked to place requests: three
/// times the interval at which it sends updates.
const PLACER_SELECTING_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The number of removed targets whose last start is remembered, so that late entries can be
/// recognized. Far more than fail within the time by which a write can be late.
const REMEMBERED_GONE: usize = 1_024;

/// The state of one target as known to this instance.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) facts: TargetFacts,
    pub(crate) load: TargetLoad,
    pub(crate) speed: TargetSpeed,
    pub(crate) congestion: Congestion,
    pub(crate) health: TargetHealth,
    pub(crate) signs: SignsOfLife,
    /// The time until which the target has asked this instance not to send requests.
    pub(crate) paused_until: Moment,
    /// The time until which its rate limit allows this instance no request.
    pub(crate) held_back_until: Moment,
}

/// How an entry in the platform's list relates to the known state of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The target was unknown.
    New,
    /// The target was known.
    Known,
    /// The target has restarted under its name, which invalidates its earlier state.
    Restarted,
    /// The entry was written by an earlier start of the target and arrived late, so it is ignored.
    Outdated,
}

/// The state of all targets as known to one instance, and the selection among them.
#[derive(Debug)]
pub struct Dispatch {
    pub(crate) cfg: DispatchConfig,
    pub(crate) zone: ZoneName,
    pub(crate) targets: IndexMap<TargetName, Target>,
    pub(crate) holders: Holders,
    pub(crate) versions: HashMap<Weights, AnnouncedVersions>,
    pub(crate) reported_leaving: ReportedLeaving,
    pub(crate) rate_limits: RateLimits,
    pub(crate) send_shares: SendShares,
    pub(crate) brittle: BrittleTargets,
    /// The number of instances that send requests to the targets.
    pub(crate) instances: usize,
    pub(crate) links: HashMap<ServiceName, ServiceLink>,
    uses: UseTable,
    /// The last start of each removed target, the most recently removed last.
    gone: IndexMap<TargetName, Option<TargetStart>>,
    placer_responded_at: Option<Moment>,
    /// Whether the placer has reported that it places requests, and nothing has contradicted that
    /// since.
    is_placing: bool,
    /// When the snapshot of a placer whose lease ended was applied.
    snapshot_at: Option<Moment>,
    /// The time as of which the list of targets is known to be complete.
    pub(super) listed_as_of: Option<Moment>,
}

impl Dispatch {
    /// Creates the state without targets, for an instance in `zone`.
    pub fn new(cfg: DispatchConfig, zone: ZoneName) -> Self {
        Self {
            cfg,
            zone,
            targets: IndexMap::new(),
            holders: Holders::default(),
            versions: HashMap::new(),
            reported_leaving: ReportedLeaving::default(),
            rate_limits: RateLimits::default(),
            send_shares: SendShares::default(),
            brittle: BrittleTargets::default(),
            instances: 1,
            links: HashMap::new(),
            uses: UseTable::default(),
            gone: IndexMap::new(),
            placer_responded_at: None,
            is_placing: false,
            snapshot_at: None,
            listed_as_of: None,
        }
    }

    /// Applies the platform's entry of a target.
    ///
    /// A restarted target holds no adapters and has none of the requests that were sent to it
    /// before. If these were still counted, old requests would keep new ones away from it, and old
    /// adapters would attract requests that it refuses.
    pub fn target_listed(&mut self, facts: TargetFacts, now: Moment) -> EntryChange {
        let change = self.target_forwarded(facts.clone(), now);
        let snapshot_age = self.snapshot_at.map(|at| now.since(at));
        if change != EntryChange::Outdated
            && snapshot_age.is_none_or(|age| age >= SNAPSHOT_VALIDITY)
        {
            self.apply_listed_adapters(&facts);
        }
        change
    }

    /// Applies a target's entry forwarded by the placer, which omits the adapters that it holds.
    pub fn target_forwarded(&mut self, facts: TargetFacts, now: Moment) -> EntryChange {
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
            self.reported_leaving.note(&facts.name, facts.started);
        }
        if self.reported_leaving.includes(&facts.name, facts.started) {
            facts.leaving.get_or_insert(Leaving { gone_after: None });
        }
        match self.targets.get_mut(&facts.name) {
            Some(target) => target.facts = facts,
            None => {
                let target = Target {
                    load: TargetLoad::default(),
                    speed: TargetSpeed::default(),
                    congestion: Congestion::default(),
                    health: TargetHealth::new(now),
                    signs: SignsOfLife::default(),
                    paused_until: Moment::ZERO,
                    held_back_until: Moment::ZERO,
                    facts,
                };
                self.targets.insert(target.facts.name.clone(), target);
            }
        }
        change
    }

    /// Removes a target that is gone.
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

    /// Returns whether an entry belongs to a start of a target that was known and has been removed.
    pub fn is_removed_start(&self, facts: &TargetFacts) -> bool {
        let last = self.gone.get(&facts.name);
        !self.targets.contains_key(&facts.name)
            && last.is_some_and(|last| TargetStart::compare(facts.started, *last).is_le())
    }

    /// Returns the platform's entry of a target.
    pub fn target(&self, name: &TargetName) -> Option<&TargetFacts> {
        self.targets.get(name).map(|target| &target.facts)
    }

    /// Returns the entries of all targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetFacts> {
        self.targets.values().map(|target| &target.facts)
    }

    /// Returns how many targets of a service are known, whether usable or not.
    pub fn target_count(&self, service: &ServiceName) -> usize {
        let targets = self.targets.values();
        targets.filter(|it| it.facts.service == *service).count()
    }

    /// Applies the placer's knowledge of all targets at the time its lease ended.
    ///
    /// No orders are sent to targets until there is another placer, so this is what the targets
    /// hold.
    pub fn apply_snapshots(&mut self, snapshots: Vec<TargetSnapshot>, now: Moment) {
        self.snapshot_at = Some(now);
        for snapshot in snapshots {
            self.apply_snapshot(snapshot, now);
        }
    }

    fn apply_snapshot(&mut self, snapshot: TargetSnapshot, now: Moment) {
        let TargetSnapshot {
            target,
            started,
            in_flight,
            models,
            pace,
        } = snapshot;
        let Some(known) = self.targets.get_mut(&target) else {
            return;
        };
        if TargetStart::compare(started, known.facts.started) == Ordering::Less {
            return;
        }
        known.load.total_reported(in_flight, now);
        if let Some(pace) = pace {
            known.speed.start_with(pace, now);
        }
        self.holders.forget_target(&target);
        for HeldAdapters { model, adapters } in models {
            for (adapter, version) in adapters {
                self.holders.set(AdapterHolding {
                    target: target.clone(),
                    started,
                    weights: Weights::adapter(&model, &adapter),
                    version: Some(version),
                });
            }
        }
    }

    /// Applies a change in the adapters of a target, unless it refers to an earlier start of the
    /// target.
    pub fn holding_changed(&mut self, holding: AdapterHolding) {
        let known = self.started(&holding.target);
        if TargetStart::compare(holding.started, known) != Ordering::Less {
            self.holders.set(holding);
        }
    }

    /// Records a sign of life from the placer.
    pub fn placer_responded(&mut self, now: Moment) {
        self.placer_responded_at = Some(now);
    }

    /// Records whether the placer places requests. Until the placer knows what targets hold, an
    /// instance does better with its own knowledge.
    pub fn placer_status_reported(&mut self, is_placing: bool, now: Moment) {
        self.placer_responded_at = Some(now);
        self.is_placing = is_placing;
    }

    /// Records that the placer does not answer. Requests use this instance's own knowledge of the
    /// holders until the placer reports again that it places requests.
    pub fn placer_lost(&mut self) {
        self.is_placing = false;
    }

    /// Returns whether the placer selects targets, since it knows the requests that all instances
    /// have in flight and which adapters are about to be unloaded. Otherwise this instance selects
    /// targets itself.
    pub fn is_placer_selecting(&self, now: Moment) -> bool {
        self.is_placing && self.placer_responded_within(PLACER_SELECTING_TIMEOUT, now)
    }

    /// Returns whether a message from the placer was received within the given time.
    pub fn placer_responded_within(&self, time: Duration, now: Moment) -> bool {
        self.placer_responded_at
            .is_some_and(|at| now.since(at) < time)
    }

    /// Returns the targets of a service that this instance prefers not to use, because they
    /// recently did not respond or failed. Empty if that is true of most of them, since the fault
    /// may then lie with this instance.
    pub fn suspect_targets(&self, service: &ServiceName, now: Moment) -> Vec<TargetName> {
        let path = if self.is_cut_off(service) {
            TargetPath::Transit
        } else {
            TargetPath::Direct
        };
        let targets = self.targets.values();
        let serving = targets.filter(|it| it.facts.service == *service);
        let (suspect, sound): (Vec<&Target>, Vec<&Target>) = serving.partition(|target| {
            let failing = target.health.failing_share() > self.cfg.health.failing_share;
            failing || target.health.is_unreachable(path, now)
        });
        if suspect.len() > sound.len() {
            return Vec::new();
        }
        let names = suspect.into_iter().map(|it| it.facts.name.clone());
        names.collect()
    }

    /// Returns whether a message from the placer was received recently.
    pub fn is_placer_reachable(&self, now: Moment) -> bool {
        self.placer_responded_within(PLACER_UNREACHABLE_AFTER, now)
    }

    /// Records the newest version of some weights.
    pub fn version_announced(&mut self, weights: Weights, version: u64, now: Moment) {
        let announced = self.versions.entry(weights).or_default();
        let kept_for = self
            .cfg
            .old_version_grace
            .max(self.cfg.old_version_begin_limit);
        announced.announce(version, kept_for, now);
    }

    /// Returns the newest version of some weights and how long it has been known, or `None` if no
    /// version has been announced.
    pub fn newest_version(&self, weights: &Weights, now: Moment) -> Option<(u64, Duration)> {
        let (version, since) = self.versions.get(weights)?.newest_entry()?;
        Some((version, now.since(since)))
    }

    /// Returns the time by which a request sent for a version of some weights must begin to run, or
    /// `None` if no newer version is known.
    pub fn begin_deadline(&self, weights: &Weights, version: u64) -> Option<Moment> {
        let superseded_at = self.versions.get(weights)?.superseded_at(version)?;
        Some(superseded_at + self.cfg.old_version_begin_limit)
    }

    /// Records that a target reports that it does not hold an adapter, or not in the expected
    /// version.
    pub fn not_held(&mut self, target: &TargetName, weights: &Weights) {
        self.holders.set(AdapterHolding {
            target: target.clone(),
            started: None,
            weights: weights.clone(),
            version: None,
        });
    }

    /// Returns the start of a target, as far as known.
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

    /// Counts a request that ended; `started` is the start of the target when the request was sent.
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

    /// Adds prompt tokens that a target has to prefill before it answers.
    pub fn add_prefill(&mut self, target: &TargetName, tokens: u32) {
        if let Some(target) = self.targets.get_mut(target) {
            target.load.add_prefill(tokens);
        }
    }

    /// Removes prompt tokens that a target has prefilled or no longer has to.
    pub fn remove_prefill(&mut self, target: &TargetName, tokens: u32) {
        if let Some(target) = self.targets.get_mut(target) {
            target.load.remove_prefill(tokens);
        }
    }

    /// Applies the load that a target reports.
    pub fn load_reported(&mut self, target: &TargetName, report: LoadReport, now: Moment) {
        if let Some(target) = self.targets.get_mut(target) {
            target.load.load_reported(report, now);
            target.congestion.load_reported(report, now);
        }
    }

    /// Records the health signal of an exchange with a target.
    pub fn record_signal(
        &mut self,
        target: &TargetName,
        path: TargetPath,
        signal: HealthSignal,
        now: Moment,
    ) {
        if let Some(target) = self.targets.get_mut(target) {
            target.health.record(&self.cfg.health, path, signal, now);
        }
    }

    /// Returns whether a target is excluded because it did not respond to this instance.
    pub fn is_unreachable(&self, target: &TargetName, now: Moment) -> bool {
        let target = self.targets.get(target);
        target.is_some_and(|it| it.health.is_unreachable(TargetPath::Direct, now))
    }

    /// Returns the time since the last sign of life from a target.
    pub fn since_last_response(&self, target: &TargetName, now: Moment) -> Option<Duration> {
        let target = self.targets.get(target)?;
        Some(now.since(target.health.last_response_at()))
    }

    /// Records that bytes were received from a target.
    pub fn response_received(&mut self, target: &TargetName, path: TargetPath, now: Moment) {
        if let Some(target) = self.targets.get_mut(target) {
            target.health.response_received(path, now);
        }
    }

    /// Returns everything used since the last call, with the current number of requests in flight.
    pub fn report_uses(&mut self) -> Vec<TargetUse> {
        self.uses.report()
    }

    fn apply_listed_adapters(&mut self, facts: &TargetFacts) {
        self.holders.forget_target(&facts.name);
        for model in &facts.models {
            for adapter in &model.adapters {
                self.holders.set(AdapterHolding {
                    target: facts.name.clone(),
                    started: facts.started,
                    weights: Weights::adapter(&model.name, &adapter.name),
                    version: Some(adapter.version),
                });
            }
        }
    }
}
