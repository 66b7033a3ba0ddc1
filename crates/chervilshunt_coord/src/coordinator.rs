//! Puts the machines together for a daemon.

mod drive;
mod electors;
mod outage;
mod types;
mod watch;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use chervilshunt_model::{Epoch, InstanceId, Moment, RegionName, ZoneName};

use self::electors::Upkeep;
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
use crate::outage::{ElectorConfig, ElectorDesk, Hold, HoldConfig, Vouching};
use crate::platform::{CallId, Object, PlatformResult, StoredObject};
use crate::roles::{Role, RoleConfig, RoleEntry, RoleEvent, RoleTable};
use crate::takeover::Takeovers;

const LEASE: u32 = 1;
const OBSERVER: u32 = 2;
const ROLES: u32 = 3;
const FOLLOWER: u32 = 4;
const PROPOSER: u32 = 5;
const ELECTORS: u32 = 6;

/// What a coordinator has to know at the start.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig<S, C> {
    /// This run of this instance; the incarnation has to be drawn at random.
    pub me: Holder,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
    /// Where it listens for operators.
    pub operators_address: SocketAddr,
    /// How the configuration is changed and cut into pages.
    pub model: ConfigModel<S, C>,
    /// How the own lease is kept.
    pub lease: LeaseConfig,
    /// How the leases of others are watched.
    pub observer: ObserverConfig,
    /// How roles are assigned.
    pub roles: RoleConfig,
    /// How the configuration is followed.
    pub follower: FollowerConfig,
    /// How changes are brought through.
    pub proposer: ProposerConfig,
    /// How electors give their word.
    pub elector: ElectorConfig,
    /// How the lease is extended while the platform fails.
    pub hold: HoldConfig,
    /// How many instances watch each lease.
    pub watchers: usize,
}

impl<S, C> CoordinatorConfig<S, C> {
    /// Takes the defaults for all that need not be said.
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
            hold: HoldConfig::default(),
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

/// Membership, roles and configuration of one run of an instance.
///
/// It starts with the first [`CoordEvent::Tick`]. Every [`CoordAction::Platform`] has to be
/// answered by exactly one [`CoordEvent::PlatformReply`], and `Tick` is wanted at
/// [`Self::next_wakeup`]. Before each order under a role, and before new work is taken, ask
/// [`Self::may_order`] and [`Self::may_take_work`] with the time of that moment: a process that was
/// paused must not go on by what it was told before.
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
    desk: ElectorDesk,
    hold: Hold,
    holding: bool,
    vouching: Vouching,
    upkeep: Upkeep,
    /// Since when the instance list has been followed, and no longer shows an instance.
    list_since: Option<Moment>,
    gone_since: BTreeMap<InstanceId, Moment>,
    list: BTreeMap<InstanceId, InstanceEntry>,
    lost_peers: BTreeSet<InstanceId>,
    suspects: BTreeSet<InstanceId>,
    /// Leases that a proposer found not to answer; watched whoever's turn it is.
    extra_watches: BTreeSet<Holder>,
    ended: BTreeSet<Holder>,
    view: PeerView,
    /// Whether it has to be found out anew which leases are to be watched.
    rewatch: bool,
    /// Whether the view has to be put together anew.
    review: bool,
    takes_work: bool,
    shutting_down: bool,
    drained: bool,
    gave_roles_away: bool,
    bugs: Bugs,
}

impl<S: Clone, C: Clone> Coordinator<S, C> {
    /// Starts a coordinator; nothing is asked before the first [`CoordEvent::Tick`].
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
            desk: ElectorDesk::new(cfg.elector, now),
            hold: Hold::new(cfg.hold, nonce),
            holding: false,
            vouching: Vouching::new(nonce),
            upkeep: Upkeep::new(ELECTORS),
            list_since: None,
            gone_since: BTreeMap::new(),
            list: BTreeMap::new(),
            lost_peers: BTreeSet::new(),
            suspects: BTreeSet::new(),
            extra_watches: BTreeSet::new(),
            ended: BTreeSet::new(),
            view: PeerView::default(),
            rewatch: true,
            review: true,
            takes_work: false,
            shutting_down: false,
            drained: false,
            gave_roles_away: false,
            bugs: Bugs::NONE,
            cfg,
        }
    }

    /// Seeds a bug into all machines.
    #[cfg(test)]
    pub(crate) fn seed(&mut self, bugs: Bugs) {
        self.bugs = bugs;
        self.lease.seed(bugs);
        self.observer.seed(bugs);
        self.roles.seed(bugs);
        self.follower.seed(bugs);
        self.proposer.seed(bugs);
        self.desk.seed(bugs);
        self.hold.seed(bugs);
    }

    /// Returns this run of this instance; it changes when the lease was lost and is begun anew.
    pub const fn me(&self) -> &Holder {
        &self.cfg.me
    }

    /// Returns the epoch for an order under `role`, if one may be given right now.
    pub fn may_order(&self, role: &Role, now: Moment) -> Option<Epoch> {
        let by_lease = self.lease.is_valid(now) || self.bugs.has(Bug::LeaseNotChecked);
        // An extended lease is as good as the lease by all that is known, but for whom nothing else
        // protects it has to be the lease.
        let by_hold = self.is_held(now) && self.roles.is_fenced(role);
        if !by_lease && !by_hold {
            return None;
        }
        self.roles.may_order(role, now)
    }

    /// Returns whether `role` is this run's under `epoch`, whether or not an order may be given now.
    pub fn holds(&self, role: &Role, epoch: Epoch) -> bool {
        self.roles
            .entry(role)
            .is_some_and(|entry| entry.holder == self.cfg.me && entry.epoch == epoch)
    }

    /// Returns whether the lease, or its extension while the platform fails, counts now.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.lease.is_valid(now) || self.is_held(now)
    }

    fn is_held(&self, now: Moment) -> bool {
        self.lease_state.is_some() && now < self.hold.valid_until()
    }

    /// Returns whether new work may be taken right now.
    pub fn may_take_work(&self, now: Moment) -> bool {
        self.is_valid(now)
            && self.lease_state == Some(LeaseState::Active)
            && !self.shutting_down
            && self.follower.may_take_work(now)
    }

    /// Returns until when new work may be taken unless something is learnt before, if it may be now.
    ///
    /// For threads that take work without asking the coordinator: what they were told may be older
    /// than they know, when the whole process was paused meanwhile.
    pub fn takes_work_until(&self, now: Moment) -> Option<Moment> {
        if !self.may_take_work(now) {
            return None;
        }
        let valid_until = self.lease.valid_until().max(self.hold.valid_until());
        Some(
            self.follower
                .stops_at()
                .map_or(valid_until, |at| at.min(valid_until)),
        )
    }

    /// Returns the configuration in force here, if one is loaded.
    pub const fn in_force(&self) -> Option<&ConfigInForce<S>> {
        self.follower.in_force()
    }

    /// Returns the latest head that was seen.
    pub fn head(&self) -> Option<&HeadRecord> {
        self.follower.head()
    }

    /// Returns all roles with their entries.
    pub fn role_entries(&self) -> impl Iterator<Item = (&Role, &RoleEntry)> {
        self.roles.entries()
    }

    /// Returns the entry of a role.
    pub fn role_entry(&self, role: &Role) -> Option<&RoleEntry> {
        self.roles.entry(role)
    }

    /// Returns the instances that are known.
    pub const fn view(&self) -> &PeerView {
        &self.view
    }

    /// Returns whether changes are on their way from here.
    pub fn is_proposing(&self) -> bool {
        !self.proposer.is_idle()
    }

    /// Returns when [`CoordEvent::Tick`] is next wanted.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let valid_until = self.lease.valid_until().max(self.hold.valid_until());
        let takes_work_until = self.takes_work.then_some(valid_until);
        [
            self.lease.next_wakeup(),
            self.observer.next_wakeup(),
            self.roles.next_wakeup(),
            self.follower.next_wakeup(),
            self.proposer.next_wakeup(),
            self.hold_wakeup(),
            self.vouching.next_wakeup(),
            self.upkeep.next_wakeup(),
            takes_work_until,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Takes one event and says what is to be done.
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
                self.review = true;
            }
            CoordEvent::PeerHeard(instance) => {
                self.review |= self.lost_peers.remove(&instance);
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
            CoordEvent::PermitsAnswered { role, instance } => {
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
            self.desk.note_begun(now);
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
        self.desk.note_call(result.is_answer(), now);
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

    /// Takes what a watch showed.
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
        self.review |= self.lost_peers.remove(from);
        match message {
            CoordMessage::Config(message) => self.on_config_message(from, message, now, actions),
            CoordMessage::Hold(message) => self.on_hold_message(from, &message, now, actions),
            CoordMessage::Assigned { shard, generation } => {
                self.drive_roles(RoleEvent::Told(shard, generation), now, actions);
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

    /// Draws the conclusions that concern several machines.
    fn conclude(&mut self, now: Moment, actions: &mut Vec<CoordAction<S, C>>) {
        let joining = self.lease.record().state == LeaseState::Joining;
        if joining && self.lease.is_valid(now) && self.follower.is_settled() && !self.shutting_down
        {
            self.drive_lease(LeaseEvent::SetState(LeaseState::Active), now, actions);
        }
        if self.shutting_down && !self.gave_roles_away && self.roles.holds_nothing() {
            self.gave_roles_away = true;
            actions.push(CoordAction::RolesGivenAway);
        }
        let may_leave = self.gave_roles_away && self.drained;
        if may_leave && self.lease.record().state == LeaseState::Leaving {
            self.drive_lease(LeaseEvent::SetState(LeaseState::Left), now, actions);
        }
        self.update_watches(now, actions);
        self.update_view(actions);
        self.keep_up_electors(now, actions);
        self.extend_lease(now, actions);
        self.collect_vouches(now, actions);
        let takes_work = self.may_take_work(now);
        if takes_work != self.takes_work {
            self.takes_work = takes_work;
            actions.push(CoordAction::TakeWork(takes_work));
        }
    }
}
