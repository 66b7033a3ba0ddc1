//! Passes events to the coordinator and carries out its actions.

use std::time::Duration;

use chervilshunt_coord::{
    ChangeRefusal, ChangeTicket, ClaimEvent, ClaimKeeper, CoordAction, CoordDecision, CoordEvent,
    CoordMessage, ProposerConfig, Role, WantedRole,
};
use chervilshunt_core::{OwnerEvent, PowerEvent, SchedulerEvent};
use chervilshunt_model::{ChangeSet, Deployment, Fencing, InstanceId, Revision, TargetName};
use tokio::sync::oneshot;
use xtra::prelude::*;

use super::actor::Control;
use super::claims::CLAIM_SHARDS;
use super::messages::PlatformAnswered;
use super::platform_calls::carry_out;
use super::steps::Step;
use super::watches::{InstanceListUpdate, ObjectSeen};
use crate::wire::PeerMessage;

/// Proposes a change of the configuration for an operator.
///
/// The answer is a channel that receives the outcome.
#[derive(Debug)]
pub(crate) struct Propose(pub(crate) ChangeSet);

/// The outcome of a proposed change.
#[derive(Debug)]
pub(crate) enum ProposalOutcome {
    /// It was accepted at this revision.
    ///
    /// It is sent once the revision is in force on every live instance, or after a timeout.
    Accepted(Revision),
    /// It was not accepted, or its outcome is unknown.
    Refused(ProposalRefusal),
}

/// Describes why a proposed change was not accepted.
#[derive(Debug)]
pub(crate) struct ProposalRefusal {
    /// What the refusal means for the change.
    pub(crate) kind: ProposalRefusalKind,
    /// One sentence for the operator on the cause and, where there is one, the remedy.
    pub(crate) detail: String,
    /// How long to wait before trying again, if that can help.
    pub(crate) retry_after: Option<Duration>,
}

/// What a refusal means for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProposalRefusalKind {
    /// The change is invalid and retrying it cannot help. Nothing has changed.
    Conflict,
    /// This attempt was not started. If an earlier attempt with the same id has an unknown outcome,
    /// that outcome is still unknown.
    NotBegun,
    /// The change was started and abandoned. It will never take effect under this id.
    GivenUp,
    /// The change may have taken effect or may still do so.
    Unknown,
}

/// Number of changes proposed at this instance that are remembered with their sizes.
///
/// The configuration head remembers the outcomes of as many changes.
const REMEMBERED_PROPOSALS: usize = 32;

pub(super) type CoordActionOf = CoordAction<Deployment, ChangeSet>;

impl Control {
    /// Passes an event to the coordinator and carries out the resulting actions.
    pub(super) fn coordinate(&mut self, event: CoordEvent<ChangeSet>) {
        let now = self.cx.now();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.coordinator.handle(event, now) {
                events.extend(self.carry_out_coord(action));
            }
        }
        let until = self.coordinator.takes_work_until(now);
        self.cx.routing.set_takes_work_until(until);
    }

    fn carry_out_coord(&mut self, action: CoordActionOf) -> Option<CoordEvent<ChangeSet>> {
        match action {
            CoordAction::Platform(call) => self.call_platform(call),
            CoordAction::Send { to, message } => {
                self.cx.send(&to, PeerMessage::Coord(message));
            }
            CoordAction::RoleGained {
                role,
                epoch,
                previous,
                handed_over,
                ask,
            } => {
                self.gain_role(role, epoch, previous, handed_over, &ask);
            }
            CoordAction::RoleEnding { role, .. } => {
                self.end_role(&role);
                return self.role_released(role);
            }
            CoordAction::RoleLost { role } => self.end_role(&role),
            CoordAction::TakeoverComplete { role } => self.complete_takeover(&role),
            CoordAction::HolderChanged { role, holder } => self.change_holder(&role, holder),
            CoordAction::PeersChanged(view) => self.change_peers(&view),
            CoordAction::ConfigInForce { revision, state } => {
                return Some(self.put_in_force(revision, state));
            }
            CoordAction::ChangeAccepted { ticket, revision } => {
                self.end_accepted(ticket, revision);
            }
            CoordAction::ChangeRefused {
                ticket, refusal, ..
            } => {
                self.end_proposal(ticket, refused(&refusal));
            }
            CoordAction::TakeWork(takes_work) => {
                slog::info!(self.cx.log, "new work"; "taken" => takes_work);
                if !takes_work {
                    self.refuse_without_lease();
                }
            }
            CoordAction::RolesReleased => self.notify_roles_released(),
            CoordAction::Left => self.notify_lease_ended(),
            CoordAction::Log(decision) => self.log_coord(&decision),
        }
        None
    }

    /// Returns the event that confirms the handover of a role, unless orders of it are in flight.
    ///
    /// In that case the handover is confirmed when the last of them has ended. The next owner
    /// starts by reading the engine's inventory, and an order that arrived after it would load or
    /// unload an adapter without that owner knowing.
    fn role_released(&mut self, role: Role) -> Option<CoordEvent<ChangeSet>> {
        if let Role::Target(target) = &role
            && self.orders_in_flight.contains_key(target)
        {
            self.awaiting_orders.insert(target.clone());
            return None;
        }
        Some(CoordEvent::RoleReleased(role))
    }

    /// Records the end of an order and completes a handover that waited for it.
    pub(super) fn order_ended(&mut self, target: &TargetName) {
        if let Some(count) = self.orders_in_flight.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.orders_in_flight.remove(target);
            }
        }
        if !self.orders_in_flight.contains_key(target) && self.awaiting_orders.remove(target) {
            self.coordinate(CoordEvent::RoleReleased(Role::Target(target.clone())));
        }
    }

    pub(super) fn call_platform(&self, call: chervilshunt_coord::PlatformCall) {
        let Some(address) = self.address.clone() else {
            return;
        };
        let platform = self.cx.platform.clone();
        tokio::spawn(async move {
            let id = call.id;
            let result = carry_out(&platform, call).await;
            drop(
                address
                    .send(PlatformAnswered { call: id, result })
                    .detach()
                    .await,
            );
        });
    }

    /// Puts a configuration in force and returns the event with the roles that it requires.
    fn put_in_force(
        &mut self,
        revision: Revision,
        state: std::sync::Arc<Deployment>,
    ) -> CoordEvent<ChangeSet> {
        slog::info!(self.cx.log, "configuration in force"; "revision" => revision.get());
        let roles = wanted_roles(&state);
        self.deployment = state;
        self.publish();
        self.reconfigure_roles();
        CoordEvent::RolesWanted { revision, roles }
    }

    /// Answers an accepted change once it is in force on all instances, without blocking the actor.
    fn end_accepted(&mut self, ticket: ChangeTicket, revision: Revision) {
        let Some(tx) = self.proposals.remove(&ticket) else {
            return;
        };
        let cx = self.cx.clone();
        tokio::spawn(async move {
            cx.confirm_in_force(revision).await;
            drop(tx.send(ProposalOutcome::Accepted(revision)));
        });
    }

    fn end_proposal(&mut self, ticket: ChangeTicket, outcome: ProposalOutcome) {
        if let Some(tx) = self.proposals.remove(&ticket) {
            drop(tx.send(outcome));
        }
    }

    fn remember_proposal(&mut self, set: &ChangeSet) {
        self.recent_changes.retain(|(id, _)| *id != set.id);
        if self.recent_changes.len() == REMEMBERED_PROPOSALS {
            self.recent_changes.pop_front();
        }
        self.recent_changes.push_back((set.id, set.changes.len()));
    }

    fn log_coord(&self, decision: &CoordDecision) {
        slog::info!(self.cx.log, "coordination";
            "kind" => ?decision.kind,
            "role" => decision.role.as_ref().map(Role::to_string),
            "about" => decision.instance.as_ref().map(InstanceId::to_string),
            "reason" => decision.reason,
        );
    }
}

impl Handler<Propose> for Control {
    type Return = oneshot::Receiver<ProposalOutcome>;

    async fn handle(
        &mut self,
        message: Propose,
        _cx: &mut xtra::Context<Self>,
    ) -> oneshot::Receiver<ProposalOutcome> {
        let (tx, rx) = oneshot::channel();
        let ticket = ChangeTicket(self.next_ticket);
        self.next_ticket += 1;
        self.proposals.insert(ticket, tx);
        self.remember_proposal(&message.0);
        self.coordinate(CoordEvent::ProposeChange {
            ticket,
            change: message.0,
        });
        rx
    }
}

impl Handler<PlatformAnswered> for Control {
    type Return = ();

    async fn handle(&mut self, message: PlatformAnswered, _cx: &mut xtra::Context<Self>) {
        let PlatformAnswered { call, result } = message;
        if let Some(shard) = ClaimKeeper::shard_of_call(call) {
            self.run_steps([Step::Claims(shard, ClaimEvent::Reply(call, result))]);
            return;
        }
        self.coordinate(CoordEvent::PlatformReply { call, result });
    }
}

impl Handler<ObjectSeen> for Control {
    type Return = ();

    async fn handle(&mut self, message: ObjectSeen, _cx: &mut xtra::Context<Self>) {
        self.coordinate(CoordEvent::ObjectSeen(message.0));
    }
}

impl Handler<InstanceListUpdate> for Control {
    type Return = ();

    async fn handle(&mut self, message: InstanceListUpdate, _cx: &mut xtra::Context<Self>) {
        self.leaving = std::sync::Arc::new(message.leaving.into_iter().collect());
        self.coordinate(CoordEvent::InstanceListChanged(message.instances));
        self.publish();
        let draining: Vec<Step> = self
            .targets
            .keys()
            .map(|target| {
                let event = OwnerEvent::Draining(self.is_draining(target));
                Step::Owner(target.clone(), event)
            })
            .collect();
        self.run_steps(draining);
    }
}

impl Control {
    pub(super) fn coord_message(&mut self, from: InstanceId, message: CoordMessage<ChangeSet>) {
        self.coordinate(CoordEvent::PeerMessage { from, message });
    }

    /// Updates the roles of this instance to a new configuration.
    fn reconfigure_roles(&mut self) {
        let mut steps = Vec::new();
        for name in self.targets.keys() {
            let draining = OwnerEvent::Draining(self.is_draining(name));
            let peers = OwnerEvent::PeersChanged(self.peers_of(name));
            steps.push(Step::Owner(name.clone(), draining));
            steps.push(Step::Owner(name.clone(), peers));
        }
        for name in self.schedulers.keys() {
            if let Some(cfg) = self.scheduler_config(name) {
                steps.push(Step::Scheduler(
                    name.clone(),
                    SchedulerEvent::Reconfigured(cfg),
                ));
            }
        }
        for name in self.allocators.keys() {
            if let Some(site) = self.deployment.sites.get(name) {
                steps.push(Step::Power(
                    name.clone(),
                    PowerEvent::CapChanged(site.cap_watts),
                ));
            }
        }
        steps.extend(self.power_membership());
        self.run_steps(steps);
    }
}

/// Returns the roles that a configuration requires.
fn wanted_roles(deployment: &Deployment) -> Vec<WantedRole> {
    let targets = deployment.targets.iter().map(|(name, target)| WantedRole {
        role: Role::Target(name.clone()),
        zone: Some(target.zone.clone()),
        fenced: match target.fencing {
            Fencing::Checks => true,
            Fencing::Ignores => false,
        },
    });
    // Schedulers and allocators send no orders to targets. A late message from a previous holder
    // grants a turn or sets a share, which the owner checks by its number.
    let unzoned = |role| WantedRole {
        role,
        zone: None,
        fenced: true,
    };
    let stores = deployment
        .stores
        .keys()
        .cloned()
        .map(Role::LoadScheduler)
        .map(unzoned);
    let sites = deployment
        .sites
        .keys()
        .cloned()
        .map(Role::PowerAllocator)
        .map(unzoned);
    let claims = (0..CLAIM_SHARDS).map(Role::ClaimKeeper).map(unzoned);
    targets.chain(stores).chain(sites).chain(claims).collect()
}

fn refused(refusal: &ChangeRefusal) -> ProposalOutcome {
    let (kind, detail) = match refusal {
        ChangeRefusal::Invalid(detail) => (ProposalRefusalKind::Conflict, detail.clone()),
        ChangeRefusal::NotReady => (
            ProposalRefusalKind::NotBegun,
            "this instance does not have the latest configuration yet; try another instance"
                .to_owned(),
        ),
        ChangeRefusal::Busy => (
            ProposalRefusalKind::NotBegun,
            "other changes are in progress".to_owned(),
        ),
        ChangeRefusal::PlatformUnavailable => (
            ProposalRefusalKind::NotBegun,
            "the platform can't be reached; nothing has changed".to_owned(),
        ),
        ChangeRefusal::Unreachable(instances) => {
            let names: Vec<&str> = instances.iter().map(InstanceId::as_str).collect();
            let names = names.join(", ");
            let detail = format!(
                "nothing has changed: {names} did not acknowledge; see docs/operators/changes.md"
            );
            (ProposalRefusalKind::GivenUp, detail)
        }
        ChangeRefusal::NotAcknowledged(instance, why) => {
            let detail = format!("nothing has changed: {instance} can't carry it out: {why}");
            (ProposalRefusalKind::GivenUp, detail)
        }
        ChangeRefusal::GivenUp => (
            ProposalRefusalKind::GivenUp,
            "another instance abandoned the change; nothing has changed".to_owned(),
        ),
        ChangeRefusal::Unknown => (
            ProposalRefusalKind::Unknown,
            "the change may have taken effect, or may yet; send it again under the same id to \
             learn its outcome"
                .to_owned(),
        ),
    };
    // The coordinator's proposer uses the default configuration too.
    let retry_after = refusal.retry_after(&ProposerConfig::default());
    ProposalOutcome::Refused(ProposalRefusal {
        kind,
        detail,
        retry_after,
    })
}
