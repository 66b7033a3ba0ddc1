//! Determines the changes that this run must make to the assignments.

use std::collections::{BTreeMap, BTreeSet};

use chervilshunt_model::Moment;

use super::held::HandoverStage;
use super::{RoleTable, ShardCall, ShardState};
use crate::hashing::jittered;
use crate::holder::Holder;
use crate::roles::assignment::{AssignmentRecord, AssignmentShard, RoleEntry};
use crate::roles::choose::{Candidate, choose_holder};
use crate::roles::rebalance::{FleetView, roles_to_request};
use crate::roles::role::Role;

/// A change that is due.
#[derive(Debug)]
pub(super) enum Edit {
    /// A holder must be selected, but the list of the leases is too old.
    NeedsMembers,
    /// The shard must be written with this content.
    Write(AssignmentRecord),
}

/// Selects holders for several edits, counting the roles that it has already assigned.
struct HolderChooser<'a> {
    table: &'a RoleTable,
    candidates: Vec<Candidate>,
}

impl HolderChooser<'_> {
    fn choose(&mut self, role: &Role, except: Option<&Holder>) -> Option<Holder> {
        let zone = self
            .table
            .wanted
            .get(role)
            .and_then(|wanted| wanted.zone.as_ref());
        let region = zone.and_then(|zone| self.table.zone_regions.get(zone));
        let choice = if let Some(except) = except {
            let others: Vec<_> = self
                .candidates
                .iter()
                .filter(|candidate| candidate.holder != *except)
                .cloned()
                .collect();
            choose_holder(role, zone, region, &others)?.holder.clone()
        } else {
            choose_holder(role, zone, region, &self.candidates)?
                .holder
                .clone()
        };
        if let Some(chosen) = self
            .candidates
            .iter_mut()
            .find(|candidate| candidate.holder == choice)
        {
            chosen.load += 1;
        }
        Some(choice)
    }
}

impl RoleTable {
    /// Returns the changes that are due.
    pub(super) fn edits(&mut self, now: Moment) -> Vec<Edit> {
        self.record_missing(now);
        self.forget_ended();
        let requested = self.roles_to_request_now(now);
        if requested.is_empty() && !self.may_have_work() {
            return Vec::new();
        }
        let shards = self.shards_with_work(now, &requested);
        if shards.is_empty() {
            return Vec::new();
        }
        let fresh = self.has_fresh_members(now);
        let mut chooser = HolderChooser {
            table: self,
            candidates: self.candidates(),
        };
        let mut edits = Vec::new();
        for name in shards {
            let edit = self.edit(name, fresh, &requested, now, &mut chooser);
            edits.extend(edit);
        }
        edits
    }

    /// Records since when each shard lacks required roles.
    fn record_missing(&mut self, now: Moment) {
        if !std::mem::take(&mut self.recheck) {
            return;
        }
        let is_missing = |role: &&Role| self.may_hold && self.entry(role).is_none();
        let missing = self.wanted.keys().filter(is_missing);
        let missing: BTreeSet<_> = missing.map(AssignmentShard::of).collect();
        for (name, shard) in &mut self.shards {
            if !missing.contains(name) {
                shard.missing_since = None;
            }
        }
        for name in missing {
            let shard = self
                .shards
                .entry(name)
                .or_insert_with(|| ShardState::absent(name));
            shard.missing_since.get_or_insert(now);
        }
    }

    fn forget_ended(&mut self) {
        if self.ended.is_empty() {
            return;
        }
        let with_roles: BTreeSet<_> = self
            .entries()
            .flat_map(|(_, entry)| std::iter::once(&entry.holder).chain(&entry.next))
            .cloned()
            .collect();
        self.ended.retain(|holder, _| with_roles.contains(holder));
    }

    fn roles_to_request_now(&mut self, now: Moment) -> BTreeSet<Role> {
        if !self.may_hold || self.leaving || now < self.ask_at {
            return BTreeSet::new();
        }
        self.request_count += 1;
        let seed = self.me.incarnation.get();
        self.ask_at = now + jittered(self.cfg.ask_every, seed, self.request_count);
        let pending = self
            .entries()
            .filter(|(_, entry)| entry.next.as_ref() == Some(&self.me))
            .count();
        let zones = self.holder_zones();
        let fleet = FleetView {
            me: &self.me,
            zone: &self.zone,
            in_zone: self
                .instances
                .values()
                .filter(|zone| **zone == self.zone)
                .count(),
            in_all: self.instances.len(),
            zones: &zones,
            wanted: &self.wanted,
        };
        let limit = self.cfg.ask_at_most.saturating_sub(pending);
        let live = self
            .entries()
            .filter(|(_, entry)| !self.ended.contains_key(&entry.holder));
        roles_to_request(&fleet, live, limit).into_iter().collect()
    }

    fn holder_zones(&self) -> BTreeMap<Holder, chervilshunt_model::ZoneName> {
        let mut zones: BTreeMap<_, _> = self
            .entries()
            .filter_map(|(_, entry)| {
                let zone = self.instances.get(&entry.holder.instance)?;
                Some((entry.holder.clone(), zone.clone()))
            })
            .collect();
        zones.insert(self.me.clone(), self.zone.clone());
        zones
    }

    /// Returns whether any role may need a change; a cheap check that avoids iterating over all
    /// roles.
    fn may_have_work(&self) -> bool {
        self.leaving
            || !self.ended.is_empty()
            || self
                .shards
                .values()
                .any(|shard| shard.missing_since.is_some())
            || self
                .held
                .values()
                .any(|held| held.stage == HandoverStage::Released)
    }

    fn shards_with_work(&self, now: Moment, requested: &BTreeSet<Role>) -> Vec<AssignmentShard> {
        let due = |name: &AssignmentShard, shard: &ShardState| {
            let missing = shard
                .missing_since
                .is_some_and(|since| now >= since + self.rank_delay(&name.to_string()));
            missing
                || shard
                    .record
                    .roles
                    .iter()
                    .any(|(role, entry)| self.needs_edit(role, entry, now, requested))
        };
        self.shards
            .iter()
            .filter(|(_, shard)| shard.in_flight == ShardCall::Idle && now >= shard.retry_at)
            .filter(|(name, shard)| due(name, shard))
            .map(|(name, _)| *name)
            .collect()
    }

    fn needs_edit(
        &self,
        role: &Role,
        entry: &RoleEntry,
        now: Moment,
        requested: &BTreeSet<Role>,
    ) -> bool {
        let ended = |holder: &Holder| self.ended.get(holder).is_some_and(|at| now >= *at);
        ended(&entry.holder)
            || entry.next.as_ref().is_some_and(ended)
            || requested.contains(role)
            || self.is_mine_to_pass(role, entry)
            || self.is_mine_to_offer(entry)
    }

    fn is_mine_to_pass(&self, role: &Role, entry: &RoleEntry) -> bool {
        let held = self.held.get(role);
        entry.holder == self.me && held.is_some_and(|held| held.stage == HandoverStage::Released)
    }

    fn is_mine_to_offer(&self, entry: &RoleEntry) -> bool {
        self.leaving && entry.holder == self.me && entry.next.is_none()
    }

    pub(super) fn candidates(&self) -> Vec<Candidate> {
        let mut loads: BTreeMap<&Holder, usize> = BTreeMap::new();
        for (_, entry) in self.entries() {
            *loads
                .entry(entry.next.as_ref().unwrap_or(&entry.holder))
                .or_default() += 1;
        }
        let live = self.live_members();
        live.into_iter()
            .filter(|holder| !(self.leaving && **holder == self.me))
            .filter_map(|holder| {
                let member = self.members.get(holder)?;
                Some(Candidate {
                    holder: holder.clone(),
                    zone: member.zone.clone(),
                    region: member.region.clone(),
                    load: loads.get(holder).copied().unwrap_or(0),
                })
            })
            .collect()
    }

    /// Returns the change of one shard, if any.
    fn edit(
        &self,
        name: AssignmentShard,
        fresh: bool,
        requested: &BTreeSet<Role>,
        now: Moment,
        chooser: &mut HolderChooser<'_>,
    ) -> Option<Edit> {
        let shard = self.shards.get(&name)?;
        let mut record = shard.record.clone();
        for (role, entry) in &shard.record.roles {
            if !self.needs_edit(role, entry, now, requested) {
                continue;
            }
            match self.edit_entry(role, entry, fresh, requested, now, chooser) {
                EntryEdit::Keep => {}
                EntryEdit::NeedsMembers => return Some(Edit::NeedsMembers),
                EntryEdit::Set(entry) => {
                    record.roles.insert(role.clone(), entry);
                }
                EntryEdit::Remove => {
                    record.roles.remove(role);
                }
            }
        }
        let turn_has_come = shard
            .missing_since
            .is_some_and(|since| now >= since + self.rank_delay(&name.to_string()));
        let revision = self.wanted_revision.unwrap_or_default();
        if turn_has_come && revision >= record.revision {
            if !fresh {
                return Some(Edit::NeedsMembers);
            }
            self.add_missing(&mut record, chooser);
        }
        if record.roles == shard.record.roles {
            return None;
        }
        record.revision = record.revision.max(revision);
        Some(Edit::Write(record))
    }

    fn add_missing(&self, record: &mut AssignmentRecord, chooser: &mut HolderChooser<'_>) {
        let revision = self.wanted_revision.unwrap_or_default();
        let roles = self.wanted.keys();
        for role in roles.filter(|role| AssignmentShard::of(role) == record.shard) {
            if record.roles.contains_key(role) {
                continue;
            }
            if let Some(holder) = chooser.choose(role, None) {
                record
                    .roles
                    .insert(role.clone(), RoleEntry::first(holder, revision));
            }
        }
    }

    fn edit_entry(
        &self,
        role: &Role,
        entry: &RoleEntry,
        fresh: bool,
        requested: &BTreeSet<Role>,
        now: Moment,
        chooser: &mut HolderChooser<'_>,
    ) -> EntryEdit {
        let ended = |holder: &Holder| self.ended.get(holder).is_some_and(|at| now >= *at);
        let known_revision = self.wanted_revision.is_some();
        let wanted = self.wanted.contains_key(role) || !known_revision;
        let next = entry.next.as_ref().filter(|next| !ended(next));
        if ended(&entry.holder) || self.is_mine_to_pass(role, entry) {
            let handed_over = entry.holder == self.me;
            if !wanted {
                return EntryEdit::Remove;
            }
            if let Some(next) = next {
                return EntryEdit::Set(self.pass(entry, next.clone(), handed_over));
            }
            if !fresh {
                return EntryEdit::NeedsMembers;
            }
            let except = (self.leaving && handed_over).then_some(&self.me);
            return match chooser.choose(role, except) {
                Some(choice) => EntryEdit::Set(self.pass(entry, choice, handed_over)),
                None if self.leaving && handed_over => EntryEdit::Remove,
                None => EntryEdit::Keep,
            };
        }
        if self.is_mine_to_offer(entry) && wanted {
            if !fresh {
                return EntryEdit::NeedsMembers;
            }
            return match chooser.choose(role, Some(&self.me)) {
                Some(choice) => EntryEdit::Set(RoleEntry {
                    next: Some(choice),
                    ..entry.clone()
                }),
                None => EntryEdit::Keep,
            };
        }
        if next.is_none() && entry.next.is_some() {
            return EntryEdit::Set(RoleEntry {
                next: None,
                ..entry.clone()
            });
        }
        if requested.contains(role) && entry.next.is_none() {
            return EntryEdit::Set(RoleEntry {
                next: Some(self.me.clone()),
                ..entry.clone()
            });
        }
        EntryEdit::Keep
    }
}

enum EntryEdit {
    Keep,
    NeedsMembers,
    Set(RoleEntry),
    Remove,
}
