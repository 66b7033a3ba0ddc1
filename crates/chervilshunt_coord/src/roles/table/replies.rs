//! Handles the platform's answers for a role table.

use std::collections::BTreeSet;

use chervilshunt_model::Moment;

use super::{ActiveRun, RoleAction, RoleTable, ShardCall, ShardState};
use crate::hashing::jittered;
use crate::lease::{LeaseRecord, LeaseState};
use crate::platform::{
    CallId, Object, ObjectName, ObjectVersion, PlatformOp, PlatformResult, StoredObject,
};
use crate::roles::assignment::{AssignmentRecord, AssignmentShard};

impl RoleTable {
    pub(super) fn on_reply(
        &mut self,
        call: CallId,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<RoleAction>,
    ) {
        if self.listing == Some(call) {
            self.listing = None;
            self.on_listed(result, now, actions);
            return;
        }
        if self.members_listing == Some(call) {
            self.members_listing = None;
            self.on_members(result, now);
            return;
        }
        let shard = self.shards.iter().find_map(|(name, shard)| {
            let expected = match &shard.in_flight {
                ShardCall::Idle | ShardCall::OutcomeUnknown => return None,
                ShardCall::Reading(id) | ShardCall::Writing(id, _) => *id,
            };
            (expected == call).then_some(*name)
        });
        if let Some(shard) = shard {
            self.on_shard_reply(shard, result, now, actions);
        }
    }

    pub(super) fn on_assignment_reported(
        &mut self,
        name: AssignmentShard,
        generation: u64,
        actions: &mut Vec<RoleAction>,
    ) {
        let shard = self
            .shards
            .entry(name)
            .or_insert_with(|| ShardState::absent(name));
        if self.listed && shard.record.generation < generation && shard.in_flight == ShardCall::Idle
        {
            self.read(name, actions);
        }
    }

    fn read(&mut self, name: AssignmentShard, actions: &mut Vec<RoleAction>) {
        let call = self
            .calls
            .call(PlatformOp::Read(ObjectName::Assignment(name)));
        if let Some(shard) = self.shards.get_mut(&name) {
            shard.in_flight = ShardCall::Reading(call.id);
        }
        actions.push(RoleAction::Call(call));
    }

    pub(super) fn read_unknown(&mut self, now: Moment, actions: &mut Vec<RoleAction>) {
        let due = self.shards.iter().filter(|(_, shard)| {
            shard.in_flight == ShardCall::OutcomeUnknown && now >= shard.retry_at
        });
        let due: Vec<_> = due.map(|(name, _)| *name).collect();
        for name in due {
            self.read(name, actions);
        }
    }

    fn on_listed(&mut self, result: PlatformResult, now: Moment, actions: &mut Vec<RoleAction>) {
        let PlatformResult::Listed(objects) = result else {
            let seed = self.me.incarnation.get();
            self.list_at = now + jittered(self.cfg.retry_every, seed, now.as_micros());
            return;
        };
        self.listed = true;
        let entries = u32::try_from(self.wanted.len()).unwrap_or(u32::MAX);
        let every = self.cfg.list_every + self.cfg.list_interval_per_role * entries;
        self.list_at = now + jittered(every, self.me.incarnation.get(), now.as_micros());
        for StoredObject { object, version } in objects {
            if let Object::Assignment(record) = object {
                self.adopt(record, version, now, actions);
            }
        }
    }

    fn on_members(&mut self, result: PlatformResult, now: Moment) {
        let PlatformResult::Listed(objects) = result else {
            self.members_retry_at = now + self.cfg.retry_every;
            return;
        };
        let leases = objects
            .into_iter()
            .filter_map(|stored| match stored.object {
                Object::Lease(lease) => Some(*lease),
                Object::Assignment(_)
                | Object::Head(_)
                | Object::Claims(_)
                | Object::Page { .. } => None,
            });
        self.members.clear();
        for lease in leases {
            self.note_lease(lease);
        }
        self.members_at = Some(now);
    }

    fn note_lease(&mut self, lease: LeaseRecord) {
        self.zone_regions
            .insert(lease.zone.clone(), lease.region.clone());
        if lease.state == LeaseState::Active {
            let member = ActiveRun {
                zone: lease.zone,
                region: lease.region,
            };
            self.members.insert(lease.holder, member);
        }
    }

    fn on_shard_reply(
        &mut self,
        name: AssignmentShard,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<RoleAction>,
    ) {
        let retry_every = self.cfg.retry_every;
        let Some(shard) = self.shards.get_mut(&name) else {
            return;
        };
        let in_flight = std::mem::replace(&mut shard.in_flight, ShardCall::Idle);
        match (in_flight, result) {
            (ShardCall::Writing(_, record), PlatformResult::Written(version)) => {
                self.notify_affected(&record, actions);
                self.adopt(*record, version, now, actions);
            }
            (ShardCall::Reading(_), PlatformResult::Found(stored)) => {
                if let Object::Assignment(record) = stored.object {
                    self.adopt(record, stored.version, now, actions);
                }
            }
            (ShardCall::Reading(_), PlatformResult::NotFound) => {}
            (ShardCall::Writing(..), PlatformResult::Unavailable) => {
                shard.retry_at = now + retry_every;
            }
            // The write may have been carried out, or another one came first. Reading the object
            // shows which.
            (ShardCall::Writing(..), _) => self.read(name, actions),
            (ShardCall::Reading(_), _) => {
                shard.in_flight = ShardCall::OutcomeUnknown;
                shard.retry_at = now + retry_every;
            }
            (ShardCall::Idle | ShardCall::OutcomeUnknown, _) => {}
        }
    }

    /// Notifies the instances whose roles a write has changed.
    fn notify_affected(&self, after: &AssignmentRecord, actions: &mut Vec<RoleAction>) {
        let before = self.shards.get(&after.shard).map(|shard| &shard.record);
        let changed = after.roles.iter().filter(|(role, entry)| {
            before.and_then(|record| record.roles.get(*role)) != Some(*entry)
        });
        let affected: BTreeSet<_> = changed
            .flat_map(|(_, entry)| std::iter::once(&entry.holder).chain(&entry.next))
            .filter(|holder| **holder != self.me)
            .map(|holder| &holder.instance)
            .collect();
        let notifications = affected.into_iter().map(|instance| {
            RoleAction::NotifyAssignment(instance.clone(), after.shard, after.generation)
        });
        actions.extend(notifications);
    }

    /// Adopts an assignment if it is newer than the known one.
    pub(super) fn adopt(
        &mut self,
        record: AssignmentRecord,
        version: ObjectVersion,
        now: Moment,
        actions: &mut Vec<RoleAction>,
    ) {
        let shard = self.shards.entry(record.shard);
        let shard = shard.or_insert_with(|| ShardState::absent(record.shard));
        if record.generation <= shard.record.generation && shard.version.is_some() {
            return;
        }
        let before = std::mem::replace(&mut shard.record, record.clone());
        shard.version = Some(version);
        self.recheck = true;
        self.compare(&before, &record, now, actions);
    }
}
