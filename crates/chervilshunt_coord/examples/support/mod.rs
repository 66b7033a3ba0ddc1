//! A minimal driver for coordinators: the platform, messages and timers, in virtual time.
//!
//! A real program drives a coordinator with the same loop: it carries out each call and reports its
//! result once, sends each message, passes in what watches and the instance list report, and passes
//! in a tick when `next_wakeup` is due.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chervilshunt_coord::{
    CallEffect, ConfigModel, CoordAction, CoordEvent, Coordinator, CoordinatorConfig, Holder,
    Incarnation, InstanceEntry, InstanceId, MemoryPlatform, Moment, PlatformCall, PlatformOp,
    PlatformResult,
};

/// The delay of a call to the platform in each direction, and of a message.
const DELAY: Duration = Duration::from_millis(5);
/// The time after which a call without an answer is reported as unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The reaction of a program to an action: a line for the transcript and events for the
/// coordinator.
pub(crate) struct Reaction<C> {
    pub(crate) line: Option<String>,
    pub(crate) events: Vec<CoordEvent<C>>,
}

/// Returns the reaction of a program to actions that are neither calls nor messages.
pub(crate) type Program<S, C> = fn(&CoordAction<S, C>) -> Reaction<C>;

enum Step<C> {
    Carry(PlatformCall),
    Event(CoordEvent<C>),
}

/// A fleet of instances, each in its own zone, with the platform and the messages between them.
pub(crate) struct Fleet<S, C> {
    pub(crate) now: Moment,
    pub(crate) nodes: BTreeMap<InstanceId, Coordinator<S, C>>,
    /// Instances that can reach neither the platform nor other instances.
    pub(crate) cut_off: BTreeSet<InstanceId>,
    /// Selects the write whose answer is lost; applies once.
    pub(crate) lose_answer: Option<fn(&PlatformOp) -> bool>,
    pub(crate) transcript: String,
    model: ConfigModel<S, C>,
    program: Program<S, C>,
    platform: MemoryPlatform,
    due: BTreeMap<(Moment, u64), (InstanceId, Step<C>)>,
    steps: u64,
}

impl<S: Clone, C: Clone> Fleet<S, C> {
    pub(crate) fn new(model: ConfigModel<S, C>, program: Program<S, C>) -> Self {
        Self {
            now: Moment::ZERO,
            nodes: BTreeMap::new(),
            cut_off: BTreeSet::new(),
            lose_answer: None,
            transcript: String::new(),
            model,
            program,
            platform: MemoryPlatform::default(),
            due: BTreeMap::new(),
            steps: 0,
        }
    }

    /// Starts an instance and adds it to the instance list.
    pub(crate) fn start(&mut self, id: &str) {
        // A real program draws the incarnation at random.
        let me = Holder::new(id, Incarnation::new(self.steps));
        let address = ([127, 0, 0, 1], 1).into();
        let zone = format!("zone-{id}").as_str().into();
        let cfg = CoordinatorConfig::new(me, zone, "region".into(), address, address, self.model);
        let coordinator = Coordinator::new(cfg, self.now);
        self.nodes.insert(id.into(), coordinator);
        self.show_list();
        self.deliver(&id.into(), CoordEvent::Tick);
    }

    /// Ends a process without a shutdown; its pending calls to the platform may still be carried
    /// out.
    pub(crate) fn crash(&mut self, id: &str) {
        self.nodes.remove(&InstanceId::from(id));
        self.show_list();
    }

    /// Passes an event to a coordinator and carries out its actions.
    pub(crate) fn deliver(&mut self, id: &InstanceId, event: CoordEvent<C>) {
        let Some(coordinator) = self.nodes.get_mut(id) else {
            return;
        };
        for action in coordinator.handle(event, self.now) {
            self.act(id, action);
        }
    }

    /// Lets time pass and calls `check` after each step.
    pub(crate) fn run(&mut self, time: Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + time;
        loop {
            let wakeup = self.next_wakeup();
            let next = self.due.first_key_value().map(|((at, _), _)| *at);
            let Some(at) = next.into_iter().chain(wakeup).min().filter(|at| *at <= end) else {
                break;
            };
            self.now = at;
            match self.due.first_entry().filter(|entry| entry.key().0 <= at) {
                Some(entry) => {
                    let (id, step) = entry.remove();
                    self.happen(&id, step);
                }
                None => self.tick_all(),
            }
            check(self);
        }
        self.now = end;
    }

    pub(crate) fn log(&mut self, line: &str) {
        self.transcript += &format!(
            "{:6.1} s  {line}\n",
            self.now.since(Moment::ZERO).as_secs_f64()
        );
    }

    /// Returns when the next tick of any coordinator is due, at least 1 ms from now, so that time
    /// always advances.
    fn next_wakeup(&self) -> Option<Moment> {
        let wakeups = self.nodes.values().filter_map(Coordinator::next_wakeup);
        Some(wakeups.min()?.max(self.now + Duration::from_millis(1)))
    }

    fn tick_all(&mut self) {
        let now = self.now;
        let is_due = |node: &Coordinator<S, C>| node.next_wakeup().is_some_and(|at| at <= now);
        let due = self.nodes.iter().filter(|(_, node)| is_due(node));
        for id in due.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.deliver(&id, CoordEvent::Tick);
        }
    }

    fn happen(&mut self, id: &InstanceId, step: Step<C>) {
        match step {
            Step::Event(event) => self.deliver(id, event),
            Step::Carry(call) => self.carry_out(id, &call),
        }
    }

    fn act(&mut self, id: &InstanceId, action: CoordAction<S, C>) {
        match action {
            CoordAction::Platform(call) if self.cut_off.contains(id) => {
                let (call, result) = (call.id, PlatformResult::Unavailable);
                self.later(id, Step::Event(CoordEvent::PlatformReply { call, result }));
            }
            CoordAction::Platform(call) => self.later(id, Step::Carry(call)),
            CoordAction::Send { to, message } => {
                if !self.cut_off.contains(id) && !self.cut_off.contains(&to) {
                    let from = id.clone();
                    self.later(&to, Step::Event(CoordEvent::PeerMessage { from, message }));
                }
            }
            other => {
                let Reaction { line, events } = (self.program)(&other);
                if let Some(line) = line {
                    self.log(&format!("{id}: {line}"));
                }
                if matches!(other, CoordAction::Left) {
                    self.crash(id.as_str());
                }
                for event in events {
                    self.deliver(id, event);
                }
            }
        }
    }

    fn carry_out(&mut self, id: &InstanceId, call: &PlatformCall) {
        let CallEffect { result, written } = self.platform.carry_out(&call.op);
        let call_id = call.id;
        if self.lose_answer.is_some_and(|picks| picks(&call.op)) {
            self.lose_answer = None;
            self.log(&format!(
                "{id}: the platform carried out the write, but its answer is lost"
            ));
            let result = PlatformResult::Unknown;
            let event = CoordEvent::PlatformReply {
                call: call_id,
                result,
            };
            self.after(CALL_TIMEOUT, id, Step::Event(event));
            return;
        }
        self.later(
            id,
            Step::Event(CoordEvent::PlatformReply {
                call: call_id,
                result,
            }),
        );
        let Some(stored) = written else {
            return;
        };
        for node in self.nodes.keys().cloned().collect::<Vec<_>>() {
            if !self.cut_off.contains(&node) {
                self.later(&node, Step::Event(CoordEvent::ObjectSeen(stored.clone())));
            }
        }
    }

    fn show_list(&mut self) {
        let entries = self.nodes.keys().map(|id| InstanceEntry {
            instance: id.clone(),
            zone: format!("zone-{id}").as_str().into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            operators_address: ([127, 0, 0, 1], 1).into(),
            serving: true,
            terminating: false,
        });
        let entries: Vec<_> = entries.collect();
        for id in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.later(
                &id,
                Step::Event(CoordEvent::InstanceListChanged(entries.clone())),
            );
        }
    }

    fn later(&mut self, id: &InstanceId, step: Step<C>) {
        self.after(DELAY, id, step);
    }

    fn after(&mut self, delay: Duration, id: &InstanceId, step: Step<C>) {
        self.steps += 1;
        self.due
            .insert((self.now + delay, self.steps), (id.clone(), step));
    }
}
