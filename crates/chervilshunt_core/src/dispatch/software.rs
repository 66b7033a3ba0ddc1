//! The software versions of targets, which bind requests that continue a stream.

use std::cmp::Ordering;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName};

use super::facts::{SoftwareVersion, TargetFacts, TargetStart};
use super::state::Dispatch;

/// Age of the list of targets up to which a target that has started again counts as listed anew. An entry is
/// written at the start and read within this time.
const FRESH_LIST_AGE: Duration = Duration::from_secs(1);

/// Returns whether a target has the required software version, if one is required.
pub(crate) fn has_software(facts: &TargetFacts, required: Option<&SoftwareVersion>) -> bool {
    required.is_none_or(|required| facts.software.as_ref() == Some(required))
}

impl Dispatch {
    /// Returns the version of a target's software, as far as known.
    pub fn software(&self, target: &TargetName) -> Option<SoftwareVersion> {
        let target = self.targets.get(target)?;
        target.facts.software.clone()
    }

    /// Records that the list of targets was complete at `as_of`.
    pub fn targets_confirmed(&mut self, as_of: Moment) {
        self.listed_as_of = Some(self.listed_as_of.map_or(as_of, |before| before.max(as_of)));
    }

    /// Returns whether the list of targets is recent enough to tell which of them have started again.
    pub fn is_list_fresh(&self, now: Moment) -> bool {
        let age = self.listed_as_of.map(|at| now.since(at));
        age.is_some_and(|age| age <= FRESH_LIST_AGE)
    }

    /// Records a start that a target has stated itself. Returns whether it is later than that of its entry.
    ///
    /// If so, the version of its software is unknown until the new entry is read: a target may start again
    /// with another one.
    pub fn start_stated(&mut self, name: &TargetName, started: TargetStart, now: Moment) -> bool {
        let Some(target) = self.targets.get(name) else {
            return false;
        };
        if TargetStart::compare(Some(started), target.facts.started) != Ordering::Greater {
            return false;
        }
        let facts = TargetFacts {
            started: Some(started),
            software: None,
            leaving: None,
            models: Vec::new(),
            ..target.facts.clone()
        };
        self.target_forwarded(facts, now);
        true
    }

    /// Returns whether a service has a target of a software version that takes new requests.
    pub fn serves_software(&self, service: &ServiceName, software: &SoftwareVersion) -> bool {
        let mut targets = self.targets.values().map(|it| &it.facts);
        targets.any(|it| {
            it.service == *service && it.leaving.is_none() && it.software.as_ref() == Some(software)
        })
    }
}
