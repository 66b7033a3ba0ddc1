//! Judges whether this instance reaches the targets of a service.
//!
//! To an instance that has lost its own links, all targets look as if they had failed. What tells
//! the two apart is that several targets accept no connection and none accepts one; then the fault
//! most likely lies with this instance, and others may still reach the targets. Only connections
//! that were opened or failed count: responses may still arrive on older ones.
//! See `docs/design/transit.md`.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName};

use super::state::Dispatch;

/// The number of different targets whose connections fail while none is opened before the instance
/// counts as cut off. One target may have crashed. A service with fewer targets counts as cut off
/// when all of them fail.
const MIN_FAILED_TARGETS: usize = 2;
/// How long a failed connection counts.
const FAILURE_VALIDITY: Duration = Duration::from_secs(5);

/// A change of whether this instance reaches the targets of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// No target of the service accepts connections from this instance.
    CutOff {
        /// The service.
        service: ServiceName,
        /// The number of targets to which no connection could be opened.
        failed: usize,
        /// The number of targets that take requests.
        targets: usize,
    },
    /// A target of the service has accepted a connection.
    Reached {
        /// The service.
        service: ServiceName,
        /// How long the instance was cut off.
        after: Duration,
    },
}

/// The connections of this instance to the targets of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceLink {
    /// The targets to which no connection could be opened since one was last opened to any of the
    /// service, with the time of the last failure.
    failed: HashMap<TargetName, Moment>,
    cut_off_since: Option<Moment>,
}

impl Dispatch {
    /// Records that a target has accepted a connection.
    pub fn connection_opened(&mut self, target: &TargetName, now: Moment) -> Option<LinkChange> {
        let service = self.targets.get(target)?.facts.service.clone();
        let link = self.links.get_mut(&service)?;
        link.failed.clear();
        let since = link.cut_off_since.take()?;
        Some(LinkChange::Reached {
            service,
            after: now.since(since),
        })
    }

    /// Records that no connection to a target could be opened.
    pub fn connection_failed(&mut self, target: &TargetName, now: Moment) -> Option<LinkChange> {
        let service = self.targets.get(target)?.facts.service.clone();
        let known = self.targets.values();
        let known = known.filter(|it| it.facts.service == service && it.facts.leaving.is_none());
        let targets = known.count();
        let link = self.links.entry(service.clone()).or_default();
        link.failed.insert(target.clone(), now);
        let known = &self.targets;
        link.failed
            .retain(|it, at| known.contains_key(it) && now.since(*at) < FAILURE_VALIDITY);
        let failed = link.failed.len();
        if link.cut_off_since.is_some() || failed < MIN_FAILED_TARGETS.min(targets) {
            return None;
        }
        link.cut_off_since = Some(now);
        Some(LinkChange::CutOff {
            service,
            failed,
            targets,
        })
    }

    /// Returns whether no target of a service accepts connections from this instance.
    pub fn is_cut_off(&self, service: &ServiceName) -> bool {
        let link = self.links.get(service);
        link.is_some_and(|it| it.cut_off_since.is_some())
    }

    /// Returns the services whose targets accept no connections from this instance, and since when.
    pub fn cut_off_services(&self) -> impl Iterator<Item = (&ServiceName, Moment)> {
        let links = self.links.iter();
        links.filter_map(|(service, link)| Some((service, link.cut_off_since?)))
    }

    /// Returns whether this instance needs others to pass its requests on: it is cut off from a
    /// service, or a target repeatedly does not respond to it.
    pub fn needs_transit(&self, now: Moment) -> bool {
        self.cut_off_services().next().is_some()
            || self
                .targets
                .values()
                .any(|it| it.health.is_repeatedly_unreachable(now))
    }

    /// Returns the targets to which a connection should be tried, to find out whether the instance
    /// is still cut off: up to `most` for each service that it is cut off from. Targets that have
    /// not failed yet come first; `draw` returns random numbers from 0 to 1.
    pub fn targets_to_probe(&self, most: usize, mut draw: impl FnMut() -> f64) -> Vec<TargetName> {
        let mut probed = Vec::new();
        for (service, link) in &self.links {
            if link.cut_off_since.is_none() {
                continue;
            }
            let serving = self.targets.values();
            let serving = serving
                .filter(|it| it.facts.service == *service && it.facts.leaving.is_none())
                .map(|it| &it.facts.name);
            let mut ranked: Vec<(bool, f64, &TargetName)> = serving
                .map(|it| (link.failed.contains_key(it), draw(), it))
                .collect();
            ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            probed.extend(ranked.into_iter().take(most).map(|(_, _, it)| it.clone()));
        }
        probed
    }
}
