//! Judges whether this instance reaches the targets of a service.
//!
//! To an instance that has lost its own links, all targets look as if they had failed. When two
//! accept no connection and none accepts one, others are probed, more each time. If none of them
//! accepts a connection either, the fault most likely lies with this instance, and other
//! instances may still reach the targets. Only connections that were opened or failed count:
//! responses may still arrive on older ones.
//! See `docs/design/transit.md`.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_model::{Moment, ServiceName, TargetName};

use super::facts::TargetStart;
use super::state::Dispatch;

/// The number of different targets whose connections fail, while none is opened, from which others
/// are probed. One target may have crashed.
const PROBE_FROM: usize = 2;
/// The same number from which the instance counts as cut off. If a service has fewer targets, all
/// of them have to fail.
const CUT_OFF_FROM: usize = 16;
/// The number of targets that are probed at a time while the instance is cut off.
const PROBED_WHILE_CUT_OFF: usize = 2;
/// How long a failed connection counts.
const FAILURE_VALIDITY: Duration = Duration::from_secs(5);

/// A change of whether this instance reaches the targets of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// Several targets accept no connection. Others have to be probed.
    Suspected,
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

impl ServiceLink {
    fn is_suspected(&self) -> bool {
        self.failed.len() >= PROBE_FROM && self.cut_off_since.is_none()
    }

    /// Returns how many targets have to be probed now. Each round of a suspicion probes twice as
    /// many, so that few connections are opened in vain.
    fn probe_count(&self) -> usize {
        if self.cut_off_since.is_some() {
            return PROBED_WHILE_CUT_OFF;
        }
        if self.is_suspected() {
            return self.failed.len();
        }
        0
    }
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
        if link.cut_off_since.is_some() {
            return None;
        }
        if failed < CUT_OFF_FROM.min(targets) {
            return link.is_suspected().then_some(LinkChange::Suspected);
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
    /// is cut off from their services. Targets that have not failed yet come first; `draw` returns
    /// random numbers from 0 to 1. A suspicion ends when its failures no longer count.
    pub fn targets_to_probe(
        &mut self,
        mut draw: impl FnMut() -> f64,
        now: Moment,
    ) -> Vec<TargetName> {
        for link in self.links.values_mut() {
            if link.cut_off_since.is_none() {
                link.failed
                    .retain(|_, at| now.since(*at) < FAILURE_VALIDITY);
            }
        }
        let mut probed = Vec::new();
        for (service, link) in &self.links {
            probed.extend(self.likely_reachable(service, link.probe_count(), &mut draw));
        }
        probed
    }

    /// Returns up to `most` other targets of a target's service, those first to which no connection
    /// has failed. They show whether the target or this instance's links have failed.
    pub fn targets_to_compare(
        &self,
        target: &TargetName,
        most: usize,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<TargetName> {
        let Some(known) = self.targets.get(target) else {
            return Vec::new();
        };
        let mut others = self.likely_reachable(&known.facts.service, most + 1, &mut draw);
        others.retain(|it| it != target);
        others.truncate(most);
        others
    }

    /// Returns whether a target is listed and not leaving.
    pub fn is_staying(&self, target: &TargetName) -> bool {
        let known = self.targets.get(target);
        known.is_some_and(|it| it.facts.leaving.is_none())
    }

    /// Returns whether the platform shows that a run of a target has ended: the target has started again, or its
    /// entry is gone. Unlike a refused connection, this does not depend on this instance's links to targets.
    ///
    /// `started` is the start of the run.
    pub fn has_run_ended(&self, target: &TargetName, started: Option<TargetStart>) -> bool {
        let known = self.targets.get(target);
        known.is_none_or(|it| TargetStart::compare(it.facts.started, started).is_gt())
    }

    /// Returns up to `most` random targets of a service, those first to which no connection has
    /// failed.
    fn likely_reachable(
        &self,
        service: &ServiceName,
        most: usize,
        draw: &mut impl FnMut() -> f64,
    ) -> Vec<TargetName> {
        let link = self.links.get(service);
        let has_failed = |it| link.is_some_and(|link| link.failed.contains_key(it));
        let serving = self.targets.values();
        let serving = serving
            .filter(|it| it.facts.service == *service && it.facts.leaving.is_none())
            .map(|it| &it.facts.name);
        let mut ranked: Vec<(bool, f64, &TargetName)> =
            serving.map(|it| (has_failed(it), draw(), it)).collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let ranked = ranked.into_iter().take(most);
        ranked.map(|(_, _, it)| it.clone()).collect()
    }
}
