//! Some coordinators with a platform and links between them, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use chervilshunt_model::{Epoch, InstanceId, Moment, Revision};

use super::table::{SetCell, Table, table_model};
use crate::bugs::Bugs;
use crate::hashing::jittered;
use crate::{
    CallId, CarriedOut, ChangeRefusal, ChangeTicket, CoordAction, CoordEvent, CoordMessage,
    Coordinator, CoordinatorConfig, Holder, Incarnation, InstanceEntry, LeaseConfig,
    MemoryPlatform, PlatformCall, PlatformResult, Role, Stored, WantedRole,
};

/// How long a call to the platform or a message takes at the least.
const DELAY: Duration = Duration::from_millis(4);

/// After how long a call without an answer counts as unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the program takes to hand a role over.
const HANDOVER: Duration = Duration::from_millis(30);

/// By how much the instance list lags.
const LIST_LAG: Duration = Duration::from_secs(3);

/// An instance with what happened on it.
pub(super) struct Node {
    pub(super) coordinator: Coordinator<Table, SetCell>,
    process: u64,
    pub(super) running: bool,
    paused: bool,
    /// Its clock is ahead of the true time by this.
    clock_ahead: Duration,
    zone: &'static str,
    waiting: Vec<Happening>,
    pub(super) epochs: BTreeMap<Role, Epoch>,
    pub(super) in_force: Option<Table>,
    pub(super) left: bool,
    woken_for: Option<Moment>,
    /// Calls that have had no result yet; each gets one.
    open_calls: BTreeSet<CallId>,
}

impl Node {
    /// Returns whether the process runs and is not paused.
    pub(super) const fn is_awake(&self) -> bool {
        self.running && !self.paused
    }

    /// Returns a number that no other process has.
    pub(super) const fn process(&self) -> u64 {
        self.process
    }
}

#[derive(Clone, Debug)]
enum Happening {
    Carry(PlatformCall),
    Reply(CallId, PlatformResult),
    Message(InstanceId, CoordMessage<SetCell>),
    Watch(Stored),
    List,
    Released(Role),
    Wake,
}

#[derive(Debug)]
struct Due {
    at: Moment,
    order: u64,
    node: InstanceId,
    process: u64,
    what: Happening,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// What goes wrong on the way.
#[derive(Clone, Debug, Default)]
pub(super) struct Faults {
    /// Instances that can't reach the platform.
    pub(super) cut_from_platform: BTreeSet<InstanceId>,
    /// Pairs of instances that can't reach each other.
    pub(super) cut_links: BTreeSet<(InstanceId, InstanceId)>,
    /// Of 100 answers of the platform that many are lost after the call was carried out.
    pub(super) lost_answers: u64,
    /// Of 100 calls that many are carried out a good deal later than they time out.
    pub(super) late_calls: u64,
    /// Of 100 messages that many are lost.
    pub(super) lost_messages: u64,
    /// Of 100 messages that many come twice.
    pub(super) doubled_messages: u64,
    /// The longest further delay of messages, calls and watches, in milliseconds.
    pub(super) slow_ms: u64,
    /// Of 100 events of a watch that many never come.
    pub(super) missed_watches: u64,
}

/// Some coordinators with what is between them.
pub(super) struct Fleet {
    pub(super) now: Moment,
    pub(super) platform: MemoryPlatform,
    pub(super) nodes: BTreeMap<InstanceId, Node>,
    pub(super) faults: Faults,
    pub(super) accepted: BTreeMap<ChangeTicket, Revision>,
    pub(super) refused: BTreeMap<ChangeTicket, ChangeRefusal>,
    pub(super) messages: u64,
    wanted: Vec<WantedRole>,
    queue: BinaryHeap<Reverse<Due>>,
    order: u64,
    draws: u64,
    seed: u64,
    processes: u64,
    /// How long a lease lasts; all times that have to fit it are in proportion.
    lease: Duration,
    bugs: Bugs,
}

impl Fleet {
    pub(super) fn new(seed: u64, wanted: Vec<WantedRole>) -> Self {
        Self {
            now: Moment::from_millis(1_000_000),
            platform: MemoryPlatform::default(),
            nodes: BTreeMap::new(),
            faults: Faults::default(),
            accepted: BTreeMap::new(),
            refused: BTreeMap::new(),
            messages: 0,
            wanted,
            queue: BinaryHeap::new(),
            order: 0,
            draws: 0,
            seed,
            processes: 0,
            lease: LeaseConfig::default().duration,
            bugs: Bugs::default(),
        }
    }

    pub(super) fn set_lease(&mut self, lease: Duration) {
        self.lease = lease;
    }

    pub(super) fn seed_bugs(&mut self, bugs: Bugs) {
        self.bugs = bugs;
    }

    /// Starts an instance, or starts it again after a crash.
    pub(super) fn start(&mut self, id: &str, zone: &'static str) {
        self.processes += 1;
        let process = self.processes;
        let clock_ahead = Duration::from_secs(self.draw(100_000));
        let me = Holder::new(id, Incarnation::new(self.draw(u64::MAX)));
        let address = ([127, 0, 0, 1], 1).into();
        let mut cfg = CoordinatorConfig::new(
            me,
            zone.into(),
            "region".into(),
            address,
            address,
            table_model(),
        );
        fit_to_lease(&mut cfg, self.lease);
        let now = self.now + clock_ahead;
        let mut coordinator = Coordinator::new(cfg, now);
        coordinator.seed(self.bugs);
        let node = Node {
            coordinator,
            process,
            running: true,
            paused: false,
            clock_ahead,
            zone,
            waiting: Vec::new(),
            epochs: BTreeMap::new(),
            in_force: None,
            left: false,
            woken_for: None,
            open_calls: BTreeSet::new(),
        };
        let id = InstanceId::new(id);
        self.nodes.insert(id.clone(), node);
        self.list_changes();
        self.deliver(&id, CoordEvent::Tick);
    }

    pub(super) fn crash(&mut self, id: &str) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.running = false;
            node.epochs.clear();
        }
        self.list_changes();
    }

    pub(super) fn pause(&mut self, id: &str) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.paused = true;
        }
    }

    /// Wakes a paused instance; what it was sent meanwhile arrives in the order of its sending.
    pub(super) fn resume(&mut self, id: &str) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.paused = false;
        let process = node.process;
        for what in std::mem::take(&mut node.waiting) {
            self.schedule(Duration::ZERO, &id.into(), process, what);
        }
    }

    pub(super) fn shut_down(&mut self, id: &str) {
        if self.nodes.get(id).is_some_and(Node::is_awake) {
            self.deliver(&id.into(), CoordEvent::ShutdownRequested);
            self.deliver(&id.into(), CoordEvent::Drained);
        }
    }

    pub(super) fn propose(&mut self, id: &str, ticket: u64, change: SetCell) {
        if !self.nodes.get(id).is_some_and(Node::is_awake) {
            return;
        }
        let ticket = ChangeTicket(ticket);
        self.deliver(&id.into(), CoordEvent::ProposeChange { ticket, change });
    }

    /// Lets time pass, calling `check` after everything that happens.
    pub(super) fn run_checked(&mut self, time: Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + time;
        while let Some(Reverse(due)) = self.queue.peek() {
            if due.at > end {
                break;
            }
            let Some(Reverse(due)) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(due.at);
            self.happen(due);
            check(self);
        }
        self.now = end;
        check(self);
    }

    pub(super) fn run(&mut self, time: Duration) {
        self.run_checked(time, |_| {});
    }

    /// Returns a node's own time.
    pub(super) fn clock_of(&self, node: &Node) -> Moment {
        self.now + node.clock_ahead
    }

    /// Returns the nodes that run and are not paused, with their time.
    pub(super) fn awake(&self) -> impl Iterator<Item = (&InstanceId, &Node, Moment)> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.is_awake())
            .map(|(id, node)| (id, node, self.clock_of(node)))
    }

    fn draw(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        let text = format!("{}-{}", self.seed, self.draws);
        crate::hashing::text_hash(&text) % bound.max(1)
    }

    fn chance(&mut self, of_hundred: u64) -> bool {
        of_hundred > 0 && self.draw(100) < of_hundred
    }

    fn delay(&mut self) -> Duration {
        let slow = self.faults.slow_ms;
        DELAY + Duration::from_millis(self.draw(4) + if slow > 0 { self.draw(slow) } else { 0 })
    }

    fn schedule(&mut self, after: Duration, node: &InstanceId, process: u64, what: Happening) {
        self.order += 1;
        self.queue.push(Reverse(Due {
            at: self.now + after,
            order: self.order,
            node: node.clone(),
            process,
            what,
        }));
    }

    fn list_changes(&mut self) {
        let nodes: Vec<_> = self
            .nodes
            .iter()
            .map(|(id, node)| (id.clone(), node.process))
            .collect();
        for (id, process) in nodes {
            let lag = jittered(LIST_LAG, self.seed, self.order);
            self.schedule(lag, &id, process, Happening::List);
        }
    }

    fn instance_list(&self) -> Vec<InstanceEntry> {
        let running = self.nodes.iter().filter(|(_, node)| node.running);
        let entries = running.map(|(id, node)| InstanceEntry {
            instance: id.clone(),
            zone: node.zone.into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            operators_address: ([127, 0, 0, 1], 1).into(),
            serving: true,
            terminating: false,
        });
        entries.collect()
    }

    fn happen(&mut self, due: Due) {
        let Due {
            node: id,
            process,
            what,
            ..
        } = due;
        if let Happening::Carry(call) = what {
            self.carry_out(&id, process, &call);
            return;
        }
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.process != process || !node.running {
            return;
        }
        if node.paused {
            node.waiting.push(what);
            return;
        }
        if let Happening::Reply(call, _) = &what
            && !node.open_calls.remove(call)
        {
            return;
        }
        let event = match what {
            Happening::Carry(_) => return,
            Happening::Reply(call, result) => CoordEvent::PlatformReply { call, result },
            Happening::Message(from, message) => CoordEvent::PeerMessage { from, message },
            Happening::Watch(stored) => CoordEvent::ObjectSeen(stored),
            Happening::List => CoordEvent::InstanceListChanged(self.instance_list()),
            Happening::Released(role) => CoordEvent::RoleReleased(role),
            Happening::Wake => {
                node.woken_for = None;
                CoordEvent::Tick
            }
        };
        self.deliver(&id, event);
    }

    /// Carries a call out at the platform, even if the caller has died since.
    fn carry_out(&mut self, id: &InstanceId, process: u64, call: &PlatformCall) {
        let CarriedOut { result, written } = self.platform.carry_out(&call.op);
        if let Some(stored) = written {
            self.tell_watchers(&stored);
        }
        let cut = self.faults.cut_from_platform.contains(id);
        let lost = self.faults.lost_answers;
        if !cut && !self.chance(lost) {
            let delay = self.delay();
            self.schedule(delay, id, process, Happening::Reply(call.id, result));
        }
    }

    fn tell_watchers(&mut self, stored: &Stored) {
        let nodes: Vec<_> = self
            .nodes
            .iter()
            .map(|(id, node)| (id.clone(), node.process))
            .collect();
        for (id, process) in nodes {
            let missed = self.faults.missed_watches;
            if self.faults.cut_from_platform.contains(&id) || self.chance(missed) {
                continue;
            }
            let delay = self.delay();
            self.schedule(delay, &id, process, Happening::Watch(stored.clone()));
        }
    }

    fn deliver(&mut self, id: &InstanceId, event: CoordEvent<SetCell>) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        if !node.running {
            return;
        }
        let now = self.now + node.clock_ahead;
        let actions = node.coordinator.handle(event, now);
        let process = node.process;
        for action in actions {
            self.act(id, process, action);
        }
        self.plan_wakeup(id);
    }

    fn plan_wakeup(&mut self, id: &InstanceId) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let Some(at) = node.coordinator.next_wakeup() else {
            return;
        };
        let now = self.now + node.clock_ahead;
        let at = at.max(now + Duration::from_millis(1));
        if node.woken_for.is_some_and(|planned| planned <= at) {
            return;
        }
        node.woken_for = Some(at);
        let process = node.process;
        self.schedule(at.since(now), id, process, Happening::Wake);
    }

    fn act(&mut self, id: &InstanceId, process: u64, action: CoordAction<Table, SetCell>) {
        match action {
            CoordAction::Platform(call) => self.call(id, process, call),
            CoordAction::Send { to, message } => self.send(id, &to, &message),
            CoordAction::RoleGained { role, epoch, .. } => {
                if let Some(node) = self.nodes.get_mut(id) {
                    node.epochs.insert(role, epoch);
                }
            }
            CoordAction::RoleEnding { role, .. } => {
                self.schedule(HANDOVER, id, process, Happening::Released(role));
            }
            CoordAction::RoleLost { role } => {
                if let Some(node) = self.nodes.get_mut(id) {
                    node.epochs.remove(&role);
                }
            }
            CoordAction::ConfigInForce { revision, state } => {
                if let Some(node) = self.nodes.get_mut(id) {
                    node.in_force = Some((*state).clone());
                }
                let roles = self.wanted.clone();
                self.deliver(id, CoordEvent::RolesWanted { revision, roles });
            }
            CoordAction::ChangeAccepted { ticket, revision } => {
                self.accepted.insert(ticket, revision);
            }
            CoordAction::ChangeRefused {
                ticket, refusal, ..
            } => {
                self.refused.insert(ticket, refusal);
            }
            CoordAction::Left => {
                if let Some(node) = self.nodes.get_mut(id) {
                    node.left = true;
                    node.running = false;
                }
                self.list_changes();
            }
            CoordAction::TakeoverComplete { .. }
            | CoordAction::HolderChanged { .. }
            | CoordAction::PeersChanged(_)
            | CoordAction::TakeWork(_)
            | CoordAction::RolesReleased
            | CoordAction::Log(_) => {}
        }
    }

    fn call(&mut self, id: &InstanceId, process: u64, call: PlatformCall) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.open_calls.insert(call.id);
        }
        let unknown = Happening::Reply(call.id, PlatformResult::Unknown);
        self.schedule(CALL_TIMEOUT, id, process, unknown);
        if self.faults.cut_from_platform.contains(id) {
            return;
        }
        let late = self.faults.late_calls;
        let delay = if self.chance(late) {
            CALL_TIMEOUT + Duration::from_millis(self.draw(20_000))
        } else {
            self.delay()
        };
        self.schedule(delay, id, process, Happening::Carry(call));
    }

    fn send(&mut self, from: &InstanceId, to: &InstanceId, message: &CoordMessage<SetCell>) {
        self.messages += 1;
        let link = if from < to {
            (from.clone(), to.clone())
        } else {
            (to.clone(), from.clone())
        };
        let (lost, doubled) = (self.faults.lost_messages, self.faults.doubled_messages);
        if self.faults.cut_links.contains(&link) || self.chance(lost) {
            return;
        }
        let Some(process) = self.nodes.get(to).map(|node| node.process) else {
            return;
        };
        let copies = if self.chance(doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay();
            let what = Happening::Message(from.clone(), message.clone());
            self.schedule(delay, to, process, what);
        }
    }
}

fn fit_to_lease(cfg: &mut CoordinatorConfig<Table, SetCell>, lease: Duration) {
    let ratio = lease.as_secs_f64() / cfg.lease.duration.as_secs_f64();
    for time in [
        &mut cfg.lease.duration,
        &mut cfg.lease.renew_every,
        &mut cfg.lease.retry_every,
        &mut cfg.lease.margin,
        &mut cfg.observer.read_every,
        &mut cfg.observer.unchanged_for,
        &mut cfg.observer.longest_gap,
        &mut cfg.elector.promise_for,
        &mut cfg.elector.vouch_for,
        &mut cfg.elector.failing_for,
        &mut cfg.elector.answered_within,
        &mut cfg.lease_extension.begin_before,
        &mut cfg.lease_extension.ask_every,
        &mut cfg.lease_extension.renew_every,
        &mut cfg.lease_extension.margin,
    ] {
        *time = time.mul_f64(ratio);
    }
}
