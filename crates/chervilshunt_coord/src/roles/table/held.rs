//! The roles that this run holds.

use chervilshunt_model::{Epoch, InstanceId, Moment};

use super::{RoleAction, RoleTable};
use crate::roles::assignment::{AssignmentRecord, RoleEntry};
use crate::roles::role::Role;

/// The stage of the handover of a held role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum HandoverStage {
    /// The role is not being handed over.
    Held,
    /// The program has been asked to hand over the role.
    Ending,
    /// The program has released the role, but the assignment does not show it yet.
    Released,
}

/// A role that this run holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldRole {
    pub(super) epoch: Epoch,
    pub(super) stage: HandoverStage,
    /// The earliest time for orders under the role.
    pub(super) orders_from: Moment,
}

impl RoleTable {
    /// Reports the differences between two records of a shard.
    pub(super) fn compare(
        &mut self,
        before: &AssignmentRecord,
        after: &AssignmentRecord,
        now: Moment,
        actions: &mut Vec<RoleAction>,
    ) {
        for (role, old) in &before.roles {
            if !after.roles.contains_key(role) {
                self.on_entry(role, Some(old), None, now, actions);
            }
        }
        for (role, entry) in &after.roles {
            self.on_entry(role, before.roles.get(role), Some(entry), now, actions);
        }
    }

    fn on_entry(
        &mut self,
        role: &Role,
        before: Option<&RoleEntry>,
        after: Option<&RoleEntry>,
        now: Moment,
        actions: &mut Vec<RoleAction>,
    ) {
        let holder = |entry: &RoleEntry| (entry.holder.instance.clone(), entry.epoch);
        if before.map(holder) != after.map(holder) {
            actions.push(RoleAction::HolderChanged {
                role: role.clone(),
                holder: after.map(holder),
            });
        }
        let mine = after.filter(|entry| entry.holder == self.me);
        let known = self.held.get(role).map(|held| held.epoch);
        if known.is_some() && known != mine.map(|entry| entry.epoch) {
            self.held.remove(role);
            actions.push(RoleAction::Lost(role.clone()));
        }
        let Some(entry) = mine else {
            return;
        };
        if !self.held.contains_key(role) {
            self.gain(role, entry, now, actions);
        }
        self.end_if_asked(role, entry, actions);
    }

    fn gain(&mut self, role: &Role, entry: &RoleEntry, now: Moment, actions: &mut Vec<RoleAction>) {
        let fenced = self.is_fenced(role);
        let was_mine = entry.previous.as_ref() == Some(&self.me);
        let waits = !fenced && !entry.handed_over && !was_mine && entry.previous.is_some();
        let orders_from = if waits {
            now + self.cfg.max_order_latency
        } else {
            now
        };
        let held = HeldRole {
            epoch: entry.epoch,
            stage: HandoverStage::Held,
            orders_from,
        };
        self.held.insert(role.clone(), held);
        actions.push(RoleAction::Gained {
            role: role.clone(),
            epoch: entry.epoch,
            previous: entry.previous.clone(),
            handed_over: entry.handed_over,
        });
    }

    fn end_if_asked(&mut self, role: &Role, entry: &RoleEntry, actions: &mut Vec<RoleAction>) {
        let unwanted = self.is_unwanted(role);
        if entry.next.is_none() && !unwanted {
            return;
        }
        let to = entry.next.as_ref().filter(|_| !unwanted);
        let to = to.map(|next| next.instance.clone());
        self.begin_end(role, to, actions);
    }

    fn begin_end(&mut self, role: &Role, to: Option<InstanceId>, actions: &mut Vec<RoleAction>) {
        let Some(held) = self.held.get_mut(role) else {
            return;
        };
        if held.stage == HandoverStage::Held {
            held.stage = HandoverStage::Ending;
            let role = role.clone();
            actions.push(RoleAction::Ending { role, to });
        }
    }

    /// Starts the handover of held roles that the configuration no longer requires.
    pub(super) fn end_unwanted(&mut self, actions: &mut Vec<RoleAction>) {
        let unwanted: Vec<_> = self
            .held
            .keys()
            .filter(|role| self.is_unwanted(role))
            .cloned()
            .collect();
        for role in unwanted {
            self.begin_end(&role, None, actions);
        }
    }

    /// Ends the held roles when no other run can take them.
    pub(super) fn end_without_taker(&mut self, actions: &mut Vec<RoleAction>) {
        let roles: Vec<_> = self.held.keys().cloned().collect();
        for role in roles {
            self.begin_end(&role, None, actions);
        }
    }

    pub(super) fn on_released(&mut self, role: &Role) {
        if let Some(held) = self.held.get_mut(role) {
            held.stage = HandoverStage::Released;
        }
    }

    fn is_unwanted(&self, role: &Role) -> bool {
        self.wanted_revision.is_some() && !self.wanted.contains_key(role)
    }
}
