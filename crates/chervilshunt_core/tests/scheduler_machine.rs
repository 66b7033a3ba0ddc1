//! A load scheduler under random events, late, doubled and crossed, against an oracle.

mod support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use chervilshunt_core::{
    Bug, LoadScheduler, LoadUrgency, Mechanisms, OrderId, SchedulerAction, SchedulerConfig,
    SchedulerEvent, TurnResult,
};
use chervilshunt_model::{Class, Moment, TargetName};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;
use support::model;

const TURN_TIMEOUT: Duration = Duration::from_secs(10);
const RATE: f64 = 4.0;

#[derive(Clone, Debug)]
enum Step {
    Ask(u8, LoadUrgency),
    /// An owner tells a turn's urgency once more, or the message is doubled and late.
    AskAgain(usize, LoadUrgency),
    End(usize, TurnResult),
    EndAgain(usize),
    Held(u8),
    /// An owner says once more that it uses its turn.
    HeldAgain(usize),
    OwnerChanged(u8),
    Concurrency(u32),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop_oneof![
        Just(Some(Class::Live)),
        Just(Some(Class::Deferrable)),
        Just(None)
    ];
    let urgency = (class, 1..9_u32, 0..20_000_u64);
    let urgency = urgency.prop_map(|(class, waiters, oldest_ms)| LoadUrgency {
        class,
        waiters,
        oldest_ms,
    });
    let result = prop_oneof![
        3 => Just(TurnResult::Loaded),
        1 => Just(TurnResult::Failed),
        1 => Just(TurnResult::Withdrawn),
    ];
    prop_oneof![
        10 => (0..4_u8, urgency.clone()).prop_map(|(target, urgency)| Step::Ask(target, urgency)),
        3 => (any::<usize>(), urgency).prop_map(|(n, urgency)| Step::AskAgain(n, urgency)),
        8 => (any::<usize>(), result).prop_map(|(n, result)| Step::End(n, result)),
        2 => any::<usize>().prop_map(Step::EndAgain),
        1 => (0..4_u8).prop_map(Step::Held),
        2 => any::<usize>().prop_map(Step::HeldAgain),
        1 => (0..4_u8).prop_map(Step::OwnerChanged),
        1 => (1..4_u32).prop_map(Step::Concurrency),
        8 => prop_oneof![Just(1), Just(100), Just(260), Just(2_000), Just(11_000)].prop_map(Step::Advance),
    ]
}

#[derive(Debug)]
struct Chance;

impl ReferenceStateMachine for Chance {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply((): (), _: &Step) {}
}

type Turn = (TargetName, OrderId);

/// The scheduler with its owners, and what it may not do.
struct World {
    scheduler: LoadScheduler,
    now: Moment,
    concurrency: usize,
    next_order: u64,
    asked: BTreeMap<Turn, (LoadUrgency, Moment)>,
    /// Turns in use, with the time at which they are over in any case.
    running: BTreeMap<Turn, Moment>,
    /// Turns that a new scheduler was told of, beyond what it may grant itself.
    held: BTreeSet<Turn>,
    ended: Vec<Turn>,
    /// Loads begun, each with the part of a load that it drew from the store.
    begun: VecDeque<(Turn, Moment, f64)>,
}

impl World {
    fn new() -> Self {
        let now = Moment::from_millis(500_000);
        Self {
            scheduler: LoadScheduler::new(config(2), now),
            now,
            concurrency: 2,
            next_order: 0,
            asked: BTreeMap::new(),
            running: BTreeMap::new(),
            held: BTreeSet::new(),
            ended: Vec::new(),
            begun: VecDeque::new(),
        }
    }

    fn handle(&mut self, event: SchedulerEvent) {
        let now = self.now;
        self.running.retain(|_, until| *until > now);
        for SchedulerAction::Grant { target, order, .. } in self.scheduler.handle(event, now) {
            self.check_grant((target, order));
        }
        let room = self.running.len() < self.concurrency && !self.asked.is_empty();
        let wakes = self.scheduler.next_wakeup();
        assert!(!room || wakes.is_some(), "sleeps while a load waits");
    }

    fn check_grant(&mut self, turn: Turn) {
        if self.running.contains_key(&turn) {
            return; // The answer to an owner that asks again.
        }
        let (urgency, told) = self.asked.remove(&turn).expect("a turn that was asked for");
        self.check_order(&urgency, told);
        self.running.insert(turn.clone(), self.now + TURN_TIMEOUT);
        let own = self
            .running
            .keys()
            .filter(|it| !self.held.contains(*it))
            .count();
        assert!(own <= self.concurrency, "more loads than the store bears");
        self.begun.push_back((turn, self.now, 1.0));
        self.check_rate();
    }

    /// No turn goes before one of its class with more waiters that have waited longer, and none
    /// ahead of demand before one that is waited for.
    fn check_order(&self, urgency: &LoadUrgency, told: Moment) {
        let age = |urgency: &LoadUrgency, told: Moment| {
            Duration::from_millis(urgency.oldest_ms) + self.now.since(told)
        };
        for (other, at) in self.asked.values() {
            let same_class = other.class == urgency.class && other.class.is_some();
            let more = other.waiters > urgency.waiters && age(other, *at) > age(urgency, told);
            let ahead = urgency.class.is_none() && other.class.is_some();
            assert!(
                !(ahead || same_class && more),
                "{urgency:?} goes before {other:?}"
            );
        }
    }

    fn check_rate(&mut self) {
        let most = 4.0 + RATE; // The burst at the highest concurrency, and a second's loads.
        let now = self.now;
        self.begun
            .retain(|(_, at, _)| now.since(*at) < Duration::from_secs(1));
        let drawn: f64 = self.begun.iter().map(|(_, _, part)| part).sum();
        assert!(drawn <= most, "{drawn} loads drawn in a second");
    }

    /// Notes what a load drew that ended without success.
    fn end_early(&mut self, turn: &Turn, result: TurnResult) {
        let whole = self.concurrency as f64 / RATE;
        for (_, at, part) in self.begun.iter_mut().filter(|it| it.0 == *turn) {
            let drawn = self.now.since(*at).as_secs_f64() / whole;
            match result {
                TurnResult::Loaded => {}
                TurnResult::Failed => *part = drawn.min(*part),
                TurnResult::Withdrawn => *part = 0.0,
            }
        }
    }

    fn ask(&mut self, turn: Turn, urgency: LoadUrgency) {
        if !self.running.contains_key(&turn) {
            self.asked.insert(turn.clone(), (urgency, self.now));
        }
        let (target, order) = turn;
        let model = model(order.0 as u32);
        self.handle(SchedulerEvent::TurnAsked {
            target,
            order,
            model,
            urgency,
        });
    }

    fn end(&mut self, turn: Turn, result: TurnResult) {
        self.asked.remove(&turn);
        self.ended.push(turn.clone());
        if self.running.contains_key(&turn) {
            self.end_early(&turn, result);
        }
        self.running.remove(&turn);
        let (target, order) = turn;
        self.handle(SchedulerEvent::TurnEnded {
            target,
            order,
            result,
        });
    }

    /// Tells the scheduler of a turn, which goes on from then for as long as one that begins.
    fn hold(&mut self, turn: Turn) {
        self.running.insert(turn.clone(), self.now + TURN_TIMEOUT);
        let (target, order) = turn;
        self.handle(SchedulerEvent::TurnHeld {
            target,
            order,
            model: model(0),
        });
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask(target, urgency) => {
                self.next_order += 1;
                self.ask((name(target), OrderId(self.next_order)), urgency);
            }
            Step::AskAgain(n, urgency) => {
                let known = self
                    .asked
                    .keys()
                    .chain(self.running.keys())
                    .chain(&self.ended);
                // An owner that lost its role asks no more.
                let known = known.filter(|it| !self.held.contains(*it));
                let known: Vec<Turn> = known.cloned().collect();
                if let Some(turn) = pick(&known, n) {
                    self.ask(turn.clone(), urgency);
                }
            }
            Step::End(n, result) => {
                let known: Vec<Turn> = self.running.keys().cloned().collect();
                if let Some(turn) = pick(&known, n) {
                    self.end(turn.clone(), result);
                }
            }
            Step::EndAgain(n) => {
                if let Some(turn) = pick(&self.ended, n).cloned() {
                    self.end(turn, TurnResult::Loaded);
                }
            }
            Step::Held(target) => {
                self.next_order += 1;
                let turn = (name(target), OrderId(self.next_order));
                self.held.insert(turn.clone());
                self.hold(turn);
            }
            Step::HeldAgain(n) => {
                let known: Vec<Turn> = self.running.keys().cloned().collect();
                if let Some(turn) = pick(&known, n) {
                    self.hold(turn.clone());
                }
            }
            Step::OwnerChanged(target) => {
                let target = name(target);
                self.asked.retain(|(of, _), _| *of != target);
                // Its loads may go on, or be taken to be over before the timeout.
                let of_target = |it: &Turn| it.0 == target;
                self.held
                    .extend(self.running.keys().filter(|it| of_target(it)).cloned());
                self.handle(SchedulerEvent::OwnerChanged(target));
            }
            Step::Concurrency(concurrency) => {
                self.concurrency = concurrency as usize;
                self.held.extend(self.running.keys().cloned());
                self.handle(SchedulerEvent::Reconfigured(config(concurrency)));
            }
            Step::Advance(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                self.handle(SchedulerEvent::Tick);
            }
        }
    }

    /// Every turn asked for comes in bounded time, also if no owner ever reports an end.
    fn settle(&mut self) {
        for _ in 0..200 {
            if self.asked.is_empty() {
                return;
            }
            self.step(Step::Advance(5_000));
        }
        panic!("turns never come: {:?}", self.asked);
    }
}

fn config(concurrency: u32) -> SchedulerConfig {
    SchedulerConfig {
        concurrency,
        loads_per_second: RATE,
        turn_timeout: TURN_TIMEOUT,
        mechanisms: Mechanisms::default(),
    }
}

fn name(target: u8) -> TargetName {
    format!("t{target}").as_str().into()
}

fn pick<T>(all: &[T], n: usize) -> Option<&T> {
    all.get(n.checked_rem(all.len())?)
}

struct SchedulerTest;

impl StateMachineTest for SchedulerTest {
    type SystemUnderTest = World;
    type Reference = Chance;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
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
    fn a_load_scheduler_keeps_the_stores_bounds(sequential 1..120 => SchedulerTest);
}

/// Each bug of a kind that a change could bring in is found, and by the check that is meant for it.
#[rstest]
#[case::grants_beyond_concurrency(Bug::GrantsBeyondConcurrency, "more loads than the store bears")]
#[case::counts_end_twice(Bug::CountsEndTwice, "loads drawn in a second")]
#[case::never_times_out(Bug::NeverTimesOut, "turns never come")]
fn the_oracle_finds_a_seeded_bug(#[case] bug: Bug, #[case] check: &str) {
    let message = support::failure_message(check, Chance::init_state(), step(), |(), steps| {
        let mut world = World::new();
        world.scheduler.seed(bug);
        steps.into_iter().for_each(|step| world.step(step));
        world.settle();
    });
    assert!(message.contains(check), "{message}");
}
