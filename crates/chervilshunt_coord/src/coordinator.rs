//! Combines the lease, membership, role and configuration state machines for one process.

mod drive;
mod electors;
mod outage;
mod types;
mod watch;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use chervilshunt_model::{Epoch, InstanceId, Moment, RegionName, ZoneName};

use self::electors::ElectorateUpdate;
pub use self::types::{CoordAction, CoordDecision, CoordEvent, CoordMessage, DecisionKind};
use crate::bugs::{Bug, Bugs};
use crate::config::{
    ConfigFollower, ConfigInForce, ConfigModel, Elector, FollowerConfig, FollowerEvent, HeadRecord,
    Proposer, ProposerConfig, ProposerEvent,
};
use crate::holder::Holder;
use crate::lease::{
    LeaseConfig, LeaseEvent, LeaseKeeper, LeaseObserver, LeaseRecord, LeaseState, ObserverConfig,
    ObserverEvent,
};
use crate::membership::{InstanceEntry, PeerView};
use crate::outage::{
    ElectorConfig, ElectorState, LeaseExtension, LeaseExtensionConfig, VouchCollector,
};
use crate::platform::{CallId, Object, PlatformResult, StoredObject};
use crate::roles::{Role, RoleConfig, RoleEntry, RoleEvent, RoleTable};
use crate::takeover::Takeovers;

const LEASE: u32 = 1;
const OBSERVER: u32 = 2;
const ROLES: u32 = 3;
const FOLLOWER: u32 = 4;
const PROPOSER: u32 = 5;
const ELECTORS: u32 = 6;

/// Configuration of a [`Coordinator`].
#[derive(Clone, Debug)]
pub struct CoordinatorConfig<S, C> {
    /// This run of this instance. The incarnation must be drawn at random.
    pub me: Holder,
    /// The availability zone of this instance.
    pub zone: ZoneName,
    /// The region of this instance.
    pub region: RegionName,
    /// The address on which this instance listens for peers.
    pub peer_address: SocketAddr,
    /// The address on which this instance listens for operators.
    pub operators_address: SocketAddr,
    /// How changes apply to the configuration and how it is split into pages.
    pub model: ConfigModel<S, C>,
    /// How this run renews its own lease.
    pub lease: LeaseConfig,
    /// How the leases of other runs are watched.
    pub observer: ObserverConfig,
    /// How roles are assigned.
    pub roles: RoleConfig,
    /// How this instance follows changes of the configuration.
    pub follower: FollowerConfig,
    /// How this instance proposes changes of the configuration.
    pub proposer: ProposerConfig,
    /// How this instance answers as an elector.
    pub elector: ElectorConfig,
    /// How the lease is extended while the platform is unreachable.
    pub lease_extension: LeaseExtensionConfig,
    /// The number of instances that watch each lease.
    pub watchers: usize,
}

impl<S, C> CoordinatorConfig<S, C> {
    /// Creates a configuration with defaults for everything but the arguments.
    pub fn new(
        me: Holder,
        zone: ZoneName,
        region: RegionName,
        peer_address: SocketAddr,
        operators_address: SocketAddr,
        model: ConfigModel<S, C>,
    ) -> Self {
        Self {
            me,
            zone,
            region,
            peer_address,
            operators_address,
            model,
            lease: LeaseConfig::default(),
            observer: ObserverConfig::default(),
            roles: RoleConfig::default(),
            follower: FollowerConfig::default(),
            proposer: ProposerConfig::default(),
            elector: ElectorConfig::default(),
            lease_extension: LeaseExtensionConfig::default(),
            watchers: 3,
        }
    }

    fn lease_record(&self) -> LeaseRecord {
        LeaseRecord::joining(
            self.me.clone(),
            self.lease.duration,
            self.zone.clone(),
            self.region.clone(),
            self.peer_address,
            self.operators_address,
        )
    }

    fn elector(&self) -> Elector {
        Elector {
            instance: self.me.instance.clone(),
            address: self.peer_address,
        }
    }
}

/// Manages membership, roles and configuration for one run of an instance.
///
/// The coordinator starts with the first [`CoordEvent::Tick`]. The driver must answer every
/// [`CoordAction::Platform`] with exactly one [`CoordEvent::PlatformReply`], and must deliver a
/// `Tick` at [`Self::next_wakeup`]. Call [`Self::may_order`] right before each order under a role
/// and [`Self::may_take_work`] right before taking new work, both with the current time: after a
/// pause of the process, earlier answers and actions may be out of date.
#[derive(Debug)]
pub struct Coordinator<S, C> {
    cfg: CoordinatorConfig<S, C>,
    lease: LeaseKeeper,
    lease_state: Option<LeaseState>,
    observer: LeaseObserver,
    roles: RoleTable,
    follower: ConfigFollower<S, C>,
    proposer: Proposer<S, C>,
    takeovers: Takeovers,
    elector: ElectorState,
    extension: LeaseExtension,
    in_extension: bool,
    vouching: VouchCollector,
    electorate_update: ElectorateUpdate,
    /// The time of the first instance list. `gone_since` holds when each instance disappeared from
    /// the list.
    list_since: Option<Moment>,
    gone_since: BTreeMap<InstanceId, Moment>,
    list: BTreeMap<InstanceId, InstanceEntry>,
    lost_peers: BTreeSet<InstanceId>,
    suspects: BTreeSet<InstanceId>,
    /// Leases of instances that did not acknowledge a proposed change. They are watched even if
    /// [`watched_by`](crate::membership::watched_by) assigns them to other instances.
    extra_watches: BTreeSet<Holder>,
    ended: BTreeSet<Holder>,
    view: PeerView,
    /// Whether the set of leases to watch must be recomputed.
    watches_outdated: bool,
    /// Whether the view of the peers must be recomputed.
    view_outdated: bool,
    takes_work: bool,
    shutting_down: bool,
    drained: bool,
    roles_released: bool,
    bugs: Bugs,
}

impl<S: Clone, C: Clone> Coordinator<S, C> {
    /// Creates a coordinator. It makes no calls before the first [`CoordEvent::Tick`].
    pub fn new(cfg: CoordinatorConfig<S, C>, now: Moment) -> Self {
        let me = cfg.me.clone();
        let nonce = me.incarnation.get();
        Self {
            lease: LeaseKeeper::with_machine(cfg.lease, cfg.lease_record(), LEASE, now),
            lease_state: None,
            observer: LeaseObserver::with_machine(cfg.observer, OBSERVER),
            roles: RoleTable::with_machine(cfg.roles, me.clone(), cfg.zone.clone(), ROLES, now),
            follower: ConfigFollower::with_machine(
                cfg.follower,
                cfg.model,
                me.clone(),
                cfg.elector(),
                FOLLOWER,
            ),
            proposer: Proposer::with_machine(cfg.proposer, cfg.model, me, PROPOSER),
            takeovers: Takeovers::default(),
            elector: ElectorState::new(cfg.elector, now),
            extension: LeaseExtension::new(cfg.lease_extension, nonce),
            in_extension: false,
            vouching: VouchCollector::new(nonce),
            electorate_update: ElectorateUpdate::new(ELECTORS),
            list_since: None,
            gone_since: BTreeMap::new(),
            list: BTreeMap::new(),
            lost_peers: BTreeSet::new(),
            suspects: BTreeSet::new(),
            extra_watches: BTreeSet::new(),
            ended: BTreeSet::new(),
            view: PeerView::default(),
            watches_outdated: true,
            view_outdated: true,
            takes_work: false,
            shutting_down: false,
            drained: false,
            roles_released: false,
            bugs: Bugs::NONE,
            cfg,
        }
    }

    /// Seeds a bug into all state machines.
    #[cfg(test)]
    pub(crate) fn seed(&mut self, bugs: Bugs) {
        self.bugs = bugs;
        self.lease.seed(bugs);
        self.observer.seed(bugs);
        self.roles.seed(bugs);
        self.follower.seed(bugs);
        self.proposer.seed(bugs);
        self.elector.seed(bugs);
        self.extension.seed(bugs);
    }

    /// Returns this run of this instance. It changes when the lease is lost and the instance
    /// rejoins.
    pub const fn me(&self) -> &Holder {
        &self.cfg.me
    }

    /// Returns the epoch to send with an order under `role`, or `None` if no order may be given at
    /// `now`.
    pub fn may_order(&self, role: &Role, now: Moment) -> Option<Epoch> {
        let by_lease = self.lease.is_valid(now) || self.bugs.has(Bug::LeaseNotChecked);
        // To this process's knowledge an extension by the electors is as safe as the lease. But
        // targets that do not check fencing tokens have no other protection, so orders to them
        // require the lease itself.
        let by_extension = self.is_extended(now) && self.roles.is_fenced(role);
        if !by_lease && !by_extension {
            return None;
        }
        self.roles.may_order(role, now)
    }

    /// Returns the epoch of permits under `role`, or `None` if none may be granted at `now`.
    ///
    /// Permits need the lease as orders do: once it has run out, another instance may have taken the
    /// role over and asked all others which permits they hold. An extension by the electors is enough
    /// whatever the target checks, and permits don't wait for orders of the previous holder.
    pub fn may_grant(&self, role: &Role, now: Moment) -> Option<Epoch> {
        let is_valid = self.is_valid(now) || self.bugs.has(Bug::LeaseNotChecked);
        is_valid.then(|| self.roles.held_epoch(role)).flatten()
    }

    /// Returns whether this run holds `role` under `epoch`, whether or not it may give orders at
    /// the moment.
    pub fn holds(&self, role: &Role, epoch: Epoch) -> bool {
        self.roles
            .entry(role)
            .is_some_and(|entry| entry.holder == self.cfg.me && entry.epoch == epoch)
    }

    /// Returns whether the lease, or its extension while the platform is unreachable, is valid at
    /// `now`.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.lease.is_valid(now) || self.is_extended(now)
    }

    fn is_extended(&self, now: Moment) -> bool {
        self.lease_state.is_some() && now < self.extension.valid_until()
    }

    /// Returns whether new work may be taken at `now`.
    pub fn may_take_work(&self, now: Moment) -> bool {
        self.is_valid(now)
            && self.lease_state == Some(LeaseState::Active)
            && !self.shutting_down
            && self.follower.may_take_work(now)
    }

    /// Returns until when new work may be taken if no further event arrives, or `None` if none may
    /// be taken at `now`.
    ///
    /// For threads that take work without asking the coordinator. After a pause of the whole
    /// process the last [`CoordAction::TakeWork`] may be out of date, so they also compare the
    /// clock with this time.
    pub fn takes_work_until(&self, now: Moment) -> Option<Moment> {
        if !self.may_take_work(now) {
            return None;
        }
        let valid_until = self.lease.valid_until().max(self.extension.valid_until());
        Some(
            self.follower
                .stops_at()
                .map_or(valid_until, |at| at.min(valid_until)),
        )
    }

    /// Returns the configuration that is in force on this instance, if one is loaded.
    pub const fn in_force(&self) -> Option<&ConfigInForce<S>> {
        self.follower.in_force()
    }

    /// Returns the latest head that was observed.
    pub fn head(&self) -> Option<&HeadRecord> {
        self.follower.head()
    }

    /// Returns all roles with their entries.
    pub fn role_entries(&self) -> impl Iterator<Item = (&Role, &RoleEntry)> {
        self.roles.entries()
    }

    /// Returns the entry of `role`, if it has one.
    pub fn role_entry(&self, role: &Role) -> Option<&RoleEntry> {
        self.roles.entry(role)
    }

    /// Returns the view of the known instances.
    pub const fn view(&self) -> &PeerView {
        &self.view
    }

    /// Returns whether changes proposed through this instance are in progress.
    pub fn is_proposing(&self) -> bool {
        !self.proposer.is_idle()
    }

    /// Returns when the next [`CoordEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let valid_until = self.lease.valid_until().max(self.extension.valid_until());
        let takes_work_until = self.takes_work.then_some(valid_until);
        [
            self.lease.next_wakeup(),
            self.observer.next_wakeup(),
            self.roles.next_wakeup(),
            self.follower.next_wakeup(),
            self.proposer.next_wakeup(),
            self.extension_wakeup(),
            self.vouching.next_wakeup(),
            self.electorate_update.next_wakeup(),
            takes_work_until,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, event: CoordEvent<C>, now: Moment) -> Vec<CoordAction<S, C>> {
        let mut actions = Vec::new();
        match event {
            CoordEvent::PlatformReply { call, result } => {
                self.on_reply(call, result, now, &mut actions);
            }
            CoordEvent::ObjectSeen(stored) => self.on_seen(stored, now, &mut actions),
            CoordEvent::InstanceListChanged(entries) => self.on_list(entries, now, &mut actions),
            CoordEvent::PeerMessage { from, message } => {
                self.on_message(&from, message, now, &mut actions);
            }
            CoordEvent::PeerLost(instance) => {
                self.lost_peers.insert(instance);
                self.view_outdated = true;
            }
            CoordEvent::PeerReachable(instance) => {
                self.view_outdated |= self.lost_peers.remove(&instance);
            }
            CoordEvent::RolesWanted { revision, roles } => {
                self.drive_roles(RoleEvent::Wanted(revision, roles), now, &mut actions);
            }
            CoordEvent::ProposeChange { ticket, change } => {
                let event = ProposerEvent::Propose(ticket, change);
                self.drive_proposer(event, now, &mut actions);
            }
            CoordEvent::RoleReleased(role) => {
                self.drive_roles(RoleEvent::Released(role), now, &mut actions);
            }
            CoordEvent::PermitsReported { role, instance } => {
                let complete = self.takeovers.answered(&role, &instance);
                actions.extend(complete.map(|role| CoordAction::TakeoverComplete { role }));
            }
            CoordEvent::ShutdownRequested => self.on_shutdown(now, &mut actions),
            CoordEvent::Drained => {
                self.drained = true;
            }
            CoordEvent::Tick => {
                if self.bugs.has(Bug::HeadReadBeforeLease) && self.follower.head().is_none() {
                    self.drive_follower(FollowerEvent::Start, now, &mut actions);
                }
                self.tick(now, &mut actions);
            }
        }
        self.conclude(now, &mut actions);
        if actions
            .iter()
            .any(|action| matches!(action, CoordAction::Platform(_)))
        {
            self.elector.record_call_start(now);
        }
        actions
    }

    fn tick(&mut self, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
        self.drive_lease(LeaseEvent::Tick, now, actions);
        self.drive_observer(ObserverEvent::Tick, now, actions);
        self.drive_roles(RoleEvent::Tick, now, actions);
        self.drive_follower(FollowerEvent::Tick, now, actions);
        self.drive_proposer(ProposerEvent::Tick, now, actions);
    }

    fn on_reply(
        &mut self,
        call: CallId,
        result: PlatformResult,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        self.elector.record_call_end(result.is_answer(), now);
        match call.machine() {
            LEASE => self.drive_lease(LeaseEvent::Reply(call, result), now, actions),
            OBSERVER => self.drive_observer(ObserverEvent::Reply(call, result), now, actions),
            ROLES => self.drive_roles(RoleEvent::Reply(call, result), now, actions),
            FOLLOWER => self.drive_follower(FollowerEvent::Reply(call, result), now, actions),
            PROPOSER => self.drive_proposer(ProposerEvent::Reply(call, result), now, actions),
            ELECTORS => self.on_electors_written(call, result, now, actions),
            _ => {}
        }
    }

    /// Handles an object reported by a watch.
    fn on_seen(&mut self, stored: StoredObject, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
        match stored.object {
            Object::Assignment(record) => {
                self.drive_roles(RoleEvent::Seen(record, stored.version), now, actions);
            }
            Object::Head(head) => {
                let event = FollowerEvent::HeadSeen(head, stored.version);
                self.drive_follower(event, now, actions);
            }
            Object::Lease(_) | Object::Claims(_) | Object::Page { .. } => {}
        }
    }

    fn on_message(
        &mut self,
        from: &InstanceId,
        message: CoordMessage<C>,
        now: Moment,
        actions: &mut Vec<CoordAction<S, C>>,
    ) {
        self.view_outdated |= self.lost_peers.remove(from);
        match message {
            CoordMessage::Config(message) => self.on_config_message(from, message, now, actions),
            CoordMessage::Elector(message) => self.on_elector_message(from, &message, now, actions),
            CoordMessage::Assigned { shard, generation } => {
                self.drive_roles(
                    RoleEvent::AssignmentReported(shard, generation),
                    now,
                    actions,
                );
            }
        }
    }

    fn on_shutdown(&mut self, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
        if self.shutting_down {
            return;
        }
        self.shutting_down = true;
        self.drive_roles(RoleEvent::Leave, now, actions);
        self.drive_lease(LeaseEvent::SetState(LeaseState::Leaving), now, actions);
    }

    /// Applies the consequences of an event that involve several state machines.
    fn conclude(&mut self, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
        let joining = self.lease.record().state == LeaseState::Joining;
        if joining && self.lease.is_valid(now) && self.follower.is_settled() && !self.shutting_down
        {
            self.drive_lease(LeaseEvent::SetState(LeaseState::Active), now, actions);
        }
        if self.shutting_down && !self.roles_released && self.roles.holds_nothing() {
            self.roles_released = true;
            actions.push(CoordAction::RolesReleased);
        }
        let may_leave = self.roles_released && self.drained;
        if may_leave && self.lease.record().state == LeaseState::Leaving {
            self.drive_lease(LeaseEvent::SetState(LeaseState::Left), now, actions);
        }
        self.update_watches(now, actions);
        self.update_view(actions);
        self.update_electorate(now, actions);
        self.extend_lease(now, actions);
        self.collect_vouches(now, actions);
        let takes_work = self.may_take_work(now);
        if takes_work != self.takes_work {
            self.takes_work = takes_work;
            actions.push(CoordAction::TakeWork(takes_work));
        }
    }
}
