//! An owner under random events, some of them late, duplicated or reordered, checked by an oracle.
//!
//! The engine, the load scheduler, the entry instances and the links between them are modelled in a
//! few lines each. A message to the owner stays in a mailbox until a step delivers it, in any
//! order; a duplicated message is delivered and stays in the mailbox.

mod support;

#[path = "support/owner_oracle.rs"]
mod oracle;

use std::collections::BTreeSet;
use std::time::Duration;

use chervilshunt_core::{
    AdapterReport, Bug, EngineOrder, EngineReport, OrderFailure, OrderId, OrderKind, Owner,
    OwnerAction, OwnerEvent, Permit, PermitAnswer, PermitRequest, ReleaseOutcome, ReleasedPermit,
};
use chervilshunt_model::{AdapterVersion, AttemptId, Class, Epoch, Fencing, InstanceId, Moment};
use oracle::Oracle;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;
use support::{config, finished, model, request, target};

const SLOTS: u32 = 3;
const MAX_BATCH: u32 = 4;
const QUEUE_BOUND: usize = 5;
const MODELS: u32 = 6;
/// An order that is still in transit after this time is lost; [`Step::Advance`] enforces this.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);
/// Maximum time between a request and its duplicate.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
enum Step {
    Ask {
        model: Option<u32>,
        class: Class,
        caller: u8,
        entry: u8,
        deadline_ms: u64,
        hops: u8,
    },
    AskAgain(usize),
    Release(usize, ReleaseOutcome),
    ReleaseAgain(usize),
    Cancel(usize),
    Deliver(usize),
    Duplicate(usize),
    GrantTurn(usize),
    /// The engine carries an order out or refuses it, and its answer may be lost.
    Engine {
        order: usize,
        refuse: bool,
        lose_answer: bool,
    },
    /// The answer to an order is lost while the order is still in transit.
    GiveUpOrder(usize),
    Restart,
    /// Another owner with a higher fencing number sends the engine an order.
    Superseded,
    Reachable(bool),
    EntryLeft(u8),
    Report(u16),
    /// The engine reports the adapters in use, as of now.
    Adapters(u16),
    Share(u32),
    Draining(bool),
    Scheduler(bool),
    Cached,
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop_oneof![Just(Class::Live), Just(Class::Deferrable)];
    let model = prop_oneof![9 => (0..MODELS).prop_map(Some), 1 => Just(None)];
    let deadline = prop_oneof![Just(0_u64), Just(300), Just(20_000), Just(600_000)];
    let ask = (
        model,
        class,
        0..3_u8,
        0..3_u8,
        deadline,
        prop_oneof![4 => Just(0), 1 => 0..20_u8],
    );
    let ask = ask.prop_map(
        |(model, class, caller, entry, deadline_ms, hops)| Step::Ask {
            model,
            class,
            caller,
            entry,
            deadline_ms,
            hops,
        },
    );
    let index = || any::<usize>();
    let outcome = prop_oneof![
        6 => Just(finished()),
        1 => Just(ReleaseOutcome::Cancelled),
        4 => Just(ReleaseOutcome::TargetFailed),
        1 => Just(ReleaseOutcome::TimedOut),
        1 => Just(ReleaseOutcome::AdapterMissing),
    ];
    let engine = (
        index(),
        prop::bool::weighted(0.2),
        prop::bool::weighted(0.15),
    );
    let engine = engine.prop_map(|(order, refuse, lose_answer)| Step::Engine {
        order,
        refuse,
        lose_answer,
    });
    prop_oneof![
        24 => ask,
        3 => index().prop_map(Step::AskAgain),
        12 => (index(), outcome).prop_map(|(n, outcome)| Step::Release(n, outcome)),
        2 => index().prop_map(Step::ReleaseAgain),
        2 => index().prop_map(Step::Cancel),
        30 => index().prop_map(Step::Deliver),
        3 => index().prop_map(Step::Duplicate),
        14 => index().prop_map(Step::GrantTurn),
        14 => engine,
        2 => index().prop_map(Step::GiveUpOrder),
        1 => Just(Step::Restart),
        1 => prop::bool::weighted(0.1).prop_map(|really| {
            if really { Step::Superseded } else { Step::Cached }
        }),
        2 => any::<bool>().prop_map(Step::Reachable),
        1 => (0..3_u8).prop_map(Step::EntryLeft),
        2 => (0..2_000_u16).prop_map(Step::Report),
        6 => (0..2_000_u16).prop_map(Step::Adapters),
        3 => (0..=MAX_BATCH).prop_map(Step::Share),
        1 => any::<bool>().prop_map(Step::Draining),
        1 => any::<bool>().prop_map(Step::Scheduler),
        1 => Just(Step::Cached),
        10 => prop_oneof![Just(1), Just(50), Just(700), Just(5_000), Just(40_000)].prop_map(Step::Advance),
    ]
}

/// The steps are random and independent of the state: their indexes wrap around at the number of
/// available items.
#[derive(Debug)]
struct RandomSteps;

/// What the earlier owner left behind: the adapters of its permits, and how many adapters are
/// loaded.
#[derive(Clone, Debug)]
struct Start {
    old_permits: Vec<u32>,
    loaded: u32,
    peers: u32,
    fencing: Fencing,
    /// Whether an unload by the earlier owner is still in transit.
    unload_in_transit: bool,
}

impl ReferenceStateMachine for RandomSteps {
    type State = Start;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Start> {
        let fencing = prop_oneof![Just(Fencing::Checks), Just(Fencing::Ignores)];
        (
            prop::collection::vec(0..SLOTS, 0..3),
            0..=SLOTS,
            0..3_u32,
            fencing,
            any::<bool>(),
        )
            .prop_map(
                |(old_permits, loaded, peers, fencing, unload_in_transit)| Start {
                    old_permits,
                    loaded,
                    peers,
                    fencing,
                    unload_in_transit,
                },
            )
            .boxed()
    }

    fn transitions(_: &Start) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(state: Start, _: &Step) -> Start {
        state
    }
}

#[derive(Clone, Debug)]
struct PendingOrder {
    order: EngineOrder,
    given: Moment,
    answered: bool,
}

/// The owner and the simulated components around it.
struct World {
    owner: Owner,
    now: Moment,
    started: Moment,
    oracle: Oracle,
    loaded: BTreeSet<AdapterVersion>,
    old: Vec<Permit>,
    mailbox: Vec<OwnerEvent>,
    turns: Vec<OrderId>,
    /// Turns that were requested, and those of them that the owner holds.
    requested_turns: BTreeSet<OrderId>,
    granted: BTreeSet<OrderId>,
    scheduler_up: bool,
    orders: Vec<PendingOrder>,
    requests: Vec<(PermitRequest, Moment)>,
    releases: Vec<ReleasedPermit>,
    share_sequence: u64,
    next_attempt: u128,
    fencing: Fencing,
    /// Whether the engine has restarted and the owner has not been notified yet.
    engine_lost: bool,
    /// Whether the owner is about to learn that another instance owns the target.
    will_learn_of_fencing: bool,
    /// The highest fencing number that the engine has seen.
    highest: Epoch,
}

impl World {
    fn new(start: &Start) -> Self {
        let mut cfg = config(SLOTS, MAX_BATCH);
        cfg.live_queue_bound = QUEUE_BOUND;
        cfg.deferrable_queue_bound = QUEUE_BOUND;
        cfg.fencing = start.fencing;
        cfg.peers = (1..=start.peers)
            .map(|n| format!("t{n}").as_str().into())
            .collect();
        let now = Moment::from_millis(1_000_000);
        let mut world = Self {
            owner: Owner::new(cfg, now),
            now,
            started: now,
            oracle: Oracle::new(MAX_BATCH as usize, QUEUE_BOUND),
            loaded: (0..start.loaded).map(model).collect(),
            old: Vec::new(),
            mailbox: Vec::new(),
            turns: Vec::new(),
            requested_turns: BTreeSet::new(),
            granted: BTreeSet::new(),
            scheduler_up: true,
            orders: Vec::new(),
            requests: Vec::new(),
            releases: Vec::new(),
            share_sequence: 0,
            next_attempt: 1_000,
            fencing: start.fencing,
            engine_lost: false,
            will_learn_of_fencing: false,
            highest: Epoch::new(6),
        };
        for (number, old) in start.old_permits.iter().enumerate() {
            world.add_old_permit(number as u128, model(*old));
        }
        if start.unload_in_transit && start.fencing == Fencing::Checks {
            world.add_unload_in_transit();
        }
        let (entry, permits) = (InstanceId::from("e0"), world.old.clone());
        world
            .mailbox
            .push(OwnerEvent::PermitsHeld { entry, permits });
        world.tick();
        world
    }

    fn add_old_permit(&mut self, number: u128, model: AdapterVersion) {
        let mut req = request(number, Some(model.clone()), Class::Live);
        req.attempt = AttemptId::from_u128(number);
        self.loaded.insert(model.clone());
        self.oracle.add_earlier_call(req.attempt, model.clone());
        self.old.push(Permit {
            attempt: req.attempt,
            entry: req.entry,
            target: target(),
            model: Some(model),
            class: Class::Live,
            epoch: Epoch::new(6),
            window_ms: 2_000,
        });
    }

    /// The earlier owner unloads an idle adapter and loses its role before the order arrives.
    fn add_unload_in_transit(&mut self) {
        let idle = self.loaded.iter().find(|it| !self.oracle.pins(it)).cloned();
        let Some(model) = idle else {
            return;
        };
        let (id, epoch, kind) = (OrderId(0), Epoch::new(6), OrderKind::Unload);
        self.orders.push(PendingOrder {
            order: EngineOrder {
                id,
                epoch,
                kind,
                model,
            },
            given: self.now,
            answered: true,
        });
    }

    fn tick(&mut self) {
        self.handle(OwnerEvent::Tick);
    }

    fn handle(&mut self, event: OwnerEvent) {
        let sequences = |watts: f64| {
            if watts < 100.0 {
                0
            } else {
                ((watts - 100.0) / 10.0).round() as usize
            }
        };
        self.oracle.observe_event(&event, sequences, self.now);
        if let OwnerEvent::TurnGranted { order, .. } = event {
            self.granted.insert(order);
        }
        let fenced = matches!(
            event,
            OwnerEvent::OrderEnded {
                result: Err(OrderFailure::Fenced),
                ..
            }
        );
        let actions = self.owner.handle(event, self.now);
        if fenced && self.will_learn_of_fencing {
            self.oracle.fence();
        }
        self.oracle.check_actions(&actions, &self.owner, self.now);
        for action in actions {
            self.note(action);
        }
    }

    fn note(&mut self, action: OwnerAction) {
        match action {
            OwnerAction::Answer {
                answer: PermitAnswer::Granted { permit, .. },
                ..
            } => {
                let held = permit.model.is_none_or(|it| self.loaded.contains(&it));
                let open = self.oracle.open().contains(&permit.attempt);
                assert!(
                    held || !open || self.engine_lost,
                    "a permit for an adapter that is not loaded"
                );
            }
            OwnerAction::RequestTurn { order, .. } => {
                self.requested_turns.insert(order);
                if !self.turns.contains(&order) {
                    self.turns.push(order);
                }
            }
            OwnerAction::EndTurn { order, .. } => {
                self.granted.remove(&order);
                self.turns.retain(|it| *it != order);
            }
            OwnerAction::RenewTurn { order, .. } => {
                self.granted.insert(order);
            }
            OwnerAction::Order(order) => {
                self.check_turn(&order);
                let (given, answered) = (self.now, false);
                self.orders.push(PendingOrder {
                    order,
                    given,
                    answered,
                });
            }
            OwnerAction::RequestInventory => {
                // The client drops the answer to a request that it repeats.
                self.mailbox
                    .retain(|it| !matches!(it, OwnerEvent::Inventory(_)));
                let listed = self.loaded.iter().cloned().collect();
                self.mailbox.push(OwnerEvent::Inventory(listed));
            }
            _ => {}
        }
    }

    /// A load for which a turn was requested must be sent with that turn, except while the
    /// scheduler is unreachable.
    fn check_turn(&self, order: &EngineOrder) {
        let in_turn = self.granted.contains(&order.id) || !self.requested_turns.contains(&order.id);
        assert!(in_turn || !self.scheduler_up, "a load without a turn");
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask {
                model: number,
                class,
                caller,
                entry,
                deadline_ms,
                hops,
            } => {
                self.next_attempt += 1;
                let mut req = request(self.next_attempt, number.map(model), class);
                req.caller = format!("c{caller}").as_str().into();
                req.entry = format!("e{entry}").as_str().into();
                (req.deadline_ms, req.hops) = (deadline_ms, hops);
                self.requests.push((req.clone(), self.now));
                self.handle(OwnerEvent::PermitRequested(req));
            }
            Step::AskAgain(n) => {
                if let Some((req, _)) = pick(&self.requests, n) {
                    self.handle(OwnerEvent::PermitRequested(req.clone()));
                }
            }
            Step::Release(n, outcome) => {
                if let Some(attempt) = pick(&self.oracle.open(), n) {
                    self.release(*attempt, outcome);
                }
            }
            Step::ReleaseAgain(n) => {
                if let Some(released) = pick(&self.releases, n).cloned() {
                    self.handle(OwnerEvent::PermitReleased(released));
                }
            }
            Step::Cancel(n) => {
                if let Some(attempt) = pick(&self.oracle.waiting(), n) {
                    self.release(*attempt, ReleaseOutcome::Cancelled);
                }
            }
            Step::Deliver(n) => {
                if !self.mailbox.is_empty() {
                    let event = self.mailbox.swap_remove(n % self.mailbox.len());
                    let held = matches!(event, OwnerEvent::PermitsHeld { .. });
                    self.handle(event);
                    if held {
                        self.mailbox.push(OwnerEvent::TakeoverComplete);
                    }
                }
            }
            Step::Duplicate(n) => {
                let event = pick(&self.mailbox, n).cloned();
                if let Some(event) = event.filter(may_be_duplicated) {
                    self.handle(event);
                }
            }
            Step::GrantTurn(n) => {
                if let Some(order) = pick(&self.turns, n).copied() {
                    let queue_wait = Duration::from_millis(200);
                    self.mailbox
                        .push(OwnerEvent::TurnGranted { order, queue_wait });
                }
            }
            Step::Engine {
                order,
                refuse,
                lose_answer,
            } => self.engine(order, refuse, lose_answer),
            Step::GiveUpOrder(n) => self.give_up_order(n),
            Step::Restart => {
                // Its running calls are aborted, and the entry instances release their permits.
                self.loaded.clear();
                self.engine_lost = true;
                self.mailbox
                    .retain(|it| !matches!(it, OwnerEvent::Inventory(_)));
                for attempt in self.oracle.open() {
                    self.release(attempt, ReleaseOutcome::TargetFailed);
                }
                self.handle(OwnerEvent::Reachable(false));
                self.engine_lost = false;
                self.handle(OwnerEvent::Reachable(true));
            }
            Step::Superseded if self.fencing == Fencing::Checks => self.highest = Epoch::new(8),
            Step::Superseded => {}
            Step::Reachable(reachable) => self.handle(OwnerEvent::Reachable(reachable)),
            Step::EntryLeft(n) => {
                self.handle(OwnerEvent::EntryLeft(format!("e{n}").as_str().into()))
            }
            Step::Report(age) => {
                let report = EngineReport {
                    running: self.oracle.open().len() as u32,
                    waiting: 0,
                    age: Duration::from_millis(u64::from(age)),
                };
                self.mailbox.push(OwnerEvent::EngineReported(report));
            }
            Step::Adapters(age) => {
                let report = AdapterReport {
                    running: self.oracle.open_models(),
                    waiting: 0,
                    age: Duration::from_millis(u64::from(age)),
                };
                self.handle(OwnerEvent::AdaptersReported(report));
            }
            Step::Share(sequences) => {
                self.share_sequence += 1;
                let (sequence, watts) = (self.share_sequence, 100.0 + 10.0 * f64::from(sequences));
                self.mailbox.push(OwnerEvent::ShareSet { sequence, watts });
            }
            Step::Draining(draining) => self.handle(OwnerEvent::Draining(draining)),
            Step::Scheduler(up) => {
                self.scheduler_up = up;
                self.handle(OwnerEvent::SchedulerReachable(up));
            }
            Step::Cached => self.handle(OwnerEvent::PrefixesCached(vec![0])),
            Step::Advance(millis) => {
                self.deliver_held_in_time(millis);
                self.now = self.now + Duration::from_millis(millis);
                let now = self.now;
                self.requests
                    .retain(|(_, at)| now.since(*at) < MAX_DUPLICATE_DELAY);
                self.lose_old_orders();
                self.tick();
            }
        }
    }

    /// Ensures that an instance lists its permits within the time for which the owner remembers
    /// that the instance left.
    fn deliver_held_in_time(&mut self, millis: u64) {
        let late = self.now + Duration::from_millis(millis) > self.started + MAX_DUPLICATE_DELAY;
        let is_held = |it: &OwnerEvent| matches!(it, OwnerEvent::PermitsHeld { .. });
        let index = self.mailbox.iter().position(is_held);
        if let (true, Some(index)) = (late, index) {
            self.step(Step::Deliver(index));
        }
    }

    fn release(&mut self, attempt: AttemptId, outcome: ReleaseOutcome) {
        let released = ReleasedPermit {
            attempt,
            target: target(),
            outcome,
        };
        self.releases.push(released.clone());
        self.handle(OwnerEvent::PermitReleased(released));
    }

    fn engine(&mut self, n: usize, refuse: bool, lose_answer: bool) {
        if self.orders.is_empty() {
            return;
        }
        let pending = self.orders.remove(n % self.orders.len());
        let result = self.carry_out(&pending.order, refuse);
        if result == Err(OrderFailure::Fenced) && !pending.answered && !lose_answer {
            self.will_learn_of_fencing = true;
        }
        if !pending.answered {
            let result = if lose_answer {
                Err(OrderFailure::Unknown)
            } else {
                result
            };
            let order = pending.order.id;
            self.mailbox.push(OwnerEvent::OrderEnded { order, result });
        }
    }

    fn carry_out(&mut self, order: &EngineOrder, refuse: bool) -> Result<(), OrderFailure> {
        if order.epoch < self.highest && self.fencing == Fencing::Checks {
            return Err(OrderFailure::Fenced);
        }
        self.highest = order.epoch.max(self.highest);
        if refuse {
            return Err(OrderFailure::Refused);
        }
        let refused = Err(OrderFailure::Refused);
        match order.kind {
            OrderKind::Load if self.loaded.contains(&order.model) => refused,
            OrderKind::Load if self.loaded.len() >= SLOTS as usize => refused,
            OrderKind::Load => {
                self.loaded.insert(order.model.clone());
                Ok(())
            }
            OrderKind::Unload => {
                assert!(
                    !self.oracle.pins(&order.model),
                    "the engine unloads an adapter in use"
                );
                let held = self.loaded.remove(&order.model);
                held.then_some(()).ok_or(OrderFailure::Refused)
            }
        }
    }

    /// The daemon gives up on an order, which may still reach the engine.
    fn give_up_order(&mut self, n: usize) {
        if self.orders.is_empty() {
            return;
        }
        let len = self.orders.len();
        let pending = &mut self.orders[n % len];
        if !pending.answered {
            pending.answered = true;
            let (order, result) = (pending.order.id, Err(OrderFailure::Unknown));
            self.mailbox.push(OwnerEvent::OrderEnded { order, result });
        }
    }

    fn lose_old_orders(&mut self) {
        let now = self.now;
        let (kept, lost): (Vec<_>, Vec<_>) = self
            .orders
            .drain(..)
            .partition(|it| now.since(it.given) < MAX_ORDER_DELAY);
        self.orders = kept;
        for pending in lost.into_iter().filter(|it| !it.answered) {
            let (order, result) = (pending.order.id, Err(OrderFailure::Unknown));
            self.handle(OwnerEvent::OrderEnded { order, result });
        }
    }

    /// Once all faults are over, every waiting request must be answered within bounded time.
    fn settle(&mut self) {
        for event in [
            OwnerEvent::Draining(false),
            OwnerEvent::Reachable(true),
            OwnerEvent::SchedulerReachable(true),
        ] {
            self.handle(event);
        }
        self.scheduler_up = true;
        self.step(Step::Share(MAX_BATCH));
        for _ in 0..600 {
            while !self.mailbox.is_empty() {
                self.step(Step::Deliver(0));
            }
            if self.oracle.waiting().is_empty() {
                return;
            }
            while !self.orders.is_empty() {
                self.engine(0, false, false);
            }
            self.step(Step::GrantTurn(0));
            for attempt in self.oracle.open() {
                self.release(attempt, finished());
            }
            self.step(Step::Advance(500));
        }
        panic!(
            "requests wait forever: {:?}, {:#?}",
            self.oracle.waiting(),
            self.owner.view(self.now)
        );
    }
}

/// An answer over HTTP arrives only once.
fn may_be_duplicated(event: &OwnerEvent) -> bool {
    !matches!(
        event,
        OwnerEvent::TakeoverComplete | OwnerEvent::Inventory(_)
    )
}

fn pick<T>(all: &[T], n: usize) -> Option<&T> {
    all.get(n.checked_rem(all.len())?)
}

struct OwnerTest;

impl StateMachineTest for OwnerTest {
    type SystemUnderTest = World;
    type Reference = RandomSteps;

    fn init_test(start: &Start) -> World {
        World::new(start)
    }

    fn apply(mut world: World, _: &Start, step: Step) -> World {
        world.step(step);
        world
    }

    fn teardown(mut world: World) {
        world.settle();
    }
}

prop_state_machine! {
    #![proptest_config(support::proptest_config(300))]

    #[test]
    fn an_owner_keeps_its_invariants(sequential 1..120 => OwnerTest);
}

/// Each seeded bug, of a kind that a change could introduce, must be detected by the check intended
/// for it.
#[rstest]
#[case::evicts_in_takeover(Bug::EvictsInTakeover, "an eviction before the takeover is complete")]
#[case::trusts_early_reports(
    Bug::TrustsEarlyReports,
    "an eviction before the takeover is complete"
)]
#[case::release_frees_all_pins(Bug::ReleaseFreesAllPins, "a pinned adapter is unloaded")]
#[case::takeover_forgets_permits(Bug::TakeoverForgetsPermits, "outstanding permits")]
#[case::grants_beyond_batch(Bug::GrantsBeyondBatch, "more than the")]
#[case::forgets_settled_attempts(Bug::ForgetsSettledAttempts, "requests waiting")]
#[case::ignores_fenced_answer(Bug::IgnoresFencedAnswer, "after it was fenced off")]
#[case::handles_answer_twice(Bug::HandlesAnswerTwice, "a permit for an adapter that is not loaded")]
#[case::loads_without_turn(Bug::LoadsWithoutTurn, "a load without a turn")]
fn the_oracle_finds_a_seeded_bug(#[case] bug: Bug, #[case] check: &str) {
    let message =
        support::failure_message(check, RandomSteps::init_state(), step(), |start, steps| {
            let mut world = World::new(&start);
            world.owner.seed(bug);
            steps.into_iter().for_each(|step| world.step(step));
            world.settle();
        });
    assert!(message.contains(check), "{message}");
}
