//! Targets that this instance owns.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_core::{BreakerConfig, EngineOrder, Owner, OwnerConfig, PermitAnswer};
use chervilshunt_engine::EngineClient;
use chervilshunt_model::{AttemptId, Deployment, Epoch, Lifecycle, Moment, Target, TargetName};

use super::context::Context;
use super::messages::PermitReply;

/// A target that this instance owns, with the owner state machine and the state around it.
#[derive(Debug)]
pub(super) struct OwnedTarget {
    /// The owner state machine.
    pub(super) owner: Owner,
    /// The configuration of the target at the time when this instance became its owner.
    pub(super) target: Target,
    /// The epoch under which the target is owned, which is the fencing token of its orders.
    pub(super) epoch: Epoch,
    /// Reply channels of permit requests that have not been answered yet.
    pub(super) waiting: HashMap<AttemptId, PermitReply>,
    /// The client for calls to the target.
    pub(super) client: EngineClient,
    /// Whether the target is considered reachable.
    pub(super) reachable: bool,
    /// Whether the load scheduler is reachable, as last reported to the owner state machine.
    pub(super) scheduler_up: bool,
    /// Whether the permits that previous owners granted are known.
    pub(super) takeover_complete: bool,
    /// The sequence number and the watts of the share that the owner confirmed last.
    pub(super) confirmed: Option<(u64, f64)>,
    /// Orders that the lease does not permit to be sent yet.
    pub(super) withheld: Vec<EngineOrder>,
}

impl OwnedTarget {
    /// Creates the state of a target that this instance has just become the owner of.
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

    /// Returns the power draw of the target with a full batch, in watts.
    pub(super) fn full_watts(&self) -> f64 {
        self.target.idle_watts + self.target.watts_per_sequence * f64::from(self.target.max_batch)
    }

    /// Sends the answer to a permit request, if one is waiting for it.
    pub(super) fn answer(&mut self, attempt: AttemptId, answer: PermitAnswer) {
        if let Some(reply) = self.waiting.remove(&attempt) {
            reply.send(answer);
        }
    }
}

/// Returns the configuration of a target's owner.
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
        // An owner starts with no power and waits for the allocator, which answers within one
        // message round trip. Any higher share could exceed the site's cap together with shares
        // that were raised earlier.
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

/// Returns the interval between loads that an owner starts without the load scheduler.
///
/// With it, the owners of all targets of the store together stay within the store's load rate.
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

/// Returns whether operators have set the target to drain.
pub(super) fn is_draining(target: &Target) -> bool {
    match target.lifecycle {
        Lifecycle::Active => false,
        Lifecycle::Draining => true,
    }
}
