//! Replays of a plain service that is short of room, before instances that each know only what the
//! targets report to them.
//!
//! A target runs its slots' number of requests, queues some more and rejects the rest. A rejected
//! request is sent once more, to another target, and is refused if that rejects it too.

#[path = "support/choosing.rs"]
mod choosing;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use chervilshunt_core::{
    Choice, Dispatch, DispatchConfig, Lane, LoadReport, TargetFacts, TargetRequirements,
};
use chervilshunt_model::{Moment, TargetName, ZoneName};
use choosing::{facts, service};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const INSTANCES: usize = 70;
const TARGETS: [&str; 4] = ["a", "b", "c", "d"];
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Mean time that a request takes, in microseconds.
const WORK_US: u64 = 45_000;
/// Time to a target or back, in microseconds.
const WAY_US: u64 = 1_000;
const SECONDS: u64 = 12;
/// Requests per second that the targets run.
const CAPACITY: f64 = (TARGETS.len() * SLOTS) as f64 * 1e6 / WORK_US as f64;

/// A request on its way, with the targets that have rejected it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    instance: usize,
    tried: Vec<usize>,
    began: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(Request),
    AtTarget(Request, usize),
    Done(Request, usize),
    Answered(Request, usize, (usize, usize)),
    Rejected(Request, usize, (usize, usize)),
}

#[derive(Clone, Debug, Default)]
struct Engine {
    running: usize,
    queue: VecDeque<Request>,
}

impl Engine {
    fn load(&self) -> (usize, usize) {
        (self.running, self.queue.len())
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    served: usize,
    /// Answered within the shorter and the longer objective.
    in_150_ms: usize,
    in_300_ms: usize,
    at_targets: usize,
    second: usize,
    second_rejected: usize,
    held: usize,
}

struct World {
    rng: ChaCha8Rng,
    instances: Vec<Dispatch>,
    engines: Vec<Engine>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
    counts: Counts,
    holds: bool,
}

fn at(us: u64) -> Moment {
    Moment::from_micros(10_000_000 + us)
}

impl World {
    fn new(seed: u64, holds: bool) -> Self {
        let dispatch = || {
            let mut dispatch = Dispatch::new(DispatchConfig::default(), ZoneName::from("here"));
            for name in TARGETS {
                let facts = TargetFacts {
                    slots: SLOTS as u32,
                    ..facts(name, "here", &[])
                };
                dispatch.target_listed(facts, at(0));
            }
            dispatch
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            instances: (0..INSTANCES).map(|_| dispatch()).collect(),
            engines: vec![Engine::default(); TARGETS.len()],
            events: BinaryHeap::new(),
            next: 0,
            counts: Counts::default(),
            holds,
        }
    }

    fn push(&mut self, us: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((us, self.next, event)));
    }

    /// Sends a request if its instance finds a target.
    fn send(&mut self, request: Request, now: u64) {
        let service = service();
        let mut avoid: Vec<TargetName> = Vec::new();
        avoid.extend(
            request
                .tried
                .iter()
                .map(|it| TargetName::from(TARGETS[*it])),
        );
        let dispatch = &mut self.instances[request.instance];
        if !request.tried.is_empty() && self.holds {
            let found = dispatch.second_attempt(&service, &avoid, at(now));
            if found.open == 0 {
                self.counts.held += 1;
                return;
            }
            avoid.extend(found.queued);
        }
        let requirements = TargetRequirements {
            service: &service,
            weights: None,
            lane: Lane::General,
            software: None,
            avoid: &avoid,
            has_transit: false,
        };
        let choice = dispatch.choose(&requirements, || self.rng.random(), at(now));
        let Choice::Send { target, .. } = choice else {
            return;
        };
        dispatch.sent(&target, None);
        let index = TARGETS.iter().position(|it| *it == target.as_str());
        let index = index.expect("a known target");
        self.counts.second += usize::from(!request.tried.is_empty());
        self.push(now + WAY_US, Event::AtTarget(request, index));
    }

    fn begin(&mut self, request: Request, target: usize, now: u64) {
        self.engines[target].running += 1;
        let work = self.rng.random_range(WORK_US / 2..WORK_US * 3 / 2);
        self.push(now + work, Event::Done(request, target));
    }

    fn hear(
        &mut self,
        instance: usize,
        target: usize,
        (running, waiting): (usize, usize),
        now: u64,
    ) {
        let dispatch = &mut self.instances[instance];
        let name = TargetName::from(TARGETS[target]);
        dispatch.ended(&name, None, None);
        let report = LoadReport {
            running: running as u32,
            waiting: waiting as u32,
            slots: SLOTS as u32,
            pace: None,
            is_pace_malformed: false,
        };
        dispatch.load_reported(&name, report, at(now));
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrives(request) => self.send(request, now),
            Event::AtTarget(request, target) => {
                self.counts.at_targets += 1;
                let engine = &mut self.engines[target];
                if engine.running < SLOTS {
                    self.begin(request, target, now);
                } else if engine.queue.len() < QUEUE {
                    engine.queue.push_back(request);
                } else {
                    let load = engine.load();
                    self.push(now + WAY_US, Event::Rejected(request, target, load));
                }
            }
            Event::Done(request, target) => {
                let engine = &mut self.engines[target];
                engine.running -= 1;
                if let Some(next) = engine.queue.pop_front() {
                    self.begin(next, target, now);
                }
                let load = self.engines[target].load();
                self.push(now + WAY_US, Event::Answered(request, target, load));
            }
            Event::Answered(request, target, load) => {
                self.counts.served += 1;
                let took = now - request.began;
                self.counts.in_150_ms += usize::from(took <= 150_000);
                self.counts.in_300_ms += usize::from(took <= 300_000);
                self.hear(request.instance, target, load, now);
            }
            Event::Rejected(mut request, target, load) => {
                self.hear(request.instance, target, load, now);
                let is_second = !request.tried.is_empty();
                self.counts.second_rejected += usize::from(is_second);
                if !is_second {
                    request.tried.push(target);
                    self.send(request, now);
                }
            }
        }
    }
}

/// Plays requests that arrive at a multiple of the capacity.
fn play(seed: u64, load: f64, holds: bool) -> Counts {
    let mut world = World::new(seed, holds);
    let mut now = 0.0;
    while now < (SECONDS * 1_000_000) as f64 {
        now += -1e6 / (CAPACITY * load) * (1.0 - world.rng.random::<f64>()).ln();
        let instance = world.rng.random_range(0..INSTANCES);
        let request = Request {
            instance,
            tried: Vec::new(),
            began: now as u64,
        };
        world.push(now as u64, Event::Arrives(request));
    }
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        world.handle(event, now);
    }
    world.counts
}

/// Guards against second attempts that only add to the load of targets which are all full.
#[rstest]
fn second_attempts_do_not_go_to_full_targets(#[values(1, 2, 3, 4)] seed: u64) {
    let before = play(seed, 1.8, false);
    let now = play(seed, 1.8, true);
    assert!(before.second_rejected > 500, "{before:?}");
    assert!(
        now.second_rejected * 5 <= before.second_rejected * 2,
        "{now:?}, before {before:?}"
    );
    assert!(now.held > 0);
    assert!(now.in_150_ms >= 2 * before.in_150_ms);
    assert!(
        now.served as f64 >= before.served as f64 * 0.98,
        "{now:?}, before {before:?}"
    );
}

/// Guards against requests that are refused in ordinary load because of second attempts that are held.
#[rstest]
fn nothing_is_held_in_ordinary_load(#[values(1, 2, 3, 4)] seed: u64) {
    let counts = play(seed, 0.7, true);
    assert_eq!(counts.held, 0, "{counts:?}");
}
