//! New versions of weights: the newest one is loaded on another target before the old one is
//! unloaded.

use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName, ZoneName};

use super::hold::AdapterStage;
use super::order::ResidencyAction;
use super::placement::{PlacementRequest, notification};
use super::planner::ResidencyPlanner;
use crate::dispatch::{Lane, Weights};

/// How recently an adapter must have been used for its newest version to be loaded ahead of
/// requests. Otherwise it is loaded on request.
const RECENT_USE: Duration = Duration::from_secs(1);

impl ResidencyPlanner {
    /// Applies the announcement of a newest version.
    ///
    /// Replacing an adapter in place waits seconds for the requests that use it, and rejects new
    /// ones in the meantime. An adapter in use is therefore loaded on another target first.
    pub(super) fn version_announced(
        &mut self,
        weights: Weights,
        version: u64,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        self.touch_holders(&weights);
        let known = self.newest.entry(weights.clone()).or_insert(version);
        if *known > version {
            return;
        }
        *known = version;
        if weights.adapter.is_none() {
            let grace = self.cfg.old_version_grace;
            let announced = self.base_versions.entry(weights.model).or_default();
            return announced.announce(version, grace, now);
        }
        let outdated = self.mark_outdated(&weights, version, now);
        if outdated.is_empty() {
            return;
        }
        let used = outdated.iter().any(|(.., used)| *used);
        for (name, service, zone, _) in outdated {
            // If nothing uses the adapter, or no other target has capacity, the old version is
            // retired immediately.
            let request = PlacementRequest {
                software: None,
                service,
                weights: weights.clone(),
                prompt_tokens: 0,
                lane: Lane::General,
                zone,
                avoid: Vec::new(),
            };
            let replaced = used && self.plan_load(&request, now).is_some();
            if !replaced {
                self.retire(&name, &weights, now, out);
            }
        }
    }

    /// Marks the targets that hold the given weights, or the given base model, to be inspected.
    fn touch_holders(&mut self, weights: &Weights) {
        for target in self.targets.values_mut() {
            target.touched |= match weights.adapter {
                Some(_) => target.adapters.contains_key(weights),
                None => target.lists_model(&weights.model),
            };
        }
    }

    /// Marks older versions as outdated, and returns their locations, each with whether it is in
    /// use.
    fn mark_outdated(
        &mut self,
        weights: &Weights,
        version: u64,
        now: Moment,
    ) -> Vec<(TargetName, ServiceName, ZoneName, bool)> {
        let mut found = Vec::new();
        for (name, target) in &mut self.targets {
            let in_use = target.in_use(weights) > 0;
            let Some(entry) = target.adapters.get_mut(weights) else {
                continue;
            };
            if entry.version >= version {
                continue;
            }
            if entry.state == AdapterStage::Planned {
                entry.version = version;
                continue;
            }
            // An adapter that is outdated already keeps its original grace period.
            if !entry.outdated {
                entry.since = now;
            }
            entry.outdated = true;
            let used = in_use || now.since(entry.last_used) < RECENT_USE;
            let facts = &target.facts;
            let (service, zone) = (facts.service.clone(), facts.zone.clone());
            found.push((name.clone(), service, zone, used));
        }
        found
    }

    /// Retires outdated adapters once the newest version serves elsewhere or their grace period is
    /// over.
    pub(super) fn retire_outdated(
        &mut self,
        name: &TargetName,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let outdated = target
            .adapters
            .iter()
            .filter(|(_, entry)| entry.outdated && entry.state == AdapterStage::Ready);
        let due: Vec<Weights> = outdated
            .filter(|(weights, entry)| {
                now.since(entry.since) >= self.cfg.old_version_grace || self.serves_newest(weights)
            })
            .map(|(weights, _)| weights.clone())
            .collect();
        for weights in due {
            self.retire(name, &weights, now, out);
        }
    }

    fn serves_newest(&self, weights: &Weights) -> bool {
        let mut adapters = self
            .targets
            .values()
            .filter_map(|it| it.adapters.get(weights));
        adapters.any(|entry| entry.serves())
    }

    /// Stops announcing an adapter, which is unloaded once nothing uses it any more.
    pub(super) fn retire(
        &mut self,
        name: &TargetName,
        weights: &Weights,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let target = self.targets.get_mut(name);
        let Some(entry) = target.and_then(|target| target.adapters.get_mut(weights)) else {
            return;
        };
        if entry.state == AdapterStage::Ready {
            entry.state = AdapterStage::Ending;
            entry.since = now;
            self.touch(name);
            out.push(notification(name, weights, None));
        }
    }
}
