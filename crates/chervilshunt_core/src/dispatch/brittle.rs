//! Targets that fall over when they have to turn away too many requests.
//!
//! A brittle target names how many requests it may turn away for want of room in a second, from all
//! instances together. What can be avoided is to send it requests for which it has no room: no
//! requests queue there, each instance keeps to its part of the slots unless the target is
//! known to be lightly loaded, and a target that has turned a request away gets none from the same
//! instance for a time. See `docs/design/brittle.md`.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName};

use super::state::{Dispatch, Target};

/// The share of a brittle target's slots that are used. The rest is for requests of other instances
/// that are on their way.
pub(crate) const BRITTLE_FILL: f64 = 0.9;
/// The share of its slots below which a target is lightly loaded, so that an instance may use more
/// than its part.
const LIGHT_LOAD: f64 = 0.4;
/// The maximum age of the reported load for a target to count as lightly loaded.
const FRESH_LOAD_AGE: Duration = Duration::from_millis(100);
/// The share of the requests that a target may turn away which all instances together plan for.
const USED_REJECTIONS: f64 = 0.5;
/// The longest time for which a target that has turned a request away gets none.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// A change of whether a target is brittle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrittleChange {
    /// The requests that it may turn away in a second; `None` if it is not brittle.
    pub per_second: Option<f64>,
}

/// A target that says it is brittle.
#[derive(Clone, Copy, Debug)]
struct BrittleTarget {
    per_second: f64,
    /// When the answered request was sent that showed it last.
    shown_at: Moment,
}

/// The targets that say they are brittle.
#[derive(Debug, Default)]
pub(crate) struct BrittleTargets(HashMap<TargetName, BrittleTarget>);

impl Dispatch {
    /// Records whether an answer of a target says that it is brittle. `sent_at` is the time at
    /// which the answered request was sent.
    pub fn brittleness_answered(
        &mut self,
        target: &TargetName,
        per_second: Option<f64>,
        sent_at: Moment,
    ) -> Option<BrittleChange> {
        let known = self.brittle.0.get(target).copied();
        if known.is_some_and(|it| it.shown_at > sent_at) {
            return None;
        }
        match per_second {
            Some(per_second) => {
                let shown = BrittleTarget {
                    per_second,
                    shown_at: sent_at,
                };
                self.brittle.0.insert(target.clone(), shown);
            }
            None => drop(self.brittle.0.remove(target)),
        }
        let before = known.map(|it| it.per_second);
        (before != per_second).then_some(BrittleChange { per_second })
    }

    /// Returns how many requests a brittle target of a service may turn away in a second; `None` if
    /// no target of it is brittle. If one is, the others may be and not have answered yet.
    pub fn brittleness(&self, service: &ServiceName) -> Option<f64> {
        let brittle = self.brittle.0.iter();
        let of_service = brittle.filter(|(target, _)| {
            let target = self.targets.get(*target);
            target.is_some_and(|it| it.facts.service == *service)
        });
        of_service
            .map(|(_, it)| it.per_second)
            .min_by(f64::total_cmp)
    }

    /// Returns the services with brittle targets.
    pub fn brittle_services(&self) -> Vec<ServiceName> {
        let targets = self.brittle.0.keys();
        let targets = targets.filter_map(|it| self.targets.get(it));
        let mut services: Vec<_> = targets.map(|it| it.facts.service.clone()).collect();
        services.sort();
        services.dedup();
        services
    }

    /// Records that a brittle target has turned a request of this instance away. It gets no more
    /// from here until the other instances had their part of what it may turn away.
    pub fn turned_away(&mut self, target: &TargetName, instances: usize, now: Moment) {
        let Some(service) = self.targets.get(target).map(|it| &it.facts.service) else {
            return;
        };
        let Some(per_second) = self.brittleness(&service.clone()) else {
            return;
        };
        let own_part = (per_second * USED_REJECTIONS / instances.max(1) as f64).max(f64::EPSILON);
        let pause = Duration::try_from_secs_f64(1.0 / own_part).unwrap_or(MAX_PAUSE);
        self.hold_back(target, pause.min(MAX_PAUSE), now);
    }

    /// Returns whether this instance may send a request to a brittle target.
    pub(crate) fn has_brittle_room(&self, target: &Target, now: Moment) -> bool {
        let slots = f64::from(target.facts.slots.max(1));
        let total = target.load.total();
        if total + 1.0 > (slots * BRITTLE_FILL).max(1.0) {
            // What others had there may have ended long ago.
            let own = target.load.known_within(Duration::from_secs(1), now);
            return own < 1.0;
        }
        let part = (slots * BRITTLE_FILL / self.instances.max(1) as f64).max(1.0);
        let is_light =
            now.since(target.load.reported_at()) < FRESH_LOAD_AGE && total < slots * LIGHT_LOAD;
        is_light || f64::from(target.load.own()) + 1.0 <= part
    }

    /// Sets the number of instances.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
    }
}
