//! What a program puts round coordinators, in small: the platform and messages, in virtual time.
//!
//! The same loop drives a coordinator in a real program: carry out each call and answer it once,
//! send each message, pass on what watches and the instance list show, and tick when
//! `next_wakeup` says so.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chervilshunt_coord::{
    CarriedOut, ConfigModel, CoordAction, CoordEvent, Coordinator, CoordinatorConfig, Holder,
    Incarnation, InstanceEntry, InstanceId, MemoryPlatform, Moment, PlatformCall, PlatformOp,
    PlatformResult,
};

/// How long a call to the platform takes each way, and a message.
const DELAY: Duration = Duration::from_millis(5);
/// After how long a call without an answer counts as unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a program makes of an action: a line to tell, and events for the coordinator.
pub(crate) struct Reaction<C> {
    pub(crate) line: Option<String>,
    pub(crate) events: Vec<CoordEvent<C>>,
}

/// Says what a program makes of the actions that are neither calls nor messages.
pub(crate) type Program<S, C> = fn(&CoordAction<S, C>) -> Reaction<C>;

enum Step<C> {
    Carry(PlatformCall),
    Event(CoordEvent<C>),
}

/// Some instances, each in a zone of its own, with what is between them.
pub(crate) struct Fleet<S, C> {
    pub(crate) now: Moment,
    pub(crate) nodes: BTreeMap<InstanceId, Coordinator<S, C>>,
    /// Instances that reach neither the platform nor others.
    pub(crate) cut_off: BTreeSet<InstanceId>,
    /// Picks the write whose answer is lost, once.
    pub(crate) lose_answer: Option<fn(&PlatformOp) -> bool>,
    pub(crate) told: String,
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
            told: String::new(),
            model,
            program,
            platform: MemoryPlatform::default(),
            due: BTreeMap::new(),
            steps: 0,
        }
    }

    /// Starts an instance; the instance list shows it from now on.
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

    /// Ends a process without a word; what it asked of the platform may yet be carried out.
    pub(crate) fn crash(&mut self, id: &str) {
        self.nodes.remove(&InstanceId::from(id));
        self.show_list();
    }

    /// Gives a coordinator an event and does what it wants.
    pub(crate) fn deliver(&mut self, id: &InstanceId, event: CoordEvent<C>) {
        let Some(coordinator) = self.nodes.get_mut(id) else {
            return;
        };
        for action in coordinator.handle(event, self.now) {
            self.act(id, action);
        }
    }

    /// Lets time pass, calling `check` after each step.
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

    pub(crate) fn tell(&mut self, line: &str) {
        self.told += &format!(
            "{:6.1} s  {line}\n",
            self.now.since(Moment::ZERO).as_secs_f64()
        );
    }

    /// Returns when a coordinator next wants to be ticked; never twice at the same moment.
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
                    self.tell(&format!("{id}: {line}"));
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
        let CarriedOut { result, written } = self.platform.carry_out(&call.op);
        let call_id = call.id;
        if self.lose_answer.is_some_and(|picks| picks(&call.op)) {
            self.lose_answer = None;
            self.tell(&format!(
                "{id}: the platform has written, but its answer is lost"
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
