//! The placer's state of all plain services.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment, ServiceName, TargetName, ZoneName};

use super::grants::{MAX_OMITTED, ServiceGrant};
use super::queue::{QueueTarget, ServiceQueue};
use crate::dispatch::{TargetFacts, TargetStart};
use crate::quarantine::Fingerprint;
use crate::residency::{GrantNumber, GrantProgress, ResidencyEvent, TargetUse};

/// The largest part of the capacity that is left to instances which don't report. Most of them have
/// ended or were replaced when they are many. If they run after all, their requests delay the
/// granted ones, so that the measured time in a slot rises and less is admitted here.
const MAX_RESERVED: f64 = 1.0 / 3.0;

/// A request for a place at a plain service.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The service.
    pub service: ServiceName,
    /// The team that sent it, if any.
    pub team: Option<Arc<str>>,
    /// The number of such requests per second that the team's quota allows, if it has one.
    pub weight: Option<f64>,
    /// What is left of the time to the first byte that the request should have.
    pub objective_left: Duration,
    /// What is left of the time that its caller waits.
    pub time_left: Duration,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Identifies the request across its caller's attempts.
    pub content: Fingerprint,
    /// Whether a target has failed or rejected it before, so that it is late already.
    pub is_repeat: bool,
    /// The zone of the instance that asks.
    pub zone: Option<ZoneName>,
    /// Targets that it must not be sent to.
    pub avoid: Vec<TargetName>,
}

/// The result of a request for a place.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionResult {
    /// The request may be sent to a target.
    At {
        /// The name of the target.
        target: TargetName,
        /// Whether its caller has returned at the time that it was given.
        is_return: bool,
    },
    /// The request is refused.
    Busy(Refused),
    /// No target of the service is known that may take it.
    NoTarget,
}

/// Why a request was refused, and when its caller should return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// The time after which the caller has a place; `None` if it would not wait that long.
    pub retry_in: Option<Duration>,
    /// Whether the team was beyond its share of the throughput.
    pub is_over_share: bool,
    /// The expected time until a response.
    pub expected: Duration,
    /// The number of requests in flight at the service.
    pub in_flight: usize,
    /// The requests per second that the service can run.
    pub throughput: f64,
}

/// What operators see of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceState {
    /// The service.
    pub service: ServiceName,
    /// The expected time until the response to a request that comes now.
    pub expected: Duration,
    /// The number of requests in flight.
    pub in_flight: usize,
}

/// The queues of all plain services, as the placer keeps them.
///
/// A new placer starts with none of the grants of the one before it. What instances report to have
/// in flight beyond the known grants counts as taken places, so the open requests are known again
/// after the first report of each instance.
#[derive(Clone, Debug, Default)]
pub struct ServiceQueues {
    services: HashMap<ServiceName, ServiceQueue>,
    /// The service of each plain target.
    targets: HashMap<TargetName, ServiceName>,
    grants: HashMap<GrantNumber, ServiceGrant>,
    /// Requests without a known grant, by instance.
    beside: HashMap<InstanceId, Vec<(TargetName, u32)>>,
    /// Services with model engines, whose targets the planner of adapters chooses.
    engines: HashSet<ServiceName>,
    reserved: f64,
}

impl ServiceQueues {
    /// Decides where a request may run. If it is admitted, it counts as in flight as a grant of
    /// `number` until its end is reported. `draw` is a random number from 0 to 1.
    pub fn admit(
        &mut self,
        number: GrantNumber,
        from: &InstanceId,
        req: &AdmissionRequest,
        draw: f64,
        now: Moment,
    ) -> AdmissionResult {
        let Some(queue) = self.services.get_mut(&req.service) else {
            return AdmissionResult::NoTarget;
        };
        let result = queue.admit(req, draw, now);
        if let AdmissionResult::At { target, .. } = &result
            && let Some(state) = queue.targets.get_mut(target)
        {
            let slots = state.granted_slots();
            state.grants.add(number, slots, now);
            let grant = ServiceGrant {
                holder: from.clone(),
                service: req.service.clone(),
                target: target.clone(),
                given_at: now,
                has_begun: false,
            };
            self.grants.insert(number, grant);
        }
        result
    }

    /// Applies an event that the planner of adapters handles too.
    pub fn observe(&mut self, event: &ResidencyEvent, now: Moment) {
        match event {
            ResidencyEvent::TargetListed(facts) => self.target_listed(facts),
            ResidencyEvent::TargetGone(name) => self.target_gone(name),
            ResidencyEvent::UsageReported(from, uses, grants) => {
                self.usage_reported(from, uses, grants, now);
            }
            ResidencyEvent::GrantsProgressed(progress) => self.progressed(progress, now),
            ResidencyEvent::InstanceGone(from) => self.instance_gone(from, now),
            ResidencyEvent::Limits(service, _) => self.service_has_engines(service),
            ResidencyEvent::PlacementRequested { .. }
            | ResidencyEvent::NotHeld(..)
            | ResidencyEvent::OrderAnswered(..)
            | ResidencyEvent::TargetReported(..)
            | ResidencyEvent::ReportFailed(_)
            | ResidencyEvent::RateLimits(_)
            | ResidencyEvent::BrittleServices(_)
            | ResidencyEvent::Unreachable(..)
            | ResidencyEvent::VersionAnnounced(..)
            | ResidencyEvent::Tick => {}
        }
    }

    /// Sets the part of the instances that don't report any more. They may be cut off and admit
    /// from their own shares, so their part of the capacity is left to them.
    pub fn set_absent(&mut self, part: f64) {
        self.reserved = part.clamp(0.0, MAX_RESERVED);
        for queue in self.services.values_mut() {
            queue.reserved = self.reserved;
        }
    }

    /// Returns the number of grants that have not ended.
    pub fn open_grants(&self) -> usize {
        self.grants.len()
    }

    /// Returns the mean time that a request occupies a slot of a service.
    pub fn slot_time(&self, service: &ServiceName) -> Option<Duration> {
        let queue = self.services.get(service)?;
        Some(Duration::from_secs_f64(queue.time.mean()))
    }

    /// Returns what operators see of each service for which requests were decided on.
    pub fn states(&self, now: Moment) -> Vec<ServiceState> {
        let used = self.services.iter().filter(|(_, it)| it.is_used());
        let states = used.filter_map(|(service, queue)| {
            let expected = queue.expected_response(now)?;
            Some(ServiceState {
                service: service.clone(),
                expected: Duration::from_secs_f64(expected.min(3600.0)),
                in_flight: queue.in_flight(),
            })
        });
        states.collect()
    }

    fn target_listed(&mut self, facts: &TargetFacts) {
        let is_plain = !self.engines.contains(&facts.service);
        let known = self.targets.get(&facts.name);
        if known.is_some_and(|service| !is_plain || *service != facts.service) {
            self.target_gone(&facts.name);
        }
        if !is_plain {
            return;
        }
        self.targets
            .insert(facts.name.clone(), facts.service.clone());
        let reserved = self.reserved;
        let queue = self.services.entry(facts.service.clone()).or_default();
        queue.reserved = reserved;
        let time = queue.time;
        let has_restarted = queue.targets.get(&facts.name).is_some_and(|it| {
            TargetStart::compare(facts.started, it.started) == std::cmp::Ordering::Greater
        });
        if has_restarted {
            // A restarted target has none of the requests that were sent to it before.
            queue.targets.swap_remove(&facts.name);
            self.grants.retain(|_, it| it.target != facts.name);
        }
        let target = queue
            .targets
            .entry(facts.name.clone())
            .or_insert_with(|| QueueTarget::new(facts, time));
        target.slots = facts.slots;
        target.zone = facts.zone.clone();
        target.started = facts.started;
        target.is_leaving = facts.leaving.is_some();
    }

    fn service_has_engines(&mut self, service: &ServiceName) {
        self.engines.insert(service.clone());
        if self.services.remove(service).is_some() {
            self.targets.retain(|_, it| it != service);
            self.grants.retain(|_, it| it.service != *service);
        }
    }

    fn target_gone(&mut self, name: &TargetName) {
        let Some(service) = self.targets.remove(name) else {
            return;
        };
        self.grants.retain(|_, it| it.target != *name);
        let Some(queue) = self.services.get_mut(&service) else {
            return;
        };
        queue.targets.swap_remove(name);
    }

    fn progressed(&mut self, progress: &GrantProgress, now: Moment) {
        for number in &progress.begun {
            if let Some(grant) = self.grants.get_mut(number) {
                grant.has_begun = true;
            }
        }
        for number in &progress.ended {
            self.ended(*number, now);
        }
    }

    fn ended(&mut self, number: GrantNumber, now: Moment) {
        let Some(grant) = self.grants.remove(&number) else {
            return;
        };
        let Some(queue) = self.services.get_mut(&grant.service) else {
            return;
        };
        let Some(target) = queue.targets.get_mut(&grant.target) else {
            return;
        };
        let took = target.grants.remove(number, now);
        if let Some(took) = took.filter(|_| grant.has_begun) {
            target.time = target.time.of_target(&queue.time, now);
            target.time.record(took, now);
            queue.time.record(took, now);
        }
    }

    /// Ends the grants of an instance that its report omits, and counts what it has in flight
    /// beyond the others.
    fn usage_reported(
        &mut self,
        from: &InstanceId,
        uses: &[TargetUse],
        reported: &[GrantNumber],
        now: Moment,
    ) {
        let reported: HashSet<GrantNumber> = reported.iter().copied().collect();
        let mut granted: HashMap<&TargetName, u32> = HashMap::new();
        let mut lost = Vec::new();
        for (number, grant) in self.grants.iter().filter(|(_, it)| it.holder == *from) {
            if reported.contains(number) {
                *granted.entry(&grant.target).or_default() += 1;
            } else if now.since(grant.given_at) >= MAX_OMITTED {
                lost.push(*number);
            }
        }
        let plain = uses
            .iter()
            .filter(|it| it.weights.is_none() && self.targets.contains_key(&it.target));
        let beside = plain.map(|it| {
            let granted = granted.get(&it.target).copied().unwrap_or_default();
            (it.target.clone(), it.in_flight.saturating_sub(granted))
        });
        let beside: Vec<_> = beside.filter(|(_, count)| *count > 0).collect();
        self.set_beside(from, beside);
        for number in lost {
            self.ended(number, now);
        }
    }

    fn set_beside(&mut self, from: &InstanceId, beside: Vec<(TargetName, u32)>) {
        let before = if beside.is_empty() {
            self.beside.remove(from)
        } else {
            self.beside.insert(from.clone(), beside.clone())
        };
        for (name, count) in before.unwrap_or_default() {
            self.change_beside(&name, |it| it.saturating_sub(count));
        }
        for (name, count) in beside {
            self.change_beside(&name, |it| it + count);
        }
    }

    fn change_beside(&mut self, name: &TargetName, change: impl FnOnce(u32) -> u32) {
        let service = self.targets.get(name);
        let queue = service.and_then(|it| self.services.get_mut(it));
        if let Some(target) = queue.and_then(|it| it.targets.get_mut(name)) {
            target.beside = change(target.beside);
        }
    }

    fn instance_gone(&mut self, from: &InstanceId, now: Moment) {
        self.set_beside(from, Vec::new());
        let held = self.grants.iter().filter(|(_, it)| it.holder == *from);
        let numbers: Vec<GrantNumber> = held.map(|(number, _)| *number).collect();
        for number in numbers {
            self.ended(number, now);
        }
    }
}
