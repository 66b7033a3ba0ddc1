//! New versions of weights: the newest one is loaded beside the old one, which then goes.

use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName, ZoneName};

use super::hold::HoldState;
use super::order::ResidencyAction;
use super::planner::Residency;
use super::wants::{Want, tell};
use crate::dispatch::{Lane, Weights};

/// How long after its last use the newest version of an adapter is loaded for whoever comes next. One
/// that nobody asks for is loaded when it is asked for.
const USED_OF_LATE: Duration = Duration::from_secs(1);

impl Residency {
    /// Takes in that a version is the newest.
    ///
    /// To replace an adapter where it is waits for the requests that use it, for seconds, and turns
    /// new ones away meanwhile. So a used adapter is loaded at other targets first.
    pub(super) fn version_named(
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
            let named = self.base_versions.entry(weights.model).or_default();
            return named.name(version, grace, now);
        }
        let outdated = self.mark_outdated(&weights, version, now);
        if outdated.is_empty() {
            return;
        }
        let used = outdated.iter().any(|(.., used)| *used);
        for (name, service, zone, _) in outdated {
            // Where nobody uses it, or no other target has room, the old one goes at once.
            let want = Want {
                service,
                weights: weights.clone(),
                prompt_tokens: 0,
                lane: Lane::General,
                zone,
                avoid: Vec::new(),
            };
            let replaced = used && self.plan_load(&want, now).is_some();
            if !replaced {
                self.end_hold(&name, &weights, now, out);
            }
        }
    }

    /// Makes sure that targets are looked at that hold some weights, or a model of which they are.
    fn touch_holders(&mut self, weights: &Weights) {
        for target in self.targets.values_mut() {
            target.touched |= match weights.adapter {
                Some(_) => target.holds.contains_key(weights),
                None => target.lists_model(&weights.model),
            };
        }
    }

    /// Marks older versions and returns where they are, each with whether it is used.
    fn mark_outdated(
        &mut self,
        weights: &Weights,
        version: u64,
        now: Moment,
    ) -> Vec<(TargetName, ServiceName, ZoneName, bool)> {
        let mut found = Vec::new();
        for (name, target) in &mut self.targets {
            let in_use = target.in_use(weights) > 0;
            let Some(hold) = target.holds.get_mut(weights) else {
                continue;
            };
            if hold.version >= version {
                continue;
            }
            if hold.state == HoldState::Planned {
                hold.version = version;
                continue;
            }
            // One that an earlier version has made outdated keeps the time that it was given then.
            if !hold.outdated {
                hold.since = now;
            }
            hold.outdated = true;
            let used = in_use || now.since(hold.last_used) < USED_OF_LATE;
            let facts = &target.facts;
            let (service, zone) = (facts.service.clone(), facts.zone.clone());
            found.push((name.clone(), service, zone, used));
        }
        found
    }

    /// Gives up outdated holds once the newest version serves elsewhere, or their time is over.
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
            .holds
            .iter()
            .filter(|(_, hold)| hold.outdated && hold.state == HoldState::Ready);
        let due: Vec<Weights> = outdated
            .filter(|(weights, hold)| {
                now.since(hold.since) >= self.cfg.old_version_grace || self.serves_newest(weights)
            })
            .map(|(weights, _)| weights.clone())
            .collect();
        for weights in due {
            self.end_hold(name, &weights, now, out);
        }
    }

    fn serves_newest(&self, weights: &Weights) -> bool {
        let mut holds = self.targets.values().filter_map(|it| it.holds.get(weights));
        holds.any(|hold| hold.serves())
    }

    /// Stops telling of an adapter; it is given up once nobody uses it any more.
    pub(super) fn end_hold(
        &mut self,
        name: &TargetName,
        weights: &Weights,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let target = self.targets.get_mut(name);
        let Some(hold) = target.and_then(|target| target.holds.get_mut(weights)) else {
            return;
        };
        if hold.state == HoldState::Ready {
            hold.state = HoldState::Ending;
            hold.since = now;
            self.touch(name);
            out.push(tell(name, weights, None));
        }
    }
}
