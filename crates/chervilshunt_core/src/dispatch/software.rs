//! The software versions of targets, which bind requests that continue a stream.

use chervilshunt_model::{Moment, ServiceName, TargetName};

use super::facts::{SoftwareVersion, TargetFacts};
use super::state::Dispatch;

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
        self.software.confirmed(as_of);
    }

    /// Returns the software version at which all streams of a service must have begun that can be
    /// continued now; `None` if there may be several.
    pub fn only_software(&self, service: &ServiceName, now: Moment) -> Option<SoftwareVersion> {
        let targets = self.targets.values().map(|it| &it.facts);
        let listed = targets.filter(|it| it.service == *service);
        let listed = listed.map(|it| it.software.as_ref());
        self.software.only_version(service, listed, now).cloned()
    }

    /// Returns whether a service has a target of a software version that takes new requests.
    pub fn serves_software(&self, service: &ServiceName, software: &SoftwareVersion) -> bool {
        let mut targets = self.targets.values().map(|it| &it.facts);
        targets.any(|it| {
            it.service == *service && it.leaving.is_none() && it.software.as_ref() == Some(software)
        })
    }
}
