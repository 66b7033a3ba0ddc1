//! Follows the assignment of roles to holders, and updates it when a role is added, moves or loses
//! its holder.

mod edit;
mod held;
mod replies;
mod types;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chervilshunt_model::{Epoch, InstanceId, Moment, RegionName, Revision, ZoneName};

use self::edit::Edit;
use self::held::{HandoverStage, HeldRole};
pub use self::types::{RoleAction, RoleConfig, RoleEvent};
use super::assignment::{AssignmentRecord, AssignmentShard, RoleEntry};
use super::role::{Role, WantedRole};
use crate::bugs::{Bug, Bugs};
use crate::hashing::rendezvous_weight;
use crate::holder::Holder;
use crate::platform::{CallId, CallPurpose, Calls, Object, ObjectKind, ObjectVersion, PlatformOp};

/// The largest rank used for the delay when instances take turns to write; all instances ranked
/// later wait equally long.
const MAX_RANK: usize = 15;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ShardCall {
    Idle,
    /// The outcome of a write is unknown, so the record must be read.
    OutcomeUnknown,
    Reading(CallId),
    Writing(CallId, Box<AssignmentRecord>),
}

#[derive(Clone, Debug, Hash)]
struct ShardState {
    record: AssignmentRecord,
    version: Option<ObjectVersion>,
    in_flight: ShardCall,
    retry_at: Moment,
    /// Since when required roles of this shard have had no entry.
    missing_since: Option<Moment>,
}

impl ShardState {
    /// Creates the shard of an object that does not exist.
    const fn absent(name: AssignmentShard) -> Self {
        Self {
            record: AssignmentRecord::empty(name),
            version: None,
            in_flight: ShardCall::Idle,
            retry_at: Moment::ZERO,
            missing_since: None,
        }
    }
}

/// A run that can hold roles, according to the last list of the leases.
#[derive(Clone, Debug, Hash)]
struct ActiveRun {
    zone: ZoneName,
    region: RegionName,
}

/// The roles of the whole fleet as this run sees them, and the roles that it holds.
#[derive(Clone, Debug, Hash)]
pub struct RoleTable {
    cfg: RoleConfig,
    me: Holder,
    zone: ZoneName,
    calls: Calls,
    /// Whether the assignments have been listed once. Before that, a role without an entry is not
    /// known to lack a holder.
    listed: bool,
    listing: Option<CallId>,
    list_at: Moment,
    shards: BTreeMap<AssignmentShard, ShardState>,
    wanted_revision: Option<Revision>,
    wanted: BTreeMap<Role, WantedRole>,
    instances: BTreeMap<InstanceId, ZoneName>,
    members: BTreeMap<Holder, ActiveRun>,
    zone_regions: BTreeMap<ZoneName, RegionName>,
    members_listing: Option<CallId>,
    members_at: Option<Moment>,
    members_retry_at: Moment,
    /// Holders whose lease has ended, with the time from which this run may reassign their roles.
    ended: BTreeMap<Holder, Moment>,
    held: BTreeMap<Role, HeldRole>,
    may_hold: bool,
    leaving: bool,
    ask_at: Moment,
    request_count: u64,
    /// Whether the shards that lack required roles must be recomputed.
    recheck: bool,
    bugs: Bugs,
}

impl RoleTable {
    /// Creates the role table of a run in `zone`. The first tick lists the assignments.
    pub fn new(cfg: RoleConfig, me: Holder, zone: ZoneName, now: Moment) -> Self {
        Self::with_machine(cfg, me, zone, 0, now)
    }

    /// Works like [`Self::new`], and tags the call ids with the number of the state machine.
    pub(crate) fn with_machine(
        cfg: RoleConfig,
        me: Holder,
        zone: ZoneName,
        machine: u32,
        now: Moment,
    ) -> Self {
        Self {
            cfg,
            me,
            zone,
            calls: Calls::new(machine, CallPurpose::Roles),
            listed: false,
            listing: None,
            list_at: now,
            shards: BTreeMap::new(),
            wanted_revision: None,
            wanted: BTreeMap::new(),
            instances: BTreeMap::new(),
            members: BTreeMap::new(),
            zone_regions: BTreeMap::new(),
            members_listing: None,
            members_at: None,
            members_retry_at: now,
            ended: BTreeMap::new(),
            held: BTreeMap::new(),
            may_hold: false,
            leaving: false,
            ask_at: now,
            request_count: 0,
            recheck: true,
            bugs: Bugs::default(),
        }
    }

    /// Seeds a bug.
    #[cfg(test)]
    pub(crate) fn seed(&mut self, bugs: Bugs) {
        self.bugs = bugs;
    }

    /// Returns all roles with their entries.
    pub fn entries(&self) -> impl Iterator<Item = (&Role, &RoleEntry)> {
        self.shards.values().flat_map(|shard| &shard.record.roles)
    }

    /// Returns the entry of a role, if it has one.
    pub fn entry(&self, role: &Role) -> Option<&RoleEntry> {
        self.shards
            .get(&AssignmentShard::of(role))?
            .record
            .roles
            .get(role)
    }

    /// Returns whether `holder` holds a role or is about to receive one.
    pub fn has_roles(&self, holder: &Holder) -> bool {
        self.entries()
            .any(|(_, entry)| entry.holder == *holder || entry.next.as_ref() == Some(holder))
    }

    /// Returns the epoch for orders under `role`, if this run holds the role and may give orders
    /// under it.
    ///
    /// The caller must also check the lease: this considers only who holds the role.
    pub fn may_order(&self, role: &Role, now: Moment) -> Option<Epoch> {
        let released = |held: &HeldRole| {
            held.stage == HandoverStage::Released && !self.bugs.has(Bug::OrdersAfterRelease)
        };
        self.held
            .get(role)
            .filter(|held| !released(held) && now >= held.orders_from)
            .map(|held| held.epoch)
    }

    /// Returns the epoch under which this run holds `role`, unless it has released the role.
    ///
    /// The caller must also check the lease.
    pub fn held_epoch(&self, role: &Role) -> Option<Epoch> {
        let held = self.held.get(role)?;
        (held.stage != HandoverStage::Released).then_some(held.epoch)
    }

    /// Returns whether the receivers of orders under `role` refuse old epochs.
    pub fn is_fenced(&self, role: &Role) -> bool {
        self.wanted.get(role).is_some_and(|wanted| wanted.fenced)
    }

    /// Returns whether this run holds no roles.
    pub fn holds_nothing(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns when the next [`RoleEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let list = self.listing.is_none().then_some(self.list_at);
        if !self.listed {
            return list;
        }
        let missing = self.shards.values().filter_map(|shard| {
            let due = shard.missing_since? + self.rank_delay(&shard.record.shard.to_string());
            (shard.in_flight == ShardCall::Idle).then(|| due.max(shard.retry_at))
        });
        let retries = self
            .shards
            .values()
            .filter(|shard| matches!(shard.in_flight, ShardCall::Idle | ShardCall::OutcomeUnknown))
            .filter(|shard| shard.retry_at > Moment::ZERO)
            .map(|shard| shard.retry_at);
        let ended = self.ended.values().copied().filter(|at| *at > Moment::ZERO);
        let asking = (self.may_hold && !self.leaving).then_some(self.ask_at);
        let times = missing.chain(retries).chain(ended).chain(asking);
        times.chain(list).min()
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, event: RoleEvent, now: Moment) -> Vec<RoleAction> {
        let mut actions = Vec::new();
        match event {
            RoleEvent::Seen(record, version) => self.adopt(record, version, now, &mut actions),
            RoleEvent::AssignmentReported(shard, generation) => {
                self.on_assignment_reported(shard, generation, &mut actions)
            }
            RoleEvent::Reply(call, result) => self.on_reply(call, result, now, &mut actions),
            RoleEvent::Wanted(revision, roles) => self.on_wanted(revision, roles, &mut actions),
            RoleEvent::Instances(instances) => self.instances = instances,
            RoleEvent::MayHold(may_hold) => {
                self.may_hold = may_hold;
                self.recheck = true;
            }
            RoleEvent::Leave => self.leaving = true,
            RoleEvent::Released(role) => self.on_released(&role),
            RoleEvent::Ended(holder, by_me) => self.on_ended(holder, by_me, now),
            RoleEvent::Rejoin(me) => self.rejoin(me, &mut actions),
            RoleEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn rejoin(&mut self, me: Holder, actions: &mut Vec<RoleAction>) {
        self.me = me;
        self.may_hold = false;
        self.recheck = true;
        let lost = std::mem::take(&mut self.held);
        actions.extend(lost.into_keys().map(RoleAction::Lost));
    }

    fn on_wanted(
        &mut self,
        revision: Revision,
        roles: Vec<WantedRole>,
        actions: &mut Vec<RoleAction>,
    ) {
        if self.wanted_revision.is_some_and(|known| known > revision) {
            return;
        }
        self.wanted_revision = Some(revision);
        self.recheck = true;
        self.wanted = roles
            .into_iter()
            .map(|wanted| (wanted.role.clone(), wanted))
            .collect();
        self.end_unwanted(actions);
    }

    fn on_ended(&mut self, holder: Holder, by_me: bool, now: Moment) {
        if !self.has_roles(&holder) {
            return;
        }
        let turn = if by_me {
            Duration::ZERO
        } else {
            self.cfg.rank_delay + self.rank_delay(&holder.to_string())
        };
        self.ended.entry(holder).or_insert(now + turn);
    }

    /// Returns how long this instance waits for those ranked before it to make a change.
    ///
    /// Without the delay, all of 370 instances would write the same change at once and 369 of the
    /// writes would fail.
    fn rank_delay(&self, key: &str) -> Duration {
        let mine = rendezvous_weight(key, self.me.instance.as_str());
        let before = self
            .instances
            .keys()
            .filter(|instance| **instance != self.me.instance)
            .filter(|instance| rendezvous_weight(key, instance.as_str()) > mine)
            .count();
        self.cfg.rank_delay * u32::try_from(before.min(MAX_RANK)).unwrap_or(0)
    }

    /// Starts the calls that are due.
    fn advance(&mut self, now: Moment, actions: &mut Vec<RoleAction>) {
        if self.listing.is_none() && now >= self.list_at {
            let call = self.calls.call(PlatformOp::List(ObjectKind::Assignment));
            self.listing = Some(call.id);
            actions.push(RoleAction::Call(call));
        }
        if !self.listed {
            return;
        }
        for shard in self.shards.values_mut() {
            if shard.retry_at <= now {
                shard.retry_at = Moment::ZERO;
            }
        }
        self.read_unknown(now, actions);
        let edits = self.edits(now);
        let mut needs_members = false;
        for edit in edits {
            match edit {
                Edit::NeedsMembers => needs_members = true,
                Edit::Write(record) => self.write(record, actions),
            }
        }
        let fresh = self.has_fresh_members(now);
        if self.leaving && fresh && self.candidates().is_empty() {
            self.end_without_taker(actions);
        }
        if needs_members && self.members_listing.is_none() && now >= self.members_retry_at {
            let call = self.calls.call(PlatformOp::List(ObjectKind::Lease));
            self.members_listing = Some(call.id);
            actions.push(RoleAction::Call(call));
        }
    }

    fn write(&mut self, mut record: AssignmentRecord, actions: &mut Vec<RoleAction>) {
        record.generation += 1;
        let name = record.shard;
        let shard = self
            .shards
            .entry(name)
            .or_insert_with(|| ShardState::absent(name));
        let object = Object::Assignment(record.clone());
        let op = match &shard.version {
            Some(version) => PlatformOp::Update(object, version.clone()),
            None => PlatformOp::Create(object),
        };
        let call = self.calls.call(op);
        shard.in_flight = ShardCall::Writing(call.id, Box::new(record));
        actions.push(RoleAction::Call(call));
    }

    fn pass(&self, entry: &RoleEntry, to: Holder, handed_over: bool) -> RoleEntry {
        let mut passed = entry.pass_to(to, handed_over);
        if self.bugs.has(Bug::EpochNotRaised) {
            passed.epoch = entry.epoch;
        }
        passed
    }

    fn has_fresh_members(&self, now: Moment) -> bool {
        self.members_at
            .is_some_and(|at| now.since(at) <= self.cfg.member_list_max_age)
    }

    fn live_members(&self) -> BTreeSet<&Holder> {
        self.members
            .keys()
            .filter(|holder| !self.ended.contains_key(holder))
            .collect()
    }
}
