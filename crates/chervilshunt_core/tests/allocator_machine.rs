//! A power allocator under random events, late, doubled and crossed, against an oracle.
//!
//! The owners are a few lines: they take a share if it is the newest, draw what their sequences
//! need, and confirm. Messages lie in a box until a step delivers, doubles or loses them. The
//! oracle is one sum: what all targets can draw, whatever they and the messages do next.

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

const IDLE: f64 = 100.0;
const PER_SEQUENCE: f64 = 10.0;
const BATCH: u32 = 16;
const FULL: f64 = IDLE + PER_SEQUENCE * BATCH as f64;
const TARGETS: u8 = 4;
const CAP: f64 = 700.0;
/// Watts that rounding of sums may amount to.
const ROUNDING: f64 = 1e-6;

#[derive(Clone, Debug)]
enum Step {
    Demand {
        target: u8,
        live: u32,
        deferrable: u32,
    },
    /// A target runs more sequences, as far as its share allows, or fewer.
    Run {
        target: u8,
        sequences: u32,
    },
    Deliver(usize),
    Double(usize),
    Lose(usize),
    Cap(f64),
    /// Another instance takes the allocator's role.
    Takeover,
    Leave(u8),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let demand = (0..TARGETS, 0..=BATCH, 0..=2 * BATCH);
    let run = (0..TARGETS, 0..=BATCH);
    prop_oneof![
        6 => demand.prop_map(|(target, live, deferrable)| Step::Demand { target, live, deferrable }),
        8 => run.prop_map(|(target, sequences)| Step::Run { target, sequences }),
        16 => any::<usize>().prop_map(Step::Deliver),
        3 => any::<usize>().prop_map(Step::Double),
        3 => any::<usize>().prop_map(Step::Lose),
        1 => prop_oneof![Just(0.0), Just(150.0), Just(400.0), Just(CAP), Just(2_000.0)].prop_map(Step::Cap),
        1 => Just(Step::Takeover),
        1 => (0..TARGETS).prop_map(Step::Leave),
        8 => prop_oneof![Just(10), Just(300), Just(2_500), Just(70_000)].prop_map(Step::Advance),
    ]
}

#[derive(Debug)]
struct Chance;

impl ReferenceStateMachine for Chance {
    type State = f64;
    type Transition = Step;

    /// The weight of full batches; the other is one.
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

    /// What it may draw without another message.
    fn can_draw(&self) -> f64 {
        self.share.max(self.drawing())
    }
}

#[derive(Clone, Debug)]
enum Boxed {
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

struct World {
    allocator: PowerAllocator,
    bug: Option<Bug>,
    weight: f64,
    epoch: u64,
    cap: f64,
    now: Moment,
    targets: BTreeMap<TargetName, Target>,
    boxed: Vec<Boxed>,
    /// What the allocator took the targets to be able to draw after the last event: above the cap
    /// it may only fall.
    committed: f64,
}

impl World {
    fn new(weight: f64, bug: Option<Bug>) -> Self {
        let now = Moment::from_millis(500_000);
        let targets = (0..TARGETS).map(|n| {
            let (share, sequence, running) = (CAP / f64::from(TARGETS), 0, 0);
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
        let mut world = Self {
            allocator: PowerAllocator::new(config(CAP, 1, weight), now),
            bug,
            weight,
            epoch: 1,
            cap: CAP,
            now,
            targets: targets.collect(),
            boxed: Vec::new(),
            committed: CAP,
        };
        world.join_all_quietly();
        world
    }

    fn handle(&mut self, event: PowerEvent) {
        for action in self.allocator.handle(event, self.now) {
            let PowerAction::SetShare {
                target,
                sequence,
                watts,
            } = action;
            assert!(
                (0.0..=FULL + ROUNDING).contains(&watts),
                "a share of {watts} W"
            );
            self.boxed.push(Boxed::Share {
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
            committed >= can_draw - ROUNDING,
            "{can_draw} W can be drawn, {committed} W known"
        );
        let allowed = self.cap.max(self.committed);
        assert!(
            committed <= allowed + ROUNDING,
            "{committed} W committed under {allowed} W"
        );
        self.committed = committed;
    }

    fn deliver(&mut self, boxed: Boxed) {
        match boxed {
            Boxed::Share {
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
            Boxed::Confirmation {
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
        self.boxed.push(Boxed::Confirmation {
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
                let allowed = sequences <= it.running || watts(sequences) <= it.share + ROUNDING;
                let over = it.drawing() > it.share;
                if allowed {
                    it.running = sequences;
                }
                if over {
                    self.confirm(name(target));
                }
            }
            Step::Deliver(n) if !self.boxed.is_empty() => {
                let boxed = self.boxed.swap_remove(n % self.boxed.len());
                self.deliver(boxed);
            }
            Step::Double(n) if !self.boxed.is_empty() => {
                let boxed = self.boxed[n % self.boxed.len()].clone();
                self.deliver(boxed);
            }
            Step::Lose(n) if !self.boxed.is_empty() => {
                self.boxed.swap_remove(n % self.boxed.len());
            }
            Step::Deliver(_) | Step::Double(_) | Step::Lose(_) => {}
            Step::Cap(watts) => {
                self.cap = watts;
                self.handle(PowerEvent::CapChanged(watts));
            }
            Step::Takeover => {
                // The links to the old instance are gone, and its messages with them.
                self.boxed.clear();
                self.epoch += 1;
                self.allocator =
                    PowerAllocator::new(config(self.cap, self.epoch, self.weight), self.now);
                self.join_all_quietly();
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

    /// Joins all targets before anything is checked: what the new allocator is about to be told
    /// of, it can't know.
    fn join_all_quietly(&mut self) {
        if let Some(bug) = self.bug {
            self.allocator.seed(bug);
        }
        for (target, it) in &self.targets {
            let joined = PowerEvent::TargetJoined {
                target: target.clone(),
                idle_watts: IDLE,
                full_watts: FULL,
                drawing: it.can_draw(),
            };
            let actions = self.allocator.handle(joined, self.now);
            assert!(actions.is_empty(), "a share before all targets have joined");
        }
    }

    fn demand(&mut self, target: TargetName) {
        let it = &self.targets[&target];
        let (live_watts, deferrable_watts) =
            (watts(it.live), PER_SEQUENCE * f64::from(it.deferrable));
        self.handle(PowerEvent::Demanded {
            target,
            live_watts,
            deferrable_watts,
        });
    }

    /// With all faults over, the cap holds, and what live work needs is there if the cap allows.
    fn settle(&mut self) {
        self.step(Step::Cap(CAP));
        for it in self.targets.values_mut() {
            (it.live, it.deferrable, it.running) = (2, 0, 0);
        }
        for _ in 0..60 {
            for target in self.targets.keys().cloned().collect::<Vec<_>>() {
                self.demand(target);
            }
            self.step(Step::Advance(2_500));
            while !self.boxed.is_empty() {
                self.step(Step::Deliver(0));
            }
        }
        let shares: f64 = self.targets.values().map(|it| it.share).sum();
        assert!(
            shares <= CAP + ROUNDING,
            "shares of {shares} W under {CAP} W"
        );
        let seats = self
            .targets
            .values()
            .map(|it| ((it.share - IDLE) / PER_SEQUENCE).max(0.0));
        let seats: f64 = seats.map(f64::floor).sum();
        let needed = f64::from(2 * self.targets.len() as u32);
        assert!(
            seats >= needed,
            "{seats} seats for {needed} live sequences: {:?}",
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
    IDLE + PER_SEQUENCE * f64::from(sequences)
}

fn name(target: u8) -> TargetName {
    format!("t{target}").as_str().into()
}

struct AllocatorTest;

impl StateMachineTest for AllocatorTest {
    type SystemUnderTest = World;
    type Reference = Chance;

    fn init_test(weight: &f64) -> World {
        World::new(*weight, None)
    }

    fn apply(mut world: World, _: &f64, step: Step) -> World {
        world.step(step);
        world
    }

    fn teardown(mut world: World) {
        world.settle();
    }
}

prop_state_machine! {
    #![proptest_config(support::proptest_config(400))]

    #[test]
    fn the_power_of_a_site_stays_within_its_cap(sequential 1..120 => AllocatorTest);
}

/// Each bug of a kind that a change could bring in is found, and by the check that is meant for it.
#[rstest]
#[case::raises_before_confirmed(Bug::RaisesBeforeConfirmed, "W committed under")]
#[case::takes_crossed_confirmation(Bug::TakesCrossedConfirmation, "W can be drawn")]
#[case::forgets_draw_at_takeover(Bug::ForgetsDrawAtTakeover, "W can be drawn")]
fn the_oracle_finds_a_seeded_bug(#[case] bug: Bug, #[case] check: &str) {
    let message = support::failure_message(check, Chance::init_state(), step(), |weight, steps| {
        let mut world = World::new(weight, Some(bug));
        steps.into_iter().for_each(|step| world.step(step));
        world.settle();
    });
    assert!(message.contains(check), "{message}");
}
