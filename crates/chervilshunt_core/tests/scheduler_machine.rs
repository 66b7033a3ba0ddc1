//! State-machine test of the load scheduler with random events and with late, duplicated and
//! reordered messages.

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
const LOADS_PER_SECOND: f64 = 4.0;

#[derive(Clone, Debug)]
enum Step {
    Ask(u8, LoadUrgency),
    /// An owner reports a turn's urgency again, or a late duplicate of the message arrives.
    AskAgain(usize, LoadUrgency),
    End(usize, TurnResult),
    EndAgain(usize),
    Held(u8),
    /// An owner reports again that it uses its turn.
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
struct RandomSteps;

impl ReferenceStateMachine for RandomSteps {
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

type TurnId = (TargetName, OrderId);

/// The scheduler with its simulated owners, and the state from which its actions are checked.
struct Simulation {
    scheduler: LoadScheduler,
    now: Moment,
    concurrency: usize,
    next_order: u64,
    asked: BTreeMap<TurnId, (LoadUrgency, Moment)>,
    /// Turns in use, with the time at which each times out.
    running: BTreeMap<TurnId, Moment>,
    /// Turns that do not count towards the scheduler's own limit, such as those granted by an
    /// earlier scheduler.
    held: BTreeSet<TurnId>,
    ended: Vec<TurnId>,
    /// Started loads, each with the fraction of a load that it has drawn from the store.
    started: VecDeque<(TurnId, Moment, f64)>,
}

impl Simulation {
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
            started: VecDeque::new(),
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
        assert!(!room || wakes.is_some(), "no wakeup while a load waits");
    }

    fn check_grant(&mut self, turn: TurnId) {
        if self.running.contains_key(&turn) {
            return; // The answer to a repeated request.
        }
        let (urgency, reported_at) = self.asked.remove(&turn).expect("a turn that was requested");
        self.check_order(&urgency, reported_at);
        self.running.insert(turn.clone(), self.now + TURN_TIMEOUT);
        let own = self
            .running
            .keys()
            .filter(|it| !self.held.contains(*it))
            .count();
        assert!(
            own <= self.concurrency,
            "more loads than the concurrency of the store"
        );
        self.started.push_back((turn, self.now, 1.0));
        self.check_rate();
    }

    /// Checks that no turn is granted before one of its class that has more waiters and has waited
    /// longer, and no load ahead of demand before one with waiters.
    fn check_order(&self, urgency: &LoadUrgency, reported_at: Moment) {
        let age = |urgency: &LoadUrgency, reported_at: Moment| {
            Duration::from_millis(urgency.oldest_ms) + self.now.since(reported_at)
        };
        for (other, at) in self.asked.values() {
            let same_class = other.class == urgency.class && other.class.is_some();
            let more =
                other.waiters > urgency.waiters && age(other, *at) > age(urgency, reported_at);
            let ahead = urgency.class.is_none() && other.class.is_some();
            assert!(
                !(ahead || same_class && more),
                "{urgency:?} is granted before {other:?}"
            );
        }
    }

    fn check_rate(&mut self) {
        // The burst at the highest concurrency plus the loads of one second.
        let most = 4.0 + LOADS_PER_SECOND;
        let now = self.now;
        self.started
            .retain(|(_, at, _)| now.since(*at) < Duration::from_secs(1));
        let drawn: f64 = self.started.iter().map(|(_, _, part)| part).sum();
        assert!(drawn <= most, "{drawn} loads drawn in a second");
    }

    /// Records how much a load that ended without success has drawn from the store.
    fn end_early(&mut self, turn: &TurnId, result: TurnResult) {
        let whole = self.concurrency as f64 / LOADS_PER_SECOND;
        for (_, at, part) in self.started.iter_mut().filter(|it| it.0 == *turn) {
            let drawn = self.now.since(*at).as_secs_f64() / whole;
            match result {
                TurnResult::Loaded => {}
                TurnResult::Failed => *part = drawn.min(*part),
                TurnResult::Withdrawn => *part = 0.0,
            }
        }
    }

    fn ask(&mut self, turn: TurnId, urgency: LoadUrgency) {
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

    fn end(&mut self, turn: TurnId, result: TurnResult) {
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

    /// Reports to the scheduler that a turn is in use, which restarts its timeout.
    fn hold(&mut self, turn: TurnId) {
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
                // An owner that lost its role sends no more requests.
                let known = known.filter(|it| !self.held.contains(*it));
                let known: Vec<TurnId> = known.cloned().collect();
                if let Some(turn) = pick(&known, n) {
                    self.ask(turn.clone(), urgency);
                }
            }
            Step::End(n, result) => {
                let known: Vec<TurnId> = self.running.keys().cloned().collect();
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
                let known: Vec<TurnId> = self.running.keys().cloned().collect();
                if let Some(turn) = pick(&known, n) {
                    self.hold(turn.clone());
                }
            }
            Step::OwnerChanged(target) => {
                let target = name(target);
                self.asked.retain(|(of, _), _| *of != target);
                // Its loads may continue, or be considered over before the timeout.
                let of_target = |it: &TurnId| it.0 == target;
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

    /// Checks that every requested turn is granted in bounded time, even if no owner reports an
    /// end.
    fn settle(&mut self) {
        for _ in 0..200 {
            if self.asked.is_empty() {
                return;
            }
            self.step(Step::Advance(5_000));
        }
        panic!("turns are never granted: {:?}", self.asked);
    }
}

fn config(concurrency: u32) -> SchedulerConfig {
    SchedulerConfig {
        concurrency,
        loads_per_second: LOADS_PER_SECOND,
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
    type SystemUnderTest = Simulation;
    type Reference = RandomSteps;

    fn init_test((): &()) -> Simulation {
        Simulation::new()
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        simulation.step(step);
        simulation
    }

    fn teardown(mut simulation: Simulation) {
        simulation.settle();
    }
}

prop_state_machine! {
    #![proptest_config(support::proptest_config(300))]

    #[test]
    fn a_load_scheduler_respects_the_limits_of_its_store(sequential 1..120 => SchedulerTest);
}

/// Checks that each seeded bug is detected, and by the check meant for it.
#[rstest]
#[case::grants_beyond_concurrency(
    Bug::GrantsBeyondConcurrency,
    "more loads than the concurrency of the store"
)]
#[case::counts_end_twice(Bug::CountsEndTwice, "loads drawn in a second")]
#[case::never_times_out(Bug::NeverTimesOut, "turns are never granted")]
fn the_oracle_finds_a_seeded_bug(#[case] bug: Bug, #[case] check: &str) {
    let message =
        support::failure_message(check, RandomSteps::init_state(), step(), |(), steps| {
            let mut simulation = Simulation::new();
            simulation.scheduler.seed(bug);
            steps.into_iter().for_each(|step| simulation.step(step));
            simulation.settle();
        });
    assert!(message.contains(check), "{message}");
}
