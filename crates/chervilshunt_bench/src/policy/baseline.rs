//! The baselines: one dispatcher that sees everything at once and decides in the plainest way.
//!
//! They work on the same engines, weight store and cap as the product. They know the state of all
//! targets without delay, which the product does not.

use std::collections::{HashMap, VecDeque};

use chervilshunt_core::rank_targets;
use chervilshunt_model::Moment;

use super::deployment::{IDLE_WATTS, MAX_BATCH, PLAIN_BATCH, SLOTS, WATTS_PER_SEQUENCE};
use super::engine::Engine;
use super::requests::Phase;
use super::world::{DELAY, Input, Notice, World};

/// How a baseline chooses a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// The least outstanding target among those that hold the adapter and have room; if there is
    /// none, the least outstanding of all.
    Holders,
    /// The least outstanding target of all.
    LeastOutstanding,
    /// The target that the adapter's hash names.
    Hash,
}

/// An event that a baseline planned itself.
#[derive(Debug)]
pub(crate) enum BaselineEvent {
    /// A request reaches the dispatcher.
    Reaches(u32),
    /// Leave reaches the entry instance.
    Leave { target: usize, request: u32 },
}

/// A dispatcher with first come, first served queues and least recently used eviction.
#[derive(Debug)]
pub(crate) struct Baseline {
    choice: Choice,
    targets: Vec<Target>,
    /// Loads that wait for their turn, first come first.
    loads: VecDeque<(usize, u32)>,
    loading: u32,
    down: bool,
    hashed: Vec<usize>,
}

/// What the dispatcher knows of one target.
#[derive(Debug, Default)]
struct Target {
    queue: VecDeque<u32>,
    /// Permits outstanding.
    permits: u32,
    adapters: HashMap<u32, AdapterUse>,
}

/// What the dispatcher knows of one adapter at one target.
#[derive(Clone, Copy, Debug, Default)]
struct AdapterUse {
    permits: u32,
    queued: u32,
    used: Moment,
    /// A load waits for its turn or runs.
    asked: bool,
}

impl Baseline {
    pub(crate) fn new(world: &World<BaselineEvent>, choice: Choice) -> Self {
        let names = world.sizes.target_names();
        let engines = &names[..world.sizes.engines];
        let first = |adapter| {
            let ranked = rank_targets(adapter, engines, 1);
            engines
                .iter()
                .position(|name| Some(&name) == ranked.first())
                .unwrap_or_default()
        };
        Self {
            choice,
            targets: names.iter().map(|_| Target::default()).collect(),
            loads: VecDeque::new(),
            loading: 0,
            down: false,
            hashed: world.sizes.adapter_names().iter().map(first).collect(),
        }
    }

    /// Reacts to one event.
    pub(crate) fn handle(&mut self, world: &mut World<BaselineEvent>, input: Input<BaselineEvent>) {
        match input {
            Input::Event(BaselineEvent::Reaches(request)) => self.reaches(world, request),
            Input::Event(BaselineEvent::Leave { target, request }) => {
                world.open_call(target, request);
                return;
            }
            Input::Notice(Notice::Arrived(request)) => {
                world.schedule_policy_event(world.now + DELAY, BaselineEvent::Reaches(request));
                return;
            }
            Input::Notice(Notice::GaveUp(request)) => self.gave_up(world, request),
            Input::Notice(Notice::Finished { target, request }) => {
                self.release(world, target, request);
            }
            Input::Notice(Notice::CallFailed {
                target, request, ..
            }) => {
                self.release(world, target, request);
                self.reaches(world, request);
            }
            Input::Notice(Notice::LoadEnded {
                engine,
                adapter,
                loaded,
            }) => {
                self.load_ended(world, engine, adapter, loaded);
            }
            Input::Notice(Notice::EnginesDown) => self.engines_down(world),
            Input::Notice(Notice::EnginesUp) => self.down = false,
            Input::Notice(Notice::CapChanged(_)) => {}
        }
        self.begin_loads(world);
        self.admit(world);
    }

    fn reaches(&mut self, world: &mut World<BaselineEvent>, request: u32) {
        if world.requests.get(request).phase != Phase::Waiting {
            return;
        }
        let target = self.choose(world, request);
        world.assign(request, target);
        self.targets[target].queue.push_back(request);
        if let Some(adapter) = world.req(request).adapter {
            self.targets[target].adapter(adapter).queued += 1;
            self.ask(world, target, adapter);
        }
    }

    fn choose(&self, world: &World<BaselineEvent>, request: u32) -> usize {
        let engines = world.sizes.engines;
        let Some(adapter) = world.req(request).adapter else {
            return self.least_outstanding(request, engines..self.targets.len(), |_| true);
        };
        let all = self.least_outstanding(request, 0..engines, |_| true);
        match self.choice {
            Choice::Hash => self.hashed[adapter as usize],
            Choice::LeastOutstanding => all,
            Choice::Holders => {
                let has_room = |target: usize| {
                    let held = world.engines[target].occupies(adapter);
                    let asked = self.targets[target].asked(adapter);
                    (held || asked) && self.targets[target].outstanding() < MAX_BATCH as usize
                };
                let holders = (0..engines).any(has_room);
                if holders {
                    self.least_outstanding(request, 0..engines, has_room)
                } else {
                    all
                }
            }
        }
    }

    /// Returns the least outstanding target; ties go round.
    fn least_outstanding(
        &self,
        request: u32,
        range: std::ops::Range<usize>,
        allowed: impl Fn(usize) -> bool,
    ) -> usize {
        let (first, count) = (range.start, range.len());
        let turn = |target: usize| (target + count - request as usize % count) % count;
        range
            .filter(|target| allowed(*target))
            .min_by_key(|target| (self.targets[*target].outstanding(), turn(*target)))
            .unwrap_or(first)
    }

    /// Asks for a load unless the adapter is held, or asked for already.
    fn ask(&mut self, world: &mut World<BaselineEvent>, engine: usize, adapter: u32) {
        let in_use = self.targets[engine].adapter(adapter);
        if in_use.asked || world.engines[engine].holds(adapter) {
            return;
        }
        in_use.asked = true;
        world.set_load_pending(engine, adapter, true);
        self.loads.push_back((engine, adapter));
    }

    fn gave_up(&mut self, world: &World<BaselineEvent>, request: u32) {
        for target in &mut self.targets {
            let Some(at) = target.queue.iter().position(|other| *other == request) else {
                continue;
            };
            target.queue.remove(at);
            if let Some(adapter) = world.req(request).adapter {
                target.adapter(adapter).queued -= 1;
            }
        }
    }

    fn release(&mut self, world: &World<BaselineEvent>, target: usize, request: u32) {
        let target = &mut self.targets[target];
        target.permits -= 1;
        if let Some(adapter) = world.req(request).adapter {
            target.adapter(adapter).permits -= 1;
        }
    }

    fn load_ended(
        &mut self,
        world: &mut World<BaselineEvent>,
        engine: usize,
        adapter: u32,
        loaded: bool,
    ) {
        self.loading -= 1;
        self.targets[engine].adapter(adapter).asked = false;
        world.set_load_pending(engine, adapter, false);
        if !loaded && self.targets[engine].adapter(adapter).queued > 0 {
            self.ask(world, engine, adapter);
        }
    }

    /// Forgets the loads that are lost and asks for all that is waited for.
    fn engines_down(&mut self, world: &mut World<BaselineEvent>) {
        self.down = true;
        self.loading = 0;
        self.loads.clear();
        let mut queued: Vec<(u32, usize)> = Vec::new();
        for (number, target) in self.targets.iter_mut().enumerate() {
            target
                .adapters
                .values_mut()
                .for_each(|in_use| in_use.asked = false);
            queued.extend(target.queue.iter().map(|request| (*request, number)));
        }
        queued.sort_unstable();
        for (request, engine) in queued {
            if let Some(adapter) = world.req(request).adapter {
                self.ask(world, engine, adapter);
            }
        }
    }

    /// Begins the loads whose turn it is; one whose engine has no slot to give lets others pass.
    fn begin_loads(&mut self, world: &mut World<BaselineEvent>) {
        let mut next = 0;
        while self.loading < world.sizes.concurrent_loads && next < self.loads.len() && !self.down {
            let (engine, adapter) = self.loads[next];
            if self.targets[engine].adapter(adapter).queued == 0 {
                self.loads.remove(next);
                self.targets[engine].adapter(adapter).asked = false;
                world.set_load_pending(engine, adapter, false);
            } else if self.make_room(world, engine) && world.load(engine, adapter).is_ok() {
                self.loads.remove(next);
                self.loading += 1;
            } else {
                next += 1;
            }
        }
    }

    /// Frees a slot by evicting the least recently used adapter that nobody uses or waits for.
    fn make_room(&mut self, world: &mut World<BaselineEvent>, engine: usize) -> bool {
        if world.engines[engine].slots_used() < SLOTS as usize {
            return true;
        }
        let target = &self.targets[engine];
        let in_use = |adapter: &u32| target.adapters.get(adapter).copied().unwrap_or_default();
        let victim = world.engines[engine]
            .ready()
            .filter(|adapter| in_use(adapter).permits == 0 && in_use(adapter).queued == 0)
            .min_by_key(|adapter| (in_use(adapter).used, *adapter));
        victim.is_some_and(|adapter| world.unload(engine, adapter).is_ok())
    }

    /// Gives leave first come, first served, wherever the batch and the power have room.
    fn admit(&mut self, world: &mut World<BaselineEvent>) {
        if self.down {
            return;
        }
        while let Some((target, place)) = self.next_admissible(world) {
            let request = self.targets[target]
                .queue
                .remove(place)
                .expect("the place exists");
            self.targets[target].permits += 1;
            if let Some(adapter) = world.req(request).adapter {
                let in_use = self.targets[target].adapter(adapter);
                in_use.queued -= 1;
                in_use.permits += 1;
                in_use.used = world.now;
            }
            world.leave(request, Phase::Sent);
            world
                .schedule_policy_event(world.now + DELAY, BaselineEvent::Leave { target, request });
        }
    }

    /// Finds the request that came first among those that can run now.
    fn next_admissible(&self, world: &World<BaselineEvent>) -> Option<(usize, usize)> {
        let drawn: f64 = (0..world.sizes.engines)
            .map(|i| self.targets[i].watts(0))
            .sum();
        let fits = |target: usize| {
            if target >= world.sizes.engines {
                return self.targets[target].permits < PLAIN_BATCH;
            }
            let more = self.targets[target].watts(1) - self.targets[target].watts(0);
            self.targets[target].permits < MAX_BATCH && drawn + more <= world.meter.cap()
        };
        (0..self.targets.len())
            .filter(|target| fits(*target))
            .filter_map(|target| {
                let ready = |request: &u32| is_ready(world, target, *request);
                let place = self.targets[target].queue.iter().position(ready)?;
                Some((self.targets[target].queue[place], target, place))
            })
            .min()
            .map(|(_, target, place)| (target, place))
    }
}

impl Target {
    fn adapter(&mut self, adapter: u32) -> &mut AdapterUse {
        self.adapters.entry(adapter).or_default()
    }

    fn asked(&self, adapter: u32) -> bool {
        self.adapters
            .get(&adapter)
            .is_some_and(|in_use| in_use.asked)
    }

    fn outstanding(&self) -> usize {
        self.queue.len() + self.permits as usize
    }

    /// Returns the power of a step with all permits and some more, in watts.
    fn watts(&self, more: u32) -> f64 {
        let sequences = self.permits + more;
        if sequences == 0 {
            return 0.0;
        }
        WATTS_PER_SEQUENCE.mul_add(f64::from(sequences), IDLE_WATTS)
    }
}

fn is_ready(world: &World<BaselineEvent>, target: usize, request: u32) -> bool {
    let engine: Option<&Engine> = world.engines.get(target);
    match (engine, world.req(request).adapter) {
        (Some(engine), Some(adapter)) => engine.holds(adapter),
        _ => true,
    }
}
