//! Handles placement requests, with which instances ask for a target for one request.

use std::time::Duration;

use chervilshunt_model::{InstanceId, Moment, ServiceName, TargetName, ZoneName};
use serde::{Deserialize, Serialize};

use super::grants::GrantNumber;
use super::hold::{AdapterEntry, AdapterStage};
use super::order::{PlacementResult, ResidencyAction};
use super::planner::ResidencyPlanner;
use super::target::OrderState;
use crate::dispatch::{AdapterHolding, Lane, SoftwareVersion, Weights};

/// An instance's request to the placer for a target for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The service that the request is for.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The requested adapter or base model.
    #[serde(rename = "w")]
    pub weights: Weights,
    /// The length of the prompt, in tokens, which the target has to prefill before it answers.
    #[serde(rename = "t")]
    pub prompt_tokens: u32,
    /// The kind of work that dominates the request.
    #[serde(rename = "l")]
    pub lane: Lane,
    /// The availability zone from which the request is sent.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The software version that the target must have, because it began the stream that the request
    /// continues; `None` if any will do.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// Targets that the request cannot use.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub avoid: Vec<TargetName>,
}

/// A placement request that has not been answered.
#[derive(Clone, Debug)]
pub(super) struct PendingPlacement {
    pub(super) from: InstanceId,
    pub(super) request: PlacementRequest,
    /// The time until which the request waits.
    pub(super) until: Moment,
    /// When the request may be sent, once it is scheduled at a target with a rate limit.
    pub(super) send_at: Option<Moment>,
}

impl ResidencyPlanner {
    /// Finds a target for a request, or refuses it immediately.
    ///
    /// A request for which no target has a slot does not wait for one. When slots are scarce,
    /// waiting requests were placed so late that their answers missed their deadlines anyway, and
    /// took the slots from others that would have been in time.
    pub(super) fn place_or_refuse(
        &mut self,
        request_id: u64,
        pending: PendingPlacement,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let Some(candidate) = self.best_target(&pending.request, now) else {
            return self.refuse(vec![request_id], out);
        };
        let waits_too_long = candidate.send_wait > self.cfg.max_send_wait;
        if waits_too_long || now + candidate.ready_in > pending.until {
            let retry_in = candidate.ready_in.max(self.cfg.retry_in);
            let later = PlacementResult::Later { retry_in };
            out.push(ResidencyAction::Answer(request_id, later));
            return;
        }
        self.place(request_id, pending, &candidate.target, now, out);
    }

    /// Returns how long a request may wait for placement if its first token is due within `within`,
    /// which leaves time for its prefill.
    pub(super) fn placement_time(&self, request: &PlacementRequest, within: Duration) -> Duration {
        let reading =
            Duration::from_secs_f64(self.prefill_rate.millis(request.prompt_tokens) / 1e3);
        let left = within.saturating_sub(reading);
        left.max(within.mul_f64(MIN_PLACEMENT_SHARE))
    }

    /// Assigns a target to a request, immediately or once its adapter has been loaded there.
    pub(super) fn place(
        &mut self,
        request_id: u64,
        mut pending: PendingPlacement,
        name: &TargetName,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        pending.send_at = self.schedules.reserve(name, now);
        let weights = &pending.request.weights;
        if weights.adapter.is_some() {
            let planned = self.planned(name, weights, now);
            let Some(target) = self.targets.get_mut(name) else {
                return self.refuse(vec![request_id], out);
            };
            target.touched = true;
            let entry = target.adapters.entry(weights.clone()).or_insert(planned);
            entry.last_used = now;
            if entry.state != AdapterStage::Ready {
                entry.waiting_requests.push(request_id);
                entry.waiting_tokens += pending.request.prompt_tokens;
                entry.needed_until = entry.needed_until.max(Some(pending.until));
                self.pending.insert(request_id, pending);
                return;
            }
        }
        self.answer_at(request_id, pending, name, now, out);
    }

    fn answer_at(
        &mut self,
        request_id: u64,
        pending: PendingPlacement,
        target: &TargetName,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let number = GrantNumber(request_id);
        let PendingPlacement {
            from,
            request,
            send_at,
            ..
        } = pending;
        let adapters = self.targets.get(target).map(|it| &it.adapters);
        let version = adapters
            .and_then(|it| it.get(&request.weights))
            .map(|it| it.version);
        self.grant(
            number,
            from,
            target,
            request.weights,
            request.prompt_tokens,
            now,
        );
        let placed = PlacementResult::At {
            target: target.clone(),
            version,
            send_in: send_at.map(|at| now.until(at)),
        };
        out.push(ResidencyAction::Answer(request_id, placed));
    }

    /// Answers the requests that waited for an adapter which is now loaded.
    ///
    /// An outdated version would give them wrong answers: a target may turn out to hold one when a
    /// load of the newest was planned.
    pub(super) fn answer_loaded(
        &mut self,
        waiting_requests: Vec<u64>,
        target: &TargetName,
        outdated: bool,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        if outdated {
            return self.refuse(waiting_requests, out);
        }
        for request_id in waiting_requests {
            let Some(mut pending) = self.pending.remove(&request_id) else {
                continue;
            };
            // The target may have named a limit since the request was assigned to it.
            if pending.send_at.is_none() && self.schedules.is_limited(target) {
                if self.schedules.wait(target, now) > self.cfg.max_send_wait {
                    self.place_or_refuse(request_id, pending, now, out);
                    continue;
                }
                pending.send_at = self.schedules.reserve(target, now);
            }
            self.answer_at(request_id, pending, target, now, out);
        }
    }

    /// Creates the entry of an adapter whose load is planned.
    fn planned(&self, name: &TargetName, weights: &Weights, now: Moment) -> AdapterEntry {
        let version = self.newest.get(weights).copied();
        let target = self.targets.get(name);
        let kept = target.is_some_and(|it| it.recent_adapters.keeps(weights, self.memory));
        AdapterEntry {
            from_store: !kept,
            ..AdapterEntry::new(AdapterStage::Planned, version.unwrap_or(FIRST_VERSION), now)
        }
    }

    /// Plans to load an adapter ahead of requests, on the best target that has capacity for it.
    pub(super) fn plan_load(
        &mut self,
        request: &PlacementRequest,
        now: Moment,
    ) -> Option<TargetName> {
        let candidate = self.best_load(request, now)?;
        let entry = self.planned(&candidate.target, &request.weights, now);
        let target = self.targets.get_mut(&candidate.target)?;
        target.adapters.insert(request.weights.clone(), entry);
        target.touched = true;
        Some(candidate.target)
    }

    /// Finds another target for the requests that waited for a failed load, within their remaining
    /// waiting time; the others are asked to retry later.
    pub(super) fn place_elsewhere(
        &mut self,
        failed: &TargetName,
        waiting_requests: Vec<u64>,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        for request_id in waiting_requests {
            if let Some(mut pending) = self.pending.remove(&request_id) {
                pending.request.avoid.push(failed.clone());
                self.place_or_refuse(request_id, pending, now, out);
            }
        }
    }

    /// Answers requests that they cannot be placed now.
    pub(super) fn refuse(&mut self, waiting_requests: Vec<u64>, out: &mut Vec<ResidencyAction>) {
        let retry_in = self.cfg.retry_in;
        for request_id in waiting_requests {
            self.pending.remove(&request_id);
            let later = PlacementResult::Later { retry_in };
            out.push(ResidencyAction::Answer(request_id, later));
        }
    }

    /// Handles a target's report that it does not hold an adapter that was announced for it.
    ///
    /// It may still hold it, in a version that the request could not use. The adapter is therefore
    /// no longer announced, and its slot counts as taken until the target has unloaded it or has
    /// been queried: if it counted as free, the target would be sent a load for which it has no
    /// slot, which kills it. Other requests are not sent there either, since they would be refused
    /// too.
    pub(super) fn not_held(
        &mut self,
        name: &TargetName,
        weights: &Weights,
        now: Moment,
        out: &mut Vec<ResidencyAction>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let lag = self.cfg.report_lag;
        let Some(entry) = target.adapters.get_mut(weights) else {
            return;
        };
        // A request that was refused just as the load ended says nothing about the adapter.
        if entry.state != AdapterStage::Ready || now.since(entry.since) < lag {
            return;
        }
        entry.state = AdapterStage::Ending;
        entry.outdated = true;
        entry.since = now;
        target.touched = true;
        out.push(notification(name, weights, None));
        if let OrderState::Idle(_) = target.order_state {
            target.order_state = OrderState::Unknown(now + lag);
        }
    }
}

/// The minimum share of its time that a request may wait for placement, however long its prompt is.
const MIN_PLACEMENT_SHARE: f64 = 0.4;
/// The version of weights for which none has been announced.
pub(super) const FIRST_VERSION: u64 = 1;

/// Creates the notification to all instances about one adapter on one target.
pub(super) fn notification(
    target: &TargetName,
    weights: &Weights,
    version: Option<u64>,
) -> ResidencyAction {
    ResidencyAction::Notify(AdapterHolding {
        target: target.clone(),
        started: None,
        weights: weights.clone(),
        version,
    })
}
