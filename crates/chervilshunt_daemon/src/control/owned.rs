//! A target that this instance owns.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_core::{BreakerConfig, EngineOrder, Owner, OwnerConfig, PermitAnswer};
use chervilshunt_engine::EngineClient;
use chervilshunt_model::{AttemptId, Deployment, Epoch, Lifecycle, Moment, Target, TargetName};

use super::context::Context;
use super::messages::PermitReply;

/// A target that this instance owns, with the state machine that decides for it.
#[derive(Debug)]
pub(super) struct OwnedTarget {
    /// The state machine.
    pub(super) owner: Owner,
    /// The target as configured when it was taken over or last changed.
    pub(super) target: Target,
    /// The fencing number under which it is held.
    pub(super) epoch: Epoch,
    /// Requests that wait for an answer.
    pub(super) waiting: HashMap<AttemptId, PermitReply>,
    /// The client that gives orders to the target.
    pub(super) client: EngineClient,
    /// Whether the target answered last time.
    pub(super) reachable: bool,
    /// Whether its owner was told that the load scheduler can be reached.
    pub(super) scheduler_up: bool,
    /// Whether the permits of earlier owners are known.
    pub(super) takeover_complete: bool,
    /// The share confirmed last, with its number.
    pub(super) confirmed: Option<(u64, f64)>,
    /// Orders that may not go out yet.
    pub(super) withheld: Vec<EngineOrder>,
}

impl OwnedTarget {
    /// Starts to own a target.
    pub(super) fn new(
        cx: &Context,
        deployment: &Deployment,
        name: &TargetName,
        target: &Target,
        epoch: Epoch,
        now: Moment,
    ) -> Self {
        let cfg = owner_config(cx, deployment, name, target, epoch);
        Self {
            owner: Owner::new(cfg, now),
            target: target.clone(),
            epoch,
            waiting: HashMap::new(),
            client: cx.engines.client(target.address),
            reachable: true,
            scheduler_up: true,
            takeover_complete: false,
            confirmed: None,
            withheld: Vec::new(),
        }
    }

    /// Returns the power that a full batch draws, in watts.
    pub(super) fn full_watts(&self) -> f64 {
        self.target.idle_watts + self.target.watts_per_sequence * f64::from(self.target.max_batch)
    }

    /// Sends the answer to a request that waits for it.
    pub(super) fn answer(&mut self, attempt: AttemptId, answer: PermitAnswer) {
        if let Some(reply) = self.waiting.remove(&attempt) {
            reply.send(answer);
        }
    }
}

/// Returns what the owner of a target has to know.
pub(super) fn owner_config(
    cx: &Context,
    deployment: &Deployment,
    name: &TargetName,
    target: &Target,
    epoch: Epoch,
) -> OwnerConfig {
    let peers = deployment
        .active_targets(&target.service)
        .map(|(peer, _)| peer)
        .filter(|peer| *peer != name)
        .cloned()
        .collect();
    OwnerConfig {
        target: name.clone(),
        epoch,
        fencing: target.fencing,
        slots: target.slots,
        max_batch: target.max_batch,
        idle_watts: target.idle_watts,
        watts_per_sequence: target.watts_per_sequence,
        // An owner starts without power and waits for the allocator, which answers in a message's
        // time: any other start could pass the cap together with shares that were raised before.
        share_watts: 0.0,
        unscheduled_load_interval: unscheduled_load_interval(deployment, target),
        live_queue_bound: cx.settings.limits.queue.live,
        deferrable_queue_bound: cx.settings.limits.queue.deferrable,
        permit_window: cx.settings.limits.permit_window,
        peers,
        breaker: BreakerConfig::for_target(),
        weights: cx.settings.policy,
        mechanisms: chervilshunt_core::Mechanisms::default(),
    }
}

/// Returns the time between two loads begun without a scheduler, so that all owners of targets of
/// the store together stay within its rate.
fn unscheduled_load_interval(deployment: &Deployment, target: &Target) -> Duration {
    let Some(store) = deployment.stores.get(&target.store) else {
        return Duration::MAX;
    };
    let sharing = deployment
        .targets
        .values()
        .filter(|other| other.store == target.store);
    let seconds = sharing.count() as f64 / store.loads_per_second;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Returns whether operators let the target take new work.
pub(super) fn is_draining(target: &Target) -> bool {
    match target.lifecycle {
        Lifecycle::Active => false,
        Lifecycle::Draining => true,
    }
}
