//! Simulates a fleet of coordinators with a platform and links between them, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use chervilshunt_model::{Epoch, InstanceId, Moment, Revision};

use super::table::{SetCell, Table, table_model};
use crate::bugs::Bugs;
use crate::hashing::jittered;
use crate::{
    CallEffect, CallId, ChangeRefusal, ChangeTicket, CoordAction, CoordEvent, CoordMessage,
    Coordinator, CoordinatorConfig, Holder, Incarnation, InstanceEntry, LeaseConfig,
    MemoryPlatform, PlatformCall, PlatformResult, Role, StoredObject, WantedRole,
};

/// The minimum delay of a call to the platform or a message.
const DELAY: Duration = Duration::from_millis(4);

/// The time after which a call without an answer is reported as unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The time that the program needs to hand a role over.
const HANDOVER: Duration = Duration::from_millis(30);

/// The lag of the instance list.
const LIST_LAG: Duration = Duration::from_secs(3);

/// A simulated instance and its state.
pub(super) struct Node {
    pub(super) coordinator: Coordinator<Table, SetCell>,
    process: u64,
    pub(super) running: bool,
    paused: bool,
    /// The offset of its clock from the simulation's time.
    clock_ahead: Duration,
    zone: &'static str,
    waiting: Vec<FleetEvent>,
    pub(super) epochs: BTreeMap<Role, Epoch>,
    pub(super) in_force: Option<Table>,
    pub(super) left: bool,
    wakeup_at: Option<Moment>,
    /// Calls that have no result yet; each receives exactly one.
    open_calls: BTreeSet<CallId>,
}

impl Node {
    /// Returns whether the process runs and is not paused.
    pub(super) const fn is_awake(&self) -> bool {
        self.running && !self.paused
    }

    /// Returns the unique number of this process.
    pub(super) const fn process(&self) -> u64 {
        self.process
    }
}

#[derive(Clone, Debug)]
enum FleetEvent {
    CarryOut(PlatformCall),
    Reply(CallId, PlatformResult),
    Message(InstanceId, CoordMessage<SetCell>),
    Watch(StoredObject),
    List,
    Released(Role),
    Wake,
}

#[derive(Debug)]
struct ScheduledEvent {
    at: Moment,
    sequence: u64,
    node: InstanceId,
    process: u64,
    what: FleetEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Injected faults of the platform and the network.
#[derive(Clone, Debug, Default)]
pub(super) struct Faults {
    /// Instances that cannot reach the platform.
    pub(super) cut_from_platform: BTreeSet<InstanceId>,
    /// Pairs of instances that cannot reach each other.
    pub(super) cut_links: BTreeSet<(InstanceId, InstanceId)>,
    /// Percentage of the platform's answers that are lost after the call was carried out.
    pub(super) lost_answers: u64,
    /// Percentage of calls that are carried out well after they have timed out.
    pub(super) late_calls: u64,
    /// Percentage of messages that are lost.
    pub(super) lost_messages: u64,
    /// Percentage of messages that are delivered twice.
    pub(super) doubled_messages: u64,
    /// The maximum additional delay of messages, calls and watch events, in milliseconds.
    pub(super) slow_ms: u64,
    /// Percentage of watch events that are lost.
    pub(super) missed_watches: u64,
}

/// A fleet of coordinators, with the platform and the network between them.
pub(super) struct Fleet {
    pub(super) now: Moment,
    pub(super) platform: MemoryPlatform,
    pub(super) nodes: BTreeMap<InstanceId, Node>,
    pub(super) faults: Faults,
    pub(super) accepted: BTreeMap<ChangeTicket, Revision>,
    pub(super) refused: BTreeMap<ChangeTicket, ChangeRefusal>,
    pub(super) messages: u64,
    wanted: Vec<WantedRole>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    draws: u64,
    seed: u64,
    processes: u64,
    /// The duration of a lease; all related times are scaled with it.
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
            sequence: 0,
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

    /// Starts an instance, or restarts it after a crash.
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
            wakeup_at: None,
            open_calls: BTreeSet::new(),
        };
        let id = InstanceId::new(id);
        self.nodes.insert(id.clone(), node);
        self.schedule_list_updates();
        self.deliver(&id, CoordEvent::Tick);
    }

    pub(super) fn crash(&mut self, id: &str) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.running = false;
            node.epochs.clear();
        }
        self.schedule_list_updates();
    }

    pub(super) fn pause(&mut self, id: &str) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.paused = true;
        }
    }

    /// Resumes a paused instance. What was sent to it meanwhile arrives in the order in which it
    /// was sent.
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

    /// Lets time pass and calls `check` after each event.
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
            self.process_event(due);
            check(self);
        }
        self.now = end;
        check(self);
    }

    pub(super) fn run(&mut self, time: Duration) {
        self.run_checked(time, |_| {});
    }

    /// Returns the time on a node's own clock.
    pub(super) fn clock_of(&self, node: &Node) -> Moment {
        self.now + node.clock_ahead
    }

    /// Returns the nodes that run and are not paused, each with its own time.
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

    fn schedule(&mut self, after: Duration, node: &InstanceId, process: u64, what: FleetEvent) {
        self.sequence += 1;
        self.queue.push(Reverse(ScheduledEvent {
            at: self.now + after,
            sequence: self.sequence,
            node: node.clone(),
            process,
            what,
        }));
    }

    fn schedule_list_updates(&mut self) {
        let nodes: Vec<_> = self
            .nodes
            .iter()
            .map(|(id, node)| (id.clone(), node.process))
            .collect();
        for (id, process) in nodes {
            let lag = jittered(LIST_LAG, self.seed, self.sequence);
            self.schedule(lag, &id, process, FleetEvent::List);
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

    fn process_event(&mut self, due: ScheduledEvent) {
        let ScheduledEvent {
            node: id,
            process,
            what,
            ..
        } = due;
        if let FleetEvent::CarryOut(call) = what {
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
        if let FleetEvent::Reply(call, _) = &what
            && !node.open_calls.remove(call)
        {
            return;
        }
        let event = match what {
            FleetEvent::CarryOut(_) => return,
            FleetEvent::Reply(call, result) => CoordEvent::PlatformReply { call, result },
            FleetEvent::Message(from, message) => CoordEvent::PeerMessage { from, message },
            FleetEvent::Watch(stored) => CoordEvent::ObjectSeen(stored),
            FleetEvent::List => CoordEvent::InstanceListChanged(self.instance_list()),
            FleetEvent::Released(role) => CoordEvent::RoleReleased(role),
            FleetEvent::Wake => {
                node.wakeup_at = None;
                CoordEvent::Tick
            }
        };
        self.deliver(&id, event);
    }

    /// Carries out a call at the platform, even if the caller has crashed since.
    fn carry_out(&mut self, id: &InstanceId, process: u64, call: &PlatformCall) {
        let CallEffect { result, written } = self.platform.carry_out(&call.op);
        if let Some(stored) = written {
            self.notify_watchers(&stored);
        }
        let cut = self.faults.cut_from_platform.contains(id);
        let lost = self.faults.lost_answers;
        if !cut && !self.chance(lost) {
            let delay = self.delay();
            self.schedule(delay, id, process, FleetEvent::Reply(call.id, result));
        }
    }

    fn notify_watchers(&mut self, stored: &StoredObject) {
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
            self.schedule(delay, &id, process, FleetEvent::Watch(stored.clone()));
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
        if node.wakeup_at.is_some_and(|planned| planned <= at) {
            return;
        }
        node.wakeup_at = Some(at);
        let process = node.process;
        self.schedule(at.since(now), id, process, FleetEvent::Wake);
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
                self.schedule(HANDOVER, id, process, FleetEvent::Released(role));
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
                self.schedule_list_updates();
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
        let unknown = FleetEvent::Reply(call.id, PlatformResult::Unknown);
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
        self.schedule(delay, id, process, FleetEvent::CarryOut(call));
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
            let what = FleetEvent::Message(from.clone(), message.clone());
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
