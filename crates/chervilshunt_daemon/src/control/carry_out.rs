//! Carries out the actions of the owners, load schedulers and power allocators.

use std::time::Instant;

use chervilshunt_coord::Role;
use chervilshunt_core::{
    Decision, EngineOrder, OrderFailure, OrderKind, OwnerAction, OwnerEvent, PermitAnswer,
    PowerAction, RefusalReason, ReleaseOutcome, ReleasedPermit, SchedulerAction, TurnResult,
};
use chervilshunt_engine::EngineClient;
use chervilshunt_model::{AttemptId, Class, InstanceId, SiteName, TargetName};

use super::actor::Control;
use super::address::role_and_step;
use super::measure;
use super::messages::{EngineUpdate, FromEngine};
use super::steps::{Step, Steps};
use crate::facts::millis;
use crate::wire::{PeerMessage, PowerDemand, Share, TurnAsked, TurnEnded, TurnGranted, TurnHeld};

/// Retry delay, in milliseconds, that a refusal gives to an entry instance that asked an instance
/// which does not own the target or may not decide for it.
const NOT_OWNER_RETRY_MS: u64 = 200;
/// The answer of an instance that doesn't own a target, or may not decide for it now.
pub(super) const NOT_OWNER: PermitAnswer = PermitAnswer::Refused {
    reason: RefusalReason::NotOwner,
    retry_after_ms: NOT_OWNER_RETRY_MS,
};

/// Returns the event that withdraws a request from the owner, or the permit that it has granted.
fn withdrawal(target: &TargetName, attempt: AttemptId) -> Step {
    let released = ReleasedPermit {
        attempt,
        target: target.clone(),
        outcome: ReleaseOutcome::Cancelled,
    };
    Step::Owner(target.clone(), OwnerEvent::PermitReleased(released))
}

impl Control {
    pub(super) fn carry_out_owner(
        &mut self,
        target: &TargetName,
        action: OwnerAction,
        steps: &mut Steps,
    ) {
        let may_grant = self.may_grant(target);
        let Some(owned) = self.targets.get_mut(target) else {
            return;
        };
        let store = owned.target.store.clone();
        let site = owned.target.site.clone();
        match action {
            OwnerAction::Answer {
                attempt,
                answer: PermitAnswer::Granted { .. },
                ..
            } if !may_grant => {
                slog::warn!(self.cx.log, "permit withheld";
                    "target" => %target, "attempt" => %attempt, "reason" => "the lease has run out");
                owned.answer(attempt, NOT_OWNER);
                steps.push_back(withdrawal(target, attempt));
            }
            OwnerAction::Answer {
                attempt, answer, ..
            } => owned.answer(attempt, answer),
            OwnerAction::RequestTurn {
                order,
                model,
                urgency,
            } => {
                let asked = TurnAsked {
                    store,
                    target: target.clone(),
                    order,
                    model,
                    urgency,
                };
                self.send_to_role(PeerMessage::TurnAsked(asked), steps);
            }
            OwnerAction::EndTurn { order, loaded } => {
                let result = match loaded {
                    Some(true) => TurnResult::Loaded,
                    Some(false) => TurnResult::Failed,
                    None => TurnResult::Withdrawn,
                };
                let ended = TurnEnded {
                    store,
                    target: target.clone(),
                    order,
                    result,
                };
                self.send_to_role(PeerMessage::TurnEnded(ended), steps);
            }
            OwnerAction::RenewTurn { order, model } => {
                let held = TurnHeld {
                    store,
                    target: target.clone(),
                    order,
                    model,
                };
                self.send_to_role(PeerMessage::TurnHeld(held), steps);
            }
            OwnerAction::Order(order) => self.send_order(target, order, steps),
            OwnerAction::RequestInventory => self.request_inventory(target),
            OwnerAction::ConfirmShare { sequence, watts } => {
                owned.confirmed = Some((sequence, watts));
                self.confirm_share(target, steps);
            }
            OwnerAction::ReportDemand {
                live_watts,
                deferrable_watts,
            } => {
                let demanded = PowerDemand {
                    site,
                    target: target.clone(),
                    live_watts,
                    deferrable_watts,
                };
                self.send_to_role(PeerMessage::Demanded(demanded), steps);
            }
            OwnerAction::Log(decision) => self.log_decision(&decision),
        }
    }

    /// Returns whether permits for a target may be granted at this moment.
    pub(super) fn may_grant(&self, target: &TargetName) -> bool {
        let role = Role::Target(target.clone());
        let epoch = self.coordinator.may_grant(&role, self.cx.now());
        let owned = self.targets.get(target);
        owned.is_some_and(|owned| epoch == Some(owned.epoch))
    }

    /// Refuses the requests that wait for permits which may not be granted any more, so that they are
    /// sent to the next owner in time.
    pub(super) fn refuse_without_lease(&mut self) {
        let targets: Vec<TargetName> = self.targets.keys().cloned().collect();
        let mut steps = Steps::new();
        for target in targets {
            if self.may_grant(&target) {
                continue;
            }
            let Some(owned) = self.targets.get_mut(&target) else {
                continue;
            };
            if !owned.waiting.is_empty() {
                slog::warn!(self.cx.log, "waiting requests refused";
                    "target" => %target, "count" => owned.waiting.len(),
                    "reason" => "the lease has run out");
            }
            for (attempt, reply) in owned.waiting.drain() {
                reply.send(NOT_OWNER);
                steps.push_back(withdrawal(&target, attempt));
            }
        }
        self.run_steps(steps);
    }

    pub(super) fn carry_out_scheduler(&mut self, action: SchedulerAction, steps: &mut Steps) {
        match action {
            SchedulerAction::Grant {
                target,
                order,
                queue_wait,
            } => {
                let granted = TurnGranted {
                    target,
                    order,
                    queue_wait_ms: millis(queue_wait),
                };
                self.send_to_role(PeerMessage::TurnGranted(granted), steps);
            }
        }
    }

    pub(super) fn carry_out_power(
        &mut self,
        site: &SiteName,
        action: PowerAction,
        steps: &mut Steps,
    ) {
        match action {
            PowerAction::SetShare {
                target,
                sequence,
                watts,
            } => {
                let share = Share {
                    site: site.clone(),
                    target,
                    sequence,
                    watts,
                };
                self.send_to_role(PeerMessage::ShareSet(share), steps);
            }
        }
    }

    /// Sends a message to the holder of the role that it is addressed to, on this instance or a
    /// peer.
    pub(super) fn send_to_role(&self, message: PeerMessage, steps: &mut Steps) {
        let Some((role, step)) = role_and_step(message.clone()) else {
            return;
        };
        match self.holder(&role) {
            Some(holder) if holder == *self.cx.me() => steps.push_back(step),
            // The end of a turn is reported only once. If the message were lost, the turn would
            // block the store until the turn times out.
            Some(holder) if matches!(message, PeerMessage::TurnEnded(_)) => {
                self.cx.send_until_acknowledged(holder, message);
            }
            Some(holder) => self.cx.send(&holder, message),
            None => slog::debug!(self.cx.log, "message dropped"; "reason" => "role without holder"),
        }
    }

    fn holder(&self, role: &Role) -> Option<InstanceId> {
        self.holders.get(role).map(|(instance, _)| instance.clone())
    }

    /// Confirms the power share of a target to its allocator.
    ///
    /// Until the takeover is complete, the full power of the target is confirmed. Requests with
    /// permits from a previous owner may still run without this owner knowing of them, so the
    /// target may draw more than its share, and the allocator must not give those watts to another
    /// target.
    fn confirm_share(&self, target: &TargetName, steps: &mut Steps) {
        let Some(owned) = self.targets.get(target) else {
            return;
        };
        let Some((sequence, watts)) = owned.confirmed else {
            return;
        };
        let watts = if owned.takeover_complete {
            watts
        } else {
            owned.full_watts()
        };
        let site = owned.target.site.clone();
        let share = Share {
            site,
            target: target.clone(),
            sequence,
            watts,
        };
        self.send_to_role(PeerMessage::ShareConfirmed(share), steps);
    }

    /// Confirms the actual share once the permits of previous owners are known.
    pub(super) fn confirm_share_again(&mut self, target: &TargetName) {
        if let Some(owned) = self.targets.get_mut(target) {
            owned.takeover_complete = true;
        }
        let mut steps = Steps::new();
        self.confirm_share(target, &mut steps);
        self.run_steps(steps);
    }

    /// Sends an order to the engine if the lease permits it at this moment.
    ///
    /// A process that resumes after a pause may hold orders of a role that another instance has
    /// taken over meanwhile, so the lease is checked again immediately before an order is sent.
    fn send_order(&mut self, target: &TargetName, order: EngineOrder, steps: &mut Steps) {
        let Some(owned) = self.targets.get_mut(target) else {
            return;
        };
        let role = Role::Target(target.clone());
        if self.coordinator.may_order(&role, self.cx.now()) != Some(order.epoch) {
            slog::warn!(self.cx.log, "order withheld";
                "target" => %target, "model" => %order.model,
                "reason" => "the lease has run out, or an order of the owner before may be on its way");
            if self.coordinator.holds(&role, order.epoch) {
                owned.withheld.push(order);
                return;
            }
            let result = Err(OrderFailure::Fenced);
            let event = OwnerEvent::OrderEnded {
                order: order.id,
                result,
            };
            steps.push_back(Step::Owner(target.clone(), event));
            return;
        }
        let version = self.deployment.version(&order.model);
        let source = version.map(|version| std::sync::Arc::clone(&version.source));
        let ((OrderKind::Unload, _) | (OrderKind::Load, Some(_))) = (order.kind, &source) else {
            // The version was deleted while the load waited for its turn.
            let result = Err(OrderFailure::Refused);
            let event = OwnerEvent::OrderEnded {
                order: order.id,
                result,
            };
            steps.push_back(Step::Owner(target.clone(), event));
            return;
        };
        let client = owned.client.clone();
        *self.orders_in_flight.entry(target.clone()).or_default() += 1;
        self.spawn_call(target, async move {
            let begun = Instant::now();
            let result = match (order.kind, source) {
                (OrderKind::Load, Some(source)) => {
                    client.load(&order.model, &source, order.epoch).await
                }
                (OrderKind::Load, None) | (OrderKind::Unload, _) => {
                    client.unload(&order.model, order.epoch).await
                }
            };
            let result = result.map_err(|error| order_failure(&error));
            measure::record_order(order.kind, result, begun.elapsed());
            EngineUpdate::OrderEnded(order.id, result)
        });
    }

    /// Sends the withheld orders that the lease permits now, and fails those whose role is lost.
    ///
    /// A withheld order has not failed. If it were reported as fenced, the owner would assume that
    /// it has been superseded and would refuse every request for as long as it holds the target.
    pub(super) fn send_withheld_orders(&mut self) {
        let now = self.cx.now();
        let due = self.targets.iter().filter(|(target, owned)| {
            let role = Role::Target((*target).clone());
            let may_order = self.coordinator.may_order(&role, now) == Some(owned.epoch);
            let holds = self.coordinator.holds(&role, owned.epoch);
            !owned.withheld.is_empty() && (may_order || !holds)
        });
        let due: Vec<_> = due.map(|(target, _)| target.clone()).collect();
        let mut steps = Steps::new();
        for target in due {
            let owned = self.targets.get_mut(&target);
            let orders = owned.map(|owned| std::mem::take(&mut owned.withheld));
            for order in orders.unwrap_or_default() {
                self.send_order(&target, order, &mut steps);
            }
        }
        self.run_steps(steps);
    }

    pub(super) fn request_inventory(&self, target: &TargetName) {
        let Some(owned) = self.targets.get(target) else {
            return;
        };
        let client: EngineClient = owned.client.clone();
        // A plain service holds no adapters and may not implement the inventory call.
        let is_engine = owned.target.slots > 0;
        self.spawn_call(target, async move {
            if !is_engine {
                return EngineUpdate::Inventory(Vec::new());
            }
            match client.inventory().await {
                Ok(loaded) => EngineUpdate::Inventory(loaded),
                Err(_) => EngineUpdate::Unreachable,
            }
        });
    }

    /// Runs a call to an engine in a task and sends its result to this actor.
    fn spawn_call(
        &self,
        target: &TargetName,
        call: impl Future<Output = EngineUpdate> + Send + 'static,
    ) {
        let Some(address) = self.address.clone() else {
            return;
        };
        let target = target.clone();
        tokio::spawn(async move {
            let update = call.await;
            drop(address.send(FromEngine { target, update }).detach().await);
        });
    }

    fn log_decision(&self, decision: &Decision) {
        measure::record_decision(decision);
        slog::info!(self.cx.log, "decision";
            "kind" => decision.kind.as_str(),
            "target" => %decision.target,
            "model" => decision.model.as_ref().map(ToString::to_string),
            "class" => decision.class.map(Class::as_str),
            "attempt" => decision.attempt.map(|attempt| attempt.to_string()),
            "reason" => decision.reason,
            "alternatives" => join_names(&decision.alternatives),
            "sent_on" => join_names(&decision.sent_on),
            "waited_ms" => millis(decision.waited.total),
            "stalled_ms" => millis(decision.waited.for_load),
        );
    }
}

pub(super) fn join_names(names: &[impl ToString]) -> String {
    let names: Vec<String> = names.iter().map(ToString::to_string).collect();
    names.join(",")
}

/// Maps the error of an engine call to the failure of its order.
fn order_failure(error: &chervilshunt_engine::EngineError) -> OrderFailure {
    use chervilshunt_engine::EngineError;
    match error {
        EngineError::Fenced { .. } => OrderFailure::Fenced,
        EngineError::NotSent { .. } | EngineError::Refused { .. } => OrderFailure::Refused,
        _ => OrderFailure::Unknown,
    }
}
