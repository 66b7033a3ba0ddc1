//! State-machine test of the power allocator with random events and with late, duplicated and
//! reordered messages.
//!
//! The simulated owners accept a share if it is newer than theirs, draw what their sequences need,
//! and confirm it. Messages stay in flight until a step delivers, duplicates or loses them. The
//! oracle compares one sum: the power that all targets can draw, whatever they and the messages do
//! next.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilshunt_core::{
    Bug, Mechanisms, PolicyWeights, PowerAction, PowerAllocator, PowerConfig, PowerEvent,
};
use chervilshunt_model::{Epoch, Moment, TargetName};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rstest::rstest;

const IDLE_WATTS: f64 = 100.0;
const WATTS_PER_SEQUENCE: f64 = 10.0;
const MAX_BATCH: u32 = 16;
const FULL_WATTS: f64 = IDLE_WATTS + WATTS_PER_SEQUENCE * MAX_BATCH as f64;
const TARGETS: u8 = 4;
const CAP_WATTS: f64 = 700.0;
/// Tolerance for rounding errors in sums, in watts.
const TOLERANCE_WATTS: f64 = 1e-6;

#[derive(Clone, Debug)]
enum Step {
    Demand {
        target: u8,
        live: u32,
        deferrable: u32,
    },
    /// A target runs fewer sequences, or more if its share allows it.
    Run {
        target: u8,
        sequences: u32,
    },
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    Cap(f64),
    /// Another instance takes over the allocator's role.
    Takeover,
    Leave(u8),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let demand = (0..TARGETS, 0..=MAX_BATCH, 0..=2 * MAX_BATCH);
    let run = (0..TARGETS, 0..=MAX_BATCH);
    prop_oneof![
        6 => demand.prop_map(|(target, live, deferrable)| Step::Demand { target, live, deferrable }),
        8 => run.prop_map(|(target, sequences)| Step::Run { target, sequences }),
        16 => any::<usize>().prop_map(Step::Deliver),
        3 => any::<usize>().prop_map(Step::Duplicate),
        3 => any::<usize>().prop_map(Step::Lose),
        1 => prop_oneof![Just(0.0), Just(150.0), Just(400.0), Just(CAP_WATTS), Just(2_000.0)].prop_map(Step::Cap),
        1 => Just(Step::Takeover),
        1 => (0..TARGETS).prop_map(Step::Leave),
        8 => prop_oneof![Just(10), Just(300), Just(2_500), Just(70_000)].prop_map(Step::Advance),
    ]
}

#[derive(Debug)]
struct RandomSteps;

impl ReferenceStateMachine for RandomSteps {
    type State = f64;
    type Transition = Step;

    /// The weight of batch efficiency; the weight of load stalls is 1.
    fn init_state() -> BoxedStrategy<f64> {
        prop_oneof![Just(0.0), Just(1.0), Just(3.0)].boxed()
    }

    fn transitions(_: &f64) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(weight: f64, _: &Step) -> f64 {
        weight
    }
}

#[derive(Debug)]
struct Target {
    share: f64,
    sequence: u64,
    running: u32,
    live: u32,
    deferrable: u32,
}

impl Target {
    fn drawing(&self) -> f64 {
        watts(self.running)
    }

    /// Returns what the target may draw without another message, in watts.
    fn can_draw(&self) -> f64 {
        self.share.max(self.drawing())
    }
}

#[derive(Clone, Debug)]
enum InFlight {
    Share {
        target: TargetName,
        sequence: u64,
        watts: f64,
    },
    Confirmation {
        target: TargetName,
        sequence: u64,
        watts: f64,
    },
}

struct Simulation {
    allocator: PowerAllocator,
    bug: Option<Bug>,
    weight: f64,
    epoch: u64,
    cap: f64,
    now: Moment,
    targets: BTreeMap<TargetName, Target>,
    in_flight: Vec<InFlight>,
    /// The allocator's committed watts after the last event. While they exceed the cap they may
    /// only fall.
    committed: f64,
}

impl Simulation {
    fn new(weight: f64, bug: Option<Bug>) -> Self {
        let now = Moment::from_millis(500_000);
        let targets = (0..TARGETS).map(|n| {
            let (share, sequence, running) = (CAP_WATTS / f64::from(TARGETS), 0, 0);
            let (live, deferrable) = (0, 0);
            (
                name(n),
                Target {
                    share,
                    sequence,
                    running,
                    live,
                    deferrable,
                },
            )
        });
        let mut simulation = Self {
            allocator: PowerAllocator::new(config(CAP_WATTS, 1, weight), now),
            bug,
            weight,
            epoch: 1,
            cap: CAP_WATTS,
            now,
            targets: targets.collect(),
            in_flight: Vec::new(),
            committed: CAP_WATTS,
        };
        simulation.join_all_unchecked();
        simulation
    }

    fn handle(&mut self, event: PowerEvent) {
        for action in self.allocator.handle(event, self.now) {
            let PowerAction::SetShare {
                target,
                sequence,
                watts,
            } = action;
            assert!(
                (0.0..=FULL_WATTS + TOLERANCE_WATTS).contains(&watts),
                "share of {watts} W out of range"
            );
            self.in_flight.push(InFlight::Share {
                target,
                sequence,
                watts,
            });
        }
        self.check();
    }

    fn check(&mut self) {
        let can_draw: f64 = self.targets.values().map(Target::can_draw).sum();
        let committed = self.allocator.committed_watts();
        assert!(
            committed >= can_draw - TOLERANCE_WATTS,
            "{can_draw} W can be drawn, {committed} W known"
        );
        let allowed = self.cap.max(self.committed);
        assert!(
            committed <= allowed + TOLERANCE_WATTS,
            "{committed} W committed under {allowed} W"
        );
        self.committed = committed;
    }

    fn deliver(&mut self, message: InFlight) {
        match message {
            InFlight::Share {
                target,
                sequence,
                watts,
            } => {
                let Some(it) = self.targets.get_mut(&target) else {
                    return;
                };
                if sequence < it.sequence {
                    return;
                }
                (it.share, it.sequence) = (watts, sequence);
                self.confirm(target);
            }
            InFlight::Confirmation {
                target,
                sequence,
                watts,
            } => {
                self.handle(PowerEvent::ShareConfirmed {
                    target,
                    sequence,
                    watts,
                });
            }
        }
    }

    fn confirm(&mut self, target: TargetName) {
        let it = &self.targets[&target];
        let (sequence, watts) = (it.sequence, it.can_draw());
        self.in_flight.push(InFlight::Confirmation {
            target,
            sequence,
            watts,
        });
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Demand {
                target,
                live,
                deferrable,
            } => {
                if let Some(it) = self.targets.get_mut(&name(target)) {
                    (it.live, it.deferrable) = (live, deferrable);
                    self.demand(name(target));
                }
            }
            Step::Run { target, sequences } => {
                let Some(it) = self.targets.get_mut(&name(target)) else {
                    return;
                };
                let allowed =
                    sequences <= it.running || watts(sequences) <= it.share + TOLERANCE_WATTS;
                let over = it.drawing() > it.share;
                if allowed {
                    it.running = sequences;
                }
                if over {
                    self.confirm(name(target));
                }
            }
            Step::Deliver(n) if !self.in_flight.is_empty() => {
                let message = self.in_flight.swap_remove(n % self.in_flight.len());
                self.deliver(message);
            }
            Step::Duplicate(n) if !self.in_flight.is_empty() => {
                let message = self.in_flight[n % self.in_flight.len()].clone();
                self.deliver(message);
            }
            Step::Lose(n) if !self.in_flight.is_empty() => {
                self.in_flight.swap_remove(n % self.in_flight.len());
            }
            Step::Deliver(_) | Step::Duplicate(_) | Step::Lose(_) => {}
            Step::Cap(watts) => {
                self.cap = watts;
                self.handle(PowerEvent::CapChanged(watts));
            }
            Step::Takeover => {
                // The links to the old instance are closed, and their messages are lost.
                self.in_flight.clear();
                self.epoch += 1;
                self.allocator =
                    PowerAllocator::new(config(self.cap, self.epoch, self.weight), self.now);
                self.join_all_unchecked();
                self.committed = self.allocator.committed_watts();
            }
            Step::Leave(target) => {
                if self.targets.len() > 1 && self.targets.remove(&name(target)).is_some() {
                    self.handle(PowerEvent::TargetLeft(name(target)));
                }
            }
            Step::Advance(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                self.handle(PowerEvent::Tick);
            }
        }
    }

    /// Joins all targets without the checks, since the new allocator can't know targets that it has
    /// yet to be informed of.
    fn join_all_unchecked(&mut self) {
        if let Some(bug) = self.bug {
            self.allocator.seed(bug);
        }
        for (target, it) in &self.targets {
            let joined = PowerEvent::TargetJoined {
                target: target.clone(),
                idle_watts: IDLE_WATTS,
                full_watts: FULL_WATTS,
                max_draw_watts: it.can_draw(),
            };
            let actions = self.allocator.handle(joined, self.now);
            assert!(actions.is_empty(), "share sent before all targets joined");
        }
    }

    fn demand(&mut self, target: TargetName) {
        let it = &self.targets[&target];
        let (live_watts, deferrable_watts) = (
            watts(it.live),
            WATTS_PER_SEQUENCE * f64::from(it.deferrable),
        );
        self.handle(PowerEvent::DemandReported {
            target,
            live_watts,
            deferrable_watts,
        });
    }

    /// Without further faults the shares respect the cap, and live work gets the power it needs.
    fn settle(&mut self) {
        self.step(Step::Cap(CAP_WATTS));
        for it in self.targets.values_mut() {
            (it.live, it.deferrable, it.running) = (2, 0, 0);
        }
        for _ in 0..60 {
            for target in self.targets.keys().cloned().collect::<Vec<_>>() {
                self.demand(target);
            }
            self.step(Step::Advance(2_500));
            while !self.in_flight.is_empty() {
                self.step(Step::Deliver(0));
            }
        }
        let shares: f64 = self.targets.values().map(|it| it.share).sum();
        assert!(
            shares <= CAP_WATTS + TOLERANCE_WATTS,
            "shares of {shares} W exceed the cap of {CAP_WATTS} W"
        );
        let capacity = self
            .targets
            .values()
            .map(|it| ((it.share - IDLE_WATTS) / WATTS_PER_SEQUENCE).max(0.0));
        let capacity: f64 = capacity.map(f64::floor).sum();
        let needed = f64::from(2 * self.targets.len() as u32);
        assert!(
            capacity >= needed,
            "power for {capacity} of {needed} live sequences: {:?}",
            self.targets
        );
    }
}

fn config(cap_watts: f64, epoch: u64, batch_efficiency: f64) -> PowerConfig {
    PowerConfig {
        cap_watts,
        epoch: Epoch::new(epoch),
        weights: PolicyWeights {
            load_stalls: 1.0,
            batch_efficiency,
        },
        mechanisms: Mechanisms::default(),
    }
}

fn watts(sequences: u32) -> f64 {
    if sequences == 0 {
        return 0.0;
    }
    IDLE_WATTS + WATTS_PER_SEQUENCE * f64::from(sequences)
}

fn name(target: u8) -> TargetName {
    format!("t{target}").as_str().into()
}

struct AllocatorTest;

impl StateMachineTest for AllocatorTest {
    type SystemUnderTest = Simulation;
    type Reference = RandomSteps;

    fn init_test(weight: &f64) -> Simulation {
        Simulation::new(*weight, None)
    }

    fn apply(mut simulation: Simulation, _: &f64, step: Step) -> Simulation {
        simulation.step(step);
        simulation
    }

    fn teardown(mut simulation: Simulation) {
        simulation.settle();
    }
}

prop_state_machine! {
    #![proptest_config(support::proptest_config(400))]

    #[test]
    fn the_power_of_a_site_stays_within_its_cap(sequential 1..120 => AllocatorTest);
}

/// Checks that each seeded bug is detected, and by the check meant for it.
#[rstest]
#[case::raises_before_confirmed(Bug::RaisesBeforeConfirmed, "W committed under")]
#[case::accepts_stale_confirmation(Bug::AcceptsStaleConfirmation, "W can be drawn")]
#[case::forgets_draw_at_takeover(Bug::ForgetsDrawAtTakeover, "W can be drawn")]
fn the_oracle_finds_a_seeded_bug(#[case] bug: Bug, #[case] check: &str) {
    let message =
        support::failure_message(check, RandomSteps::init_state(), step(), |weight, steps| {
            let mut simulation = Simulation::new(weight, Some(bug));
            steps.into_iter().for_each(|step| simulation.step(step));
            simulation.settle();
        });
    assert!(message.contains(check), "{message}");
}
