//! Carrying out what the state machines want done.

use std::time::Instant;

use chervilshunt_coord::Role;
use chervilshunt_core::{
    Decision, EngineOrder, OrderFailure, OrderKind, OwnerAction, OwnerEvent, PowerAction,
    SchedulerAction, TurnResult,
};
use chervilshunt_engine::EngineClient;
use chervilshunt_model::{Class, InstanceId, SiteName, TargetName};

use super::actor::Control;
use super::address::addressed;
use super::measure;
use super::messages::{EngineNews, FromEngine};
use super::steps::{Step, Steps};
use crate::facts::millis;
use crate::wire::{PeerMessage, PowerDemand, Share, TurnAsked, TurnEnded, TurnGranted, TurnHeld};

impl Control {
    pub(super) fn carry_out_owner(
        &mut self,
        target: &TargetName,
        action: OwnerAction,
        steps: &mut Steps,
    ) {
        let Some(owned) = self.targets.get_mut(target) else {
            return;
        };
        let store = owned.target.store.clone();
        let site = owned.target.site.clone();
        match action {
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
                self.to_role(PeerMessage::TurnAsked(asked), steps);
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
                self.to_role(PeerMessage::TurnEnded(ended), steps);
            }
            OwnerAction::RenewTurn { order, model } => {
                let held = TurnHeld {
                    store,
                    target: target.clone(),
                    order,
                    model,
                };
                self.to_role(PeerMessage::TurnHeld(held), steps);
            }
            OwnerAction::Order(order) => self.give_order(target, order, steps),
            OwnerAction::RequestInventory => self.ask_inventory(target),
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
                self.to_role(PeerMessage::Demanded(demanded), steps);
            }
            OwnerAction::Log(decision) => self.log_decision(&decision),
        }
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
                self.to_role(PeerMessage::TurnGranted(granted), steps);
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
                self.to_role(PeerMessage::ShareSet(share), steps);
            }
        }
    }

    /// Hands a message to the holder of the role that it is for, here or at a peer.
    pub(super) fn to_role(&self, message: PeerMessage, steps: &mut Steps) {
        let Some((role, step)) = addressed(message.clone()) else {
            return;
        };
        match self.holder(&role) {
            Some(holder) if holder == *self.cx.me() => steps.push_back(step),
            // Nobody renews it: a lost end would hold up the store until the turn's timeout.
            Some(holder) if matches!(message, PeerMessage::TurnEnded(_)) => {
                self.cx.send_until_taken(holder, message);
            }
            Some(holder) => self.cx.send(&holder, message),
            None => slog::debug!(self.cx.log, "message dropped"; "reason" => "role without holder"),
        }
    }

    fn holder(&self, role: &Role) -> Option<InstanceId> {
        self.holders.get(role).map(|(instance, _)| instance.clone())
    }

    /// Confirms the share of a target to its allocator.
    ///
    /// As long as permits of an earlier owner may run unknown, the target may draw more than this
    /// owner knows: confirming less would let the allocator give the same watts to another target.
    /// So the full power is confirmed until the takeover is complete.
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
        self.to_role(PeerMessage::ShareConfirmed(share), steps);
    }

    /// Confirms the share anew now that the permits of earlier owners are known.
    pub(super) fn confirm_share_again(&mut self, target: &TargetName) {
        if let Some(owned) = self.targets.get_mut(target) {
            owned.takeover_complete = true;
        }
        let mut steps = Steps::new();
        self.confirm_share(target, &mut steps);
        self.work_off(steps);
    }

    /// Gives the engine an order, if the lease allows it right now.
    ///
    /// A process that was paused wakes up with orders at hand whose role another instance may hold
    /// by now: the lease is looked at once more right before an order goes out.
    fn give_order(&mut self, target: &TargetName, order: EngineOrder, steps: &mut Steps) {
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
            // The version was deleted while it waited for its turn.
            let result = Err(OrderFailure::Refused);
            let event = OwnerEvent::OrderEnded {
                order: order.id,
                result,
            };
            steps.push_back(Step::Owner(target.clone(), event));
            return;
        };
        let client = owned.client.clone();
        *self.orders.entry(target.clone()).or_default() += 1;
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
            measure::order(order.kind, result, begun.elapsed());
            EngineNews::OrderEnded(order.id, result)
        });
    }

    /// Gives the orders that were withheld and may go out by now.
    ///
    /// An order that may not go out yet has not failed. Were it reported as refused for its fencing
    /// number, the owner would take itself for superseded and turn everything away for as long as
    /// it holds the target.
    pub(super) fn give_withheld(&mut self) {
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
                self.give_order(&target, order, &mut steps);
            }
        }
        self.work_off(steps);
    }

    pub(super) fn ask_inventory(&self, target: &TargetName) {
        let Some(owned) = self.targets.get(target) else {
            return;
        };
        let client: EngineClient = owned.client.clone();
        // A plain service holds no adapters and need not know the question.
        let is_engine = owned.target.slots > 0;
        self.spawn_call(target, async move {
            if !is_engine {
                return EngineNews::Inventory(Vec::new());
            }
            match client.inventory().await {
                Ok(loaded) => EngineNews::Inventory(loaded),
                Err(_) => EngineNews::Unreachable,
            }
        });
    }

    fn spawn_call(
        &self,
        target: &TargetName,
        call: impl Future<Output = EngineNews> + Send + 'static,
    ) {
        let Some(address) = self.address.clone() else {
            return;
        };
        let target = target.clone();
        tokio::spawn(async move {
            let news = call.await;
            drop(address.send(FromEngine { target, news }).detach().await);
        });
    }

    fn log_decision(&self, decision: &Decision) {
        measure::decision(decision);
        slog::info!(self.cx.log, "decision";
            "kind" => decision.kind.as_str(),
            "target" => %decision.target,
            "model" => decision.model.as_ref().map(ToString::to_string),
            "class" => decision.class.map(Class::as_str),
            "attempt" => decision.attempt.map(|attempt| attempt.to_string()),
            "reason" => decision.reason,
            "alternatives" => joined(&decision.alternatives),
            "sent_on" => joined(&decision.sent_on),
            "waited_ms" => millis(decision.waited.total),
            "stalled_ms" => millis(decision.waited.for_load),
        );
    }
}

fn joined(names: &[impl ToString]) -> String {
    let names: Vec<String> = names.iter().map(ToString::to_string).collect();
    names.join(",")
}

/// Turns a failed call into what it means for the order.
fn order_failure(error: &chervilshunt_engine::EngineError) -> OrderFailure {
    use chervilshunt_engine::EngineError;
    match error {
        EngineError::Fenced { .. } => OrderFailure::Fenced,
        EngineError::NotSent { .. } | EngineError::Refused { .. } => OrderFailure::Refused,
        _ => OrderFailure::Unknown,
    }
}
