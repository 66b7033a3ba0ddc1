//! Follows who holds which role, and writes it when roles join, move or lose their holder.

mod edit;
mod held;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chervilshunt_model::{Epoch, InstanceId, Moment, RegionName, Revision, ZoneName};

use self::edit::Edit;
use self::held::{Held, Stage};
use super::assignment::{AssignmentRecord, AssignmentShard, RoleEntry};
use super::role::{Role, WantedRole};
use crate::bugs::{Bug, Bugs};
use crate::hashing::{jittered, rendezvous_weight};
use crate::holder::Holder;
use crate::lease::{LeaseRecord, LeaseState};
use crate::platform::{
    CallId, Calls, Object, ObjectKind, ObjectName, ObjectVersion, PlatformCall, PlatformOp,
    PlatformResult, Purpose, Stored,
};

/// The most ranks that are told apart when instances take turns to write.
const MAX_RANK: usize = 15;

/// How roles are assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RoleConfig {
    /// How much later each further instance steps in, when several could write a change.
    pub rank_delay: Duration,
    /// How long after a failed call the next try follows.
    pub retry_every: Duration,
    /// How often a run with too few roles asks for more.
    pub ask_every: Duration,
    /// The most roles that a run asks for at a time.
    pub ask_at_most: usize,
    /// How often all assignments are listed anew, in case a watch has missed something.
    pub list_every: Duration,
    /// How much later that is for each role, to bound the bytes a second.
    pub list_later_by_role: Duration,
    /// How long a list of leases serves to choose holders.
    pub list_counts_for: Duration,
    /// The longest time that an order can be on its way to a target.
    ///
    /// Who takes a role over from a holder that did not hand it over itself waits this long before
    /// its first order, if those who take the orders don't refuse old epochs.
    pub order_flight: Duration,
}

impl Default for RoleConfig {
    fn default() -> Self {
        Self {
            rank_delay: Duration::from_millis(400),
            retry_every: Duration::from_secs(1),
            ask_every: Duration::from_secs(2),
            ask_at_most: 4,
            list_every: Duration::from_secs(30),
            list_later_by_role: Duration::from_millis(350),
            list_counts_for: Duration::from_secs(2),
            order_flight: Duration::from_secs(5),
        }
    }
}

/// What a role table has to react to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleEvent {
    /// A watch showed an assignment; it may be stale.
    Seen(AssignmentRecord, ObjectVersion),
    /// Another instance says that it wrote this generation of an assignment.
    Told(AssignmentShard, u64),
    /// A call to the platform has ended.
    Reply(CallId, PlatformResult),
    /// These roles need holders at this revision of the configuration.
    Wanted(Revision, Vec<WantedRole>),
    /// These instances are believed to be live, this one included.
    Instances(BTreeMap<InstanceId, ZoneName>),
    /// Whether this run's lease says that it holds roles.
    MayHold(bool),
    /// This run gives all its roles away.
    Leave,
    /// The program has handed the role over: it gives no order under it any more, none is on its
    /// way, and whoever is next knows what it has to.
    Released(Role),
    /// The lease of this holder has ended, and whether this instance was the one to mark it.
    Ended(Holder, bool),
    /// The lease was lost: what was held is lost, and this is the run from now on.
    BeginAnew(Holder),
    /// Time has passed.
    Tick,
}

/// What a role table wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleAction {
    /// Call the platform.
    Call(PlatformCall),
    /// Tell an instance that this generation of an assignment concerns it: a watch may be late.
    Tell(InstanceId, AssignmentShard, u64),
    /// This run holds the role from now on.
    Gained {
        /// The role.
        role: Role,
        /// The fencing number for its orders.
        epoch: Epoch,
        /// Who held it before.
        previous: Option<Holder>,
        /// Whether that one handed it over itself.
        handed_over: bool,
    },
    /// This run is to hand the role over, and to say so with [`RoleEvent::Released`].
    Ending {
        /// The role.
        role: Role,
        /// To whom; `None` if nobody needs it any more or nobody is there to take it.
        to: Option<InstanceId>,
    },
    /// This run holds the role no longer.
    Lost(Role),
    /// The role has another holder, or none.
    HolderChanged {
        /// The role.
        role: Role,
        /// Its holder with the epoch.
        holder: Option<(InstanceId, Epoch)>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Doing {
    Nothing,
    /// It has to be read, as what came of a write isn't known.
    Unsettled,
    Reading(CallId),
    Writing(CallId, Box<AssignmentRecord>),
}

#[derive(Clone, Debug, Hash)]
struct Shard {
    record: AssignmentRecord,
    version: Option<ObjectVersion>,
    doing: Doing,
    retry_at: Moment,
    /// Since when roles of this shard have no entry.
    lacking_since: Option<Moment>,
}

impl Shard {
    /// Makes the shard of an object that does not exist.
    const fn absent(name: AssignmentShard) -> Self {
        Self {
            record: AssignmentRecord::empty(name),
            version: None,
            doing: Doing::Nothing,
            retry_at: Moment::ZERO,
            lacking_since: None,
        }
    }
}

/// A run that can take roles, as the last list of leases showed it.
#[derive(Clone, Debug, Hash)]
struct Member {
    zone: ZoneName,
    region: RegionName,
}

/// The roles of the whole fleet as this run sees them, and those that it holds.
#[derive(Clone, Debug, Hash)]
pub struct RoleTable {
    cfg: RoleConfig,
    me: Holder,
    zone: ZoneName,
    calls: Calls,
    /// Assignments are followed from the first list on; before it nothing is known to be absent.
    listed: bool,
    listing: Option<CallId>,
    list_at: Moment,
    shards: BTreeMap<AssignmentShard, Shard>,
    wanted_revision: Option<Revision>,
    wanted: BTreeMap<Role, WantedRole>,
    instances: BTreeMap<InstanceId, ZoneName>,
    members: BTreeMap<Holder, Member>,
    zone_regions: BTreeMap<ZoneName, RegionName>,
    members_listing: Option<CallId>,
    members_at: Option<Moment>,
    members_retry_at: Moment,
    /// Holders whose lease has ended, with when this run may give their roles to others.
    ended: BTreeMap<Holder, Moment>,
    held: BTreeMap<Role, Held>,
    may_hold: bool,
    leaving: bool,
    ask_at: Moment,
    asks: u64,
    /// Whether it has to be found out anew which shards lack wanted roles.
    recheck: bool,
    bugs: Bugs,
}

impl RoleTable {
    /// Starts to follow the roles for a run in `zone`; the first tick lists the assignments.
    pub fn new(cfg: RoleConfig, me: Holder, zone: ZoneName, now: Moment) -> Self {
        Self::with_machine(cfg, me, zone, 0, now)
    }

    /// Does as [`Self::new`] and numbers the calls as those of `machine`.
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
            calls: Calls::new(machine, Purpose::Roles),
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
            asks: 0,
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

    /// Returns the entry of a role.
    pub fn entry(&self, role: &Role) -> Option<&RoleEntry> {
        self.shards
            .get(&AssignmentShard::of(role))?
            .record
            .roles
            .get(role)
    }

    /// Returns whether `holder` holds a role or is about to.
    pub fn has_roles(&self, holder: &Holder) -> bool {
        self.entries()
            .any(|(_, entry)| entry.holder == *holder || entry.next.as_ref() == Some(holder))
    }

    /// Returns the epoch for orders under `role`, if the role is this run's to give orders under.
    ///
    /// The caller has to look at its lease as well: this says only who holds the role.
    pub fn may_order(&self, role: &Role, now: Moment) -> Option<Epoch> {
        let released =
            |held: &Held| held.stage == Stage::Released && !self.bugs.has(Bug::OrdersAfterRelease);
        self.held
            .get(role)
            .filter(|held| !released(held) && now >= held.orders_from)
            .map(|held| held.epoch)
    }

    /// Returns whether whoever takes the orders under `role` refuses old epochs.
    pub fn is_fenced(&self, role: &Role) -> bool {
        self.wanted.get(role).is_some_and(|wanted| wanted.fenced)
    }

    /// Returns whether this run holds no role any more, or was never going to.
    pub fn holds_nothing(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns when [`RoleEvent::Tick`] is next wanted.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let list = self.listing.is_none().then_some(self.list_at);
        if !self.listed {
            return list;
        }
        let lacking = self.shards.values().filter_map(|shard| {
            let due = shard.lacking_since? + self.turn(&shard.record.shard.to_string());
            (shard.doing == Doing::Nothing).then(|| due.max(shard.retry_at))
        });
        let retries = self
            .shards
            .values()
            .filter(|shard| matches!(shard.doing, Doing::Nothing | Doing::Unsettled))
            .filter(|shard| shard.retry_at > Moment::ZERO)
            .map(|shard| shard.retry_at);
        let ended = self.ended.values().copied().filter(|at| *at > Moment::ZERO);
        let asking = (self.may_hold && !self.leaving).then_some(self.ask_at);
        let times = lacking.chain(retries).chain(ended).chain(asking);
        times.chain(list).min()
    }

    /// Takes one event and says what is to be done.
    pub fn handle(&mut self, event: RoleEvent, now: Moment) -> Vec<RoleAction> {
        let mut actions = Vec::new();
        match event {
            RoleEvent::Seen(record, version) => self.adopt(record, version, now, &mut actions),
            RoleEvent::Told(shard, generation) => self.on_told(shard, generation, &mut actions),
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
            RoleEvent::BeginAnew(me) => self.begin_anew(me, &mut actions),
            RoleEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn begin_anew(&mut self, me: Holder, actions: &mut Vec<RoleAction>) {
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
            self.cfg.rank_delay + self.turn(&holder.to_string())
        };
        self.ended.entry(holder).or_insert(now + turn);
    }

    /// Returns how long this instance leaves a change to those that come before it.
    ///
    /// Without turns, 370 instances would write the same change at once and 369 would fail.
    fn turn(&self, key: &str) -> Duration {
        let mine = rendezvous_weight(key, self.me.instance.as_str());
        let before = self
            .instances
            .keys()
            .filter(|instance| **instance != self.me.instance)
            .filter(|instance| rendezvous_weight(key, instance.as_str()) > mine)
            .count();
        self.cfg.rank_delay * u32::try_from(before.min(MAX_RANK)).unwrap_or(0)
    }

    fn on_reply(
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
            let expected = match &shard.doing {
                Doing::Nothing | Doing::Unsettled => return None,
                Doing::Reading(id) | Doing::Writing(id, _) => *id,
            };
            (expected == call).then_some(*name)
        });
        if let Some(shard) = shard {
            self.on_shard_reply(shard, result, now, actions);
        }
    }

    fn on_told(&mut self, name: AssignmentShard, generation: u64, actions: &mut Vec<RoleAction>) {
        let shard = self
            .shards
            .entry(name)
            .or_insert_with(|| Shard::absent(name));
        if self.listed && shard.record.generation < generation && shard.doing == Doing::Nothing {
            self.read(name, actions);
        }
    }

    fn read(&mut self, name: AssignmentShard, actions: &mut Vec<RoleAction>) {
        let call = self
            .calls
            .call(PlatformOp::Read(ObjectName::Assignment(name)));
        if let Some(shard) = self.shards.get_mut(&name) {
            shard.doing = Doing::Reading(call.id);
        }
        actions.push(RoleAction::Call(call));
    }

    fn read_unsettled(&mut self, now: Moment, actions: &mut Vec<RoleAction>) {
        let due = self
            .shards
            .iter()
            .filter(|(_, shard)| shard.doing == Doing::Unsettled && now >= shard.retry_at);
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
        let every = self.cfg.list_every + self.cfg.list_later_by_role * entries;
        self.list_at = now + jittered(every, self.me.incarnation.get(), now.as_micros());
        for Stored { object, version } in objects {
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
            let member = Member {
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
        let doing = std::mem::replace(&mut shard.doing, Doing::Nothing);
        match (doing, result) {
            (Doing::Writing(_, record), PlatformResult::Written(version)) => {
                self.tell_concerned(&record, actions);
                self.adopt(*record, version, now, actions);
            }
            (Doing::Reading(_), PlatformResult::Found(stored)) => {
                if let Object::Assignment(record) = stored.object {
                    self.adopt(record, stored.version, now, actions);
                }
            }
            (Doing::Reading(_), PlatformResult::NotFound) => {}
            (Doing::Writing(..), PlatformResult::Unavailable) => {
                shard.retry_at = now + retry_every;
            }
            // The write may have been carried out, or another came before it: the object shows.
            (Doing::Writing(..), _) => self.read(name, actions),
            (Doing::Reading(_), _) => {
                shard.doing = Doing::Unsettled;
                shard.retry_at = now + retry_every;
            }
            (Doing::Nothing | Doing::Unsettled, _) => {}
        }
    }

    /// Tells those whom a change concerns.
    fn tell_concerned(&self, after: &AssignmentRecord, actions: &mut Vec<RoleAction>) {
        let before = self.shards.get(&after.shard).map(|shard| &shard.record);
        let changed = after.roles.iter().filter(|(role, entry)| {
            before.and_then(|record| record.roles.get(*role)) != Some(*entry)
        });
        let concerned: BTreeSet<_> = changed
            .flat_map(|(_, entry)| std::iter::once(&entry.holder).chain(&entry.next))
            .filter(|holder| **holder != self.me)
            .map(|holder| &holder.instance)
            .collect();
        let tells = concerned
            .into_iter()
            .map(|instance| RoleAction::Tell(instance.clone(), after.shard, after.generation));
        actions.extend(tells);
    }

    /// Takes an assignment over if it is newer than the one that is known.
    fn adopt(
        &mut self,
        record: AssignmentRecord,
        version: ObjectVersion,
        now: Moment,
        actions: &mut Vec<RoleAction>,
    ) {
        let shard = self.shards.entry(record.shard);
        let shard = shard.or_insert_with(|| Shard::absent(record.shard));
        if record.generation <= shard.record.generation && shard.version.is_some() {
            return;
        }
        let before = std::mem::replace(&mut shard.record, record.clone());
        shard.version = Some(version);
        self.recheck = true;
        self.compare(&before, &record, now, actions);
    }

    /// Starts whatever calls are due.
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
        self.read_unsettled(now, actions);
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
            .or_insert_with(|| Shard::absent(name));
        let object = Object::Assignment(record.clone());
        let op = match &shard.version {
            Some(version) => PlatformOp::Update(object, version.clone()),
            None => PlatformOp::Create(object),
        };
        let call = self.calls.call(op);
        shard.doing = Doing::Writing(call.id, Box::new(record));
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
            .is_some_and(|at| now.since(at) <= self.cfg.list_counts_for)
    }

    fn live_members(&self) -> BTreeSet<&Holder> {
        self.members
            .keys()
            .filter(|holder| !self.ended.contains_key(holder))
            .collect()
    }
}
