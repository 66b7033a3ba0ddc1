//! All that one instance knows of the targets.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_model::{Moment, TargetName, ZoneName};
use indexmap::IndexMap;

use super::choose::DispatchConfig;
use super::facts::{LoadReport, TargetFacts, Weights};
use super::health::{Sign, TargetHealth};
use super::holders::{Holders, Holding, Newest};
use super::load::TargetLoad;
use super::uses::UseTable;
use crate::residency::Use;

/// How long what the placer told counts for more than what targets list of themselves. It tells
/// something at least each second; a target's own list is up to a heartbeat and a half behind.
const PLACER_SILENCE: Duration = Duration::from_secs(3);

/// One target as this instance knows it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) facts: TargetFacts,
    pub(crate) load: TargetLoad,
    pub(crate) health: TargetHealth,
}

/// All that one instance knows of the targets, and the choice among them.
#[derive(Debug)]
pub struct Dispatch {
    pub(crate) cfg: DispatchConfig,
    pub(crate) zone: ZoneName,
    pub(crate) targets: IndexMap<TargetName, Target>,
    pub(crate) holders: Holders,
    pub(crate) newest: HashMap<Weights, Newest>,
    uses: UseTable,
    placer_heard: Option<Moment>,
    pressed: bool,
}

impl Dispatch {
    /// Starts without targets, for an instance in `zone`.
    pub fn new(cfg: DispatchConfig, zone: ZoneName) -> Self {
        Self {
            cfg,
            zone,
            targets: IndexMap::new(),
            holders: Holders::default(),
            newest: HashMap::new(),
            uses: UseTable::default(),
            placer_heard: None,
            pressed: false,
        }
    }

    /// Takes in what the platform lists of a target.
    pub fn target_seen(&mut self, facts: TargetFacts, now: Moment) {
        if !self.is_placer_heard(now) {
            self.take_listed_adapters(&facts);
        }
        match self.targets.get_mut(&facts.name) {
            Some(target) => target.facts = facts,
            None => {
                let target = Target {
                    load: TargetLoad::default(),
                    health: TargetHealth::new(now),
                    facts,
                };
                self.targets.insert(target.facts.name.clone(), target);
            }
        }
    }

    /// Forgets a target that is gone.
    pub fn target_gone(&mut self, name: &TargetName) {
        self.targets.swap_remove(name);
        self.holders.forget_target(name);
    }

    /// Returns what the platform lists of a target.
    pub fn target(&self, name: &TargetName) -> Option<&TargetFacts> {
        self.targets.get(name).map(|target| &target.facts)
    }

    /// Returns all targets.
    pub fn targets(&self) -> impl Iterator<Item = &TargetFacts> {
        self.targets.values().map(|target| &target.facts)
    }

    /// Takes in everything that the placer knows of who holds what.
    pub fn holdings_whole(&mut self, holdings: Vec<Holding>, now: Moment) {
        self.holders.clear();
        self.placer_heard = Some(now);
        for holding in holdings {
            self.holders.set(holding);
        }
    }

    /// Takes in what the placer tells of one hold.
    pub fn holding_changed(&mut self, holding: Holding, now: Moment) {
        self.placer_heard = Some(now);
        self.holders.set(holding);
    }

    /// Takes note that the placer is there.
    pub fn placer_heard(&mut self, now: Moment) {
        self.placer_heard = Some(now);
    }

    /// Takes in whether loads wait for others to end.
    pub fn set_pressed(&mut self, pressed: bool) {
        self.pressed = pressed;
    }

    /// Says whether the placer can be asked for a load that a request can do without.
    pub fn has_loads_to_spare(&self, now: Moment) -> bool {
        self.is_placer_heard(now) && !self.pressed
    }

    /// Says whether the placer has been heard of late.
    pub fn is_placer_heard(&self, now: Moment) -> bool {
        let heard = self.placer_heard;
        heard.is_some_and(|at| now.since(at) < PLACER_SILENCE)
    }

    /// Takes in that a version of some weights is the newest.
    pub fn version_named(&mut self, weights: Weights, version: u64, now: Moment) {
        let newer = self
            .newest
            .get(&weights)
            .is_none_or(|newest| newest.version < version);
        if newer {
            let known_since = now;
            self.newest.insert(
                weights,
                Newest {
                    version,
                    known_since,
                },
            );
        }
    }

    /// Takes in that a target says that it does not hold an adapter, or not in that version.
    pub fn not_held(&mut self, target: &TargetName, weights: &Weights) {
        self.holders.set(Holding {
            target: target.clone(),
            weights: weights.clone(),
            version: None,
        });
    }

    /// Counts a request that was sent to a target.
    pub fn sent(&mut self, target: &TargetName, weights: Option<&Weights>) {
        self.uses.sent(target, weights);
        if let Some(target) = self.targets.get_mut(target) {
            target.load.sent();
        }
    }

    /// Counts a request to a target that ended.
    pub fn ended(&mut self, target: &TargetName, weights: Option<&Weights>) {
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

    /// Takes in how many requests other instances have under way at a target.
    pub fn told_load(&mut self, target: &TargetName, others: u32, now: Moment) {
        if let Some(target) = self.targets.get_mut(target) {
            target.load.told(others, now);
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
                    weights: Weights::adapter(&model.name, &adapter.name),
                    version: Some(adapter.version),
                });
            }
        }
    }
}
