//! Passes events to the state machines and carries out their actions.

use chervilshunt_model::{InstanceId, Moment};

use super::types::{CoordAction, CoordDecision, CoordMessage, DecisionKind};
use super::{Coordinator, LEASE};
use crate::config::{ConfigMessage, FollowerAction, FollowerEvent, ProposerAction, ProposerEvent};
use crate::lease::{
    LeaseAction, LeaseEvent, LeaseKeeper, LeaseState, ObserverAction, ObserverEvent,
};
use crate::outage::LeaseExtension;
use crate::roles::{Role, RoleAction, RoleEvent};

impl<S: Clone, C: Clone> Coordinator<S, C> {
    pub(super) fn drive_lease(
        &mut self,
        event: LeaseEvent,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        for action in self.lease.handle(event, now) {
            match action {
                LeaseAction::Call(call) => actions.push(CoordAction::Platform(call)),
                LeaseAction::Created => {
                    let me = self.cfg.me.instance.clone();
                    log(
                        actions,
                        DecisionKind::LeaseCreated,
                        None,
                        Some(me),
                        "it joins",
                    );
                    self.drive_follower(FollowerEvent::Start, now, actions);
                }
                LeaseAction::Renewed(state) => self.on_renewed(state, now, actions),
                LeaseAction::Lost => self.rejoin(now, actions),
            }
        }
    }

    fn on_renewed(&mut self, state: LeaseState, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
        if self.lease_state.replace(state) == Some(state) {
            return;
        }
        if state == LeaseState::Left {
            actions.push(CoordAction::Left);
        }
        let may_hold = state == LeaseState::Active;
        self.drive_roles(RoleEvent::MayHold(may_hold), now, actions);
    }

    /// Joins again under a new incarnation after the lease of the current one was lost.
    fn rejoin(&mut self, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
        let me = self.cfg.me.instance.clone();
        let reason = "the lease was found lapsed";
        log(actions, DecisionKind::LeaseLost, None, Some(me), reason);
        self.cfg.me.incarnation = self.cfg.me.incarnation.next();
        self.lease_state = None;
        let record = self.cfg.lease_record();
        self.lease = LeaseKeeper::with_machine(self.cfg.lease, record, LEASE, now);
        self.extension =
            LeaseExtension::new(self.cfg.lease_extension, self.cfg.me.incarnation.get());
        let event = RoleEvent::Rejoin(self.cfg.me.clone());
        self.drive_roles(event, now, actions);
        self.follower.begin_anew(self.cfg.me.clone());
        self.proposer.begin_anew(self.cfg.me.clone());
        if self.shutting_down {
            // The roles went with the lease, so there is nothing to hand over before the exit.
            actions.push(CoordAction::Left);
            return;
        }
        self.drive_lease(LeaseEvent::Tick, now, actions);
    }

    pub(super) fn drive_observer(
        &mut self,
        event: ObserverEvent,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        for action in self.observer.handle(event, now) {
            match action {
                ObserverAction::Call(call) => actions.push(CoordAction::Platform(call)),
                ObserverAction::Renewed(lease) => {
                    self.view_outdated |= self.suspects.remove(&lease.holder.instance);
                    self.watches_outdated |= self.extra_watches.remove(&lease.holder);
                    self.vouching.end(&lease.holder);
                }
                ObserverAction::Expired(holder) => {
                    let instance = Some(holder.instance.clone());
                    let reason = "the lease stayed unchanged for its full time";
                    log(actions, DecisionKind::LeaseExpired, None, instance, reason);
                    self.view_outdated |= self.suspects.insert(holder.instance.clone());
                    self.on_expired(holder, now, actions);
                }
                ObserverAction::Ended(holder, by_me) => {
                    let instance = Some(holder.instance.clone());
                    let reason = if by_me {
                        "this instance marked the lease lapsed"
                    } else {
                        "the lease was found ended"
                    };
                    log(actions, DecisionKind::LeaseEnded, None, instance, reason);
                    self.vouching.end(&holder);
                    self.ended.insert(holder.clone());
                    self.extra_watches.remove(&holder);
                    self.watches_outdated = true;
                    self.drive_roles(RoleEvent::Ended(holder, by_me), now, actions);
                }
            }
        }
    }

    pub(super) fn drive_roles(
        &mut self,
        event: RoleEvent,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        for action in self.roles.handle(event, now) {
            match action {
                RoleAction::Call(call) => actions.push(CoordAction::Platform(call)),
                RoleAction::NotifyAssignment(to, shard, generation) => {
                    let message = CoordMessage::Assigned { shard, generation };
                    actions.push(CoordAction::Send { to, message });
                }
                RoleAction::Gained {
                    role,
                    epoch,
                    previous,
                    handed_over,
                } => {
                    let previous = previous.map(|holder| holder.instance);
                    let ask = self.begin_takeover(&role, previous.is_some());
                    let reason = if handed_over {
                        "it was handed over"
                    } else {
                        "its holder is gone or it is new"
                    };
                    log_role(
                        actions,
                        DecisionKind::RoleGained,
                        &role,
                        previous.clone(),
                        reason,
                    );
                    let complete = ask.is_empty().then(|| role.clone());
                    actions.push(CoordAction::RoleGained {
                        role,
                        epoch,
                        previous,
                        handed_over,
                        ask,
                    });
                    actions.extend(complete.map(|role| CoordAction::TakeoverComplete { role }));
                }
                RoleAction::Ending { role, to } => {
                    let reason = "another instance is to hold it, or nobody";
                    log_role(actions, DecisionKind::RoleEnding, &role, to.clone(), reason);
                    actions.push(CoordAction::RoleEnding { role, to });
                }
                RoleAction::Lost(role) => {
                    let reason = "the assignment names another holder, or the lease was lost";
                    log_role(actions, DecisionKind::RoleLost, &role, None, reason);
                    self.takeovers.end(&role);
                    actions.push(CoordAction::RoleLost { role });
                }
                RoleAction::HolderChanged { role, holder } => {
                    self.watches_outdated = true;
                    actions.push(CoordAction::HolderChanged { role, holder });
                }
            }
        }
    }

    fn begin_takeover(&mut self, role: &Role, had_holder: bool) -> Vec<InstanceId> {
        if !had_holder {
            return Vec::new();
        }
        let me = &self.cfg.me.instance;
        let others = self.view.peers.keys().filter(|instance| *instance != me);
        let others: Vec<_> = others.cloned().collect();
        self.takeovers.begin(role.clone(), &others);
        others
    }

    pub(super) fn drive_follower(
        &mut self,
        event: FollowerEvent<C>,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        for action in self.follower.handle(event, now) {
            match action {
                FollowerAction::Call(call) => actions.push(CoordAction::Platform(call)),
                FollowerAction::Send(to, message) => self.send_config(to, message, now, actions),
                FollowerAction::AskPeers(message) => self.query_others(&message, actions),
                FollowerAction::AcknowledgeByLease(generation) => {
                    self.drive_lease(LeaseEvent::Acknowledge(generation), now, actions);
                }
                FollowerAction::ConfigInForce(in_force) => {
                    actions.push(CoordAction::ConfigInForce {
                        revision: in_force.revision,
                        state: in_force.state,
                    });
                }
            }
        }
    }

    pub(super) fn drive_proposer(
        &mut self,
        event: ProposerEvent<C>,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        let wanted = self.proposer.handle(event, self.follower.in_force(), now);
        for action in wanted {
            match action {
                ProposerAction::Call(call) => actions.push(CoordAction::Platform(call)),
                ProposerAction::Send(to, message) => self.send_config(to, message, now, actions),
                ProposerAction::HeadSeen(head, version) => {
                    self.drive_follower(FollowerEvent::HeadSeen(head, version), now, actions);
                }
                ProposerAction::WatchLease(holder) => {
                    let instance = Some(holder.instance.clone());
                    let reason = "it did not acknowledge a change in time";
                    log(
                        actions,
                        DecisionKind::InstanceSilent,
                        None,
                        instance,
                        reason,
                    );
                    self.watches_outdated |= self.extra_watches.insert(holder);
                }
                ProposerAction::Accepted(ticket, revision) => {
                    let reason = "all live instances acknowledged it";
                    log(actions, DecisionKind::ChangeAccepted, None, None, reason);
                    actions.push(CoordAction::ChangeAccepted { ticket, revision });
                }
                ProposerAction::Refused(ticket, refusal) => {
                    let reason = "see the refusal";
                    log(actions, DecisionKind::ChangeRefused, None, None, reason);
                    let retry_after = refusal.retry_after(&self.cfg.proposer);
                    actions.push(CoordAction::ChangeRefused {
                        ticket,
                        refusal,
                        retry_after,
                    });
                }
            }
        }
    }

    pub(super) fn on_config_message(
        &mut self,
        from: &InstanceId,
        message: ConfigMessage<C>,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        match message {
            ConfigMessage::Acknowledge { ref proposer, .. } => {
                if *proposer == self.cfg.me.instance {
                    let event = ProposerEvent::Message(from.clone(), message);
                    self.drive_proposer(event, now, actions);
                } else {
                    let to = proposer.clone();
                    self.send_config(to, message, now, actions);
                }
            }
            ConfigMessage::Prepare(_)
            | ConfigMessage::Decided { .. }
            | ConfigMessage::AskDecision { .. }
            | ConfigMessage::Forward { .. } => {
                let event = FollowerEvent::Message(from.clone(), message);
                self.drive_follower(event, now, actions);
            }
        }
    }

    /// Sends a message, or handles it directly if it is addressed to this instance.
    fn send_config(
        &mut self,
        to: InstanceId,
        message: ConfigMessage<C>,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        if to == self.cfg.me.instance {
            self.on_config_message(&to, message, now, actions);
            return;
        }
        let message = CoordMessage::Config(message);
        actions.push(CoordAction::Send { to, message });
    }

    /// Sends a question to the next few instances in the order of their ids.
    fn query_others(&self, message: &ConfigMessage<C>, actions: &mut Vec<CoordAction<S, C>>) {
        let me = &self.cfg.me.instance;
        let after_me = self.view.peers.range(me.clone()..);
        let others = after_me.chain(self.view.peers.iter());
        let others = others
            .map(|(instance, _)| instance)
            .filter(|other| *other != me);
        for to in others.take(DECISION_QUERIES) {
            actions.push(CoordAction::Send {
                to: to.clone(),
                message: CoordMessage::Config(message.clone()),
            });
        }
    }
}

/// The number of instances that are asked for a decision in addition to the proposer.
const DECISION_QUERIES: usize = 3;

pub(super) fn log<S, C>(
    actions: &mut Vec<CoordAction<S, C>>,
    kind: DecisionKind,
    role: Option<Role>,
    instance: Option<InstanceId>,
    reason: &'static str,
) {
    actions.push(CoordAction::Log(CoordDecision {
        kind,
        role,
        instance,
        reason,
    }));
}

fn log_role<S, C>(
    actions: &mut Vec<CoordAction<S, C>>,
    kind: DecisionKind,
    role: &Role,
    instance: Option<InstanceId>,
    reason: &'static str,
) {
    log(actions, kind, Some(role.clone()), instance, reason);
}
