//! Baseline policies: one central dispatcher with simple placement and eviction rules.
//!
//! The baselines run on the same engines, weight store and power cap as the product. Unlike the
//! product, they know the state of all targets without delay.

use std::collections::{HashMap, VecDeque};

use chervilshunt_core::rank_targets;
use chervilshunt_model::Moment;

use super::deployment::{IDLE_WATTS, MAX_BATCH, PLAIN_BATCH, SLOTS, WATTS_PER_SEQUENCE};
use super::engine::SimulatedEngine;
use super::requests::Phase;
use super::world::{DELAY, Input, Notice, World};

/// Rule by which a baseline chooses a target for a request to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementRule {
    /// The target with the fewest outstanding requests among those that hold, load or have
    /// requested the adapter and have fewer than `MAX_BATCH` outstanding; if there is none, the
    /// engine with the fewest outstanding requests.
    Holders,
    /// The engine with the fewest outstanding requests.
    LeastOutstanding,
    /// The engine that ranks first for the adapter by hash.
    Hash,
}

/// Event that a baseline schedules for itself.
#[derive(Debug)]
pub(crate) enum BaselineEvent {
    /// A request arrives at the dispatcher.
    ReachedDispatcher(u32),
    /// The permit for a request arrives at its entry instance.
    PermitGranted { target: usize, request: u32 },
}

/// Central dispatcher with FIFO queues and LRU eviction.
#[derive(Debug)]
pub(crate) struct Baseline {
    choice: PlacementRule,
    targets: Vec<Target>,
    /// Queued loads as `(engine, adapter)`, in FIFO order.
    loads: VecDeque<(usize, u32)>,
    /// Loads in progress.
    loading: u32,
    /// Whether the engines are down.
    down: bool,
    /// For each adapter, the engine that ranks first by hash.
    hashed: Vec<usize>,
}

/// Dispatcher's state of one target.
#[derive(Debug, Default)]
struct Target {
    queue: VecDeque<u32>,
    /// Outstanding permits.
    permits: u32,
    adapters: HashMap<u32, AdapterUse>,
}

/// Dispatcher's state of one adapter at one target.
#[derive(Clone, Copy, Debug, Default)]
struct AdapterUse {
    permits: u32,
    queued: u32,
    used: Moment,
    /// Whether a load of the adapter is queued or in progress.
    load_requested: bool,
}

impl Baseline {
    pub(crate) fn new(world: &World<BaselineEvent>, choice: PlacementRule) -> Self {
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

    /// Handles one event, then starts loads and sends requests that became possible.
    pub(crate) fn handle(&mut self, world: &mut World<BaselineEvent>, input: Input<BaselineEvent>) {
        match input {
            Input::Event(BaselineEvent::ReachedDispatcher(request)) => self.enqueue(world, request),
            Input::Event(BaselineEvent::PermitGranted { target, request }) => {
                world.open_call(target, request);
                return;
            }
            Input::Notice(Notice::Arrived(request)) => {
                world.schedule_policy_event(
                    world.now + DELAY,
                    BaselineEvent::ReachedDispatcher(request),
                );
                return;
            }
            Input::Notice(Notice::GaveUp(request)) => self.remove_queued(world, request),
            Input::Notice(Notice::Finished { target, request }) => {
                self.release(world, target, request);
            }
            Input::Notice(Notice::CallFailed {
                target, request, ..
            }) => {
                self.release(world, target, request);
                self.enqueue(world, request);
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

    fn enqueue(&mut self, world: &mut World<BaselineEvent>, request: u32) {
        if world.requests.get(request).phase != Phase::Waiting {
            return;
        }
        let target = self.choose(world, request);
        world.assign(request, target);
        self.targets[target].queue.push_back(request);
        if let Some(adapter) = world.req(request).adapter {
            self.targets[target].adapter(adapter).queued += 1;
            self.request_load(world, target, adapter);
        }
    }

    fn choose(&self, world: &World<BaselineEvent>, request: u32) -> usize {
        let engines = world.sizes.engines;
        let Some(adapter) = world.req(request).adapter else {
            return self.least_outstanding(request, engines..self.targets.len(), |_| true);
        };
        let all = self.least_outstanding(request, 0..engines, |_| true);
        match self.choice {
            PlacementRule::Hash => self.hashed[adapter as usize],
            PlacementRule::LeastOutstanding => all,
            PlacementRule::Holders => {
                let has_room = |target: usize| {
                    let held = world.engines[target].occupies(adapter);
                    let requested = self.targets[target].load_requested(adapter);
                    (held || requested) && self.targets[target].outstanding() < MAX_BATCH as usize
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

    /// Returns the allowed target with the fewest outstanding requests; ties are broken round-robin
    /// by request number.
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

    /// Queues a load unless the engine holds the adapter or its load is already queued or in
    /// progress.
    fn request_load(&mut self, world: &mut World<BaselineEvent>, engine: usize, adapter: u32) {
        let in_use = self.targets[engine].adapter(adapter);
        if in_use.load_requested || world.engines[engine].holds(adapter) {
            return;
        }
        in_use.load_requested = true;
        world.set_load_pending(engine, adapter, true);
        self.loads.push_back((engine, adapter));
    }

    fn remove_queued(&mut self, world: &World<BaselineEvent>, request: u32) {
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
        self.targets[engine].adapter(adapter).load_requested = false;
        world.set_load_pending(engine, adapter, false);
        if !loaded && self.targets[engine].adapter(adapter).queued > 0 {
            self.request_load(world, engine, adapter);
        }
    }

    /// Drops all queued and running loads, and queues loads again for the adapters that queued
    /// requests need.
    fn engines_down(&mut self, world: &mut World<BaselineEvent>) {
        self.down = true;
        self.loading = 0;
        self.loads.clear();
        let mut queued: Vec<(u32, usize)> = Vec::new();
        for (number, target) in self.targets.iter_mut().enumerate() {
            target
                .adapters
                .values_mut()
                .for_each(|in_use| in_use.load_requested = false);
            queued.extend(target.queue.iter().map(|request| (*request, number)));
        }
        queued.sort_unstable();
        for (request, engine) in queued {
            if let Some(adapter) = world.req(request).adapter {
                self.request_load(world, engine, adapter);
            }
        }
    }

    /// Starts queued loads in FIFO order up to the concurrency limit.
    ///
    /// A load whose engine has no slot that can be freed is skipped and stays queued; a load that
    /// no queued request needs any more is dropped.
    fn begin_loads(&mut self, world: &mut World<BaselineEvent>) {
        let mut next = 0;
        while self.loading < world.sizes.concurrent_loads && next < self.loads.len() && !self.down {
            let (engine, adapter) = self.loads[next];
            if self.targets[engine].adapter(adapter).queued == 0 {
                self.loads.remove(next);
                self.targets[engine].adapter(adapter).load_requested = false;
                world.set_load_pending(engine, adapter, false);
            } else if self.free_slot(world, engine) && world.load(engine, adapter).is_ok() {
                self.loads.remove(next);
                self.loading += 1;
            } else {
                next += 1;
            }
        }
    }

    /// Ensures a free slot by evicting, if necessary, the least recently used adapter that has no
    /// outstanding permits or queued requests. Returns whether there is a free slot.
    fn free_slot(&mut self, world: &mut World<BaselineEvent>, engine: usize) -> bool {
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

    /// Grants permits in FIFO order wherever the target's batch and the power cap have capacity.
    fn admit(&mut self, world: &mut World<BaselineEvent>) {
        if self.down {
            return;
        }
        while let Some((target, position)) = self.next_admissible(world) {
            let request = self.targets[target]
                .queue
                .remove(position)
                .expect("the position was found in this queue");
            self.targets[target].permits += 1;
            if let Some(adapter) = world.req(request).adapter {
                let in_use = self.targets[target].adapter(adapter);
                in_use.queued -= 1;
                in_use.permits += 1;
                in_use.used = world.now;
            }
            world.leave(request, Phase::Sent);
            world.schedule_policy_event(
                world.now + DELAY,
                BaselineEvent::PermitGranted { target, request },
            );
        }
    }

    /// Finds the earliest request that can run now, and returns its target and its position in the
    /// target's queue.
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
                let position = self.targets[target].queue.iter().position(ready)?;
                Some((self.targets[target].queue[position], target, position))
            })
            .min()
            .map(|(_, target, position)| (target, position))
    }
}

impl Target {
    fn adapter(&mut self, adapter: u32) -> &mut AdapterUse {
        self.adapters.entry(adapter).or_default()
    }

    fn load_requested(&self, adapter: u32) -> bool {
        self.adapters
            .get(&adapter)
            .is_some_and(|in_use| in_use.load_requested)
    }

    fn outstanding(&self) -> usize {
        self.queue.len() + self.permits as usize
    }

    /// Returns the power draw, in watts, of a step that runs all permits and `more` additional
    /// sequences.
    fn watts(&self, more: u32) -> f64 {
        let sequences = self.permits + more;
        if sequences == 0 {
            return 0.0;
        }
        WATTS_PER_SEQUENCE.mul_add(f64::from(sequences), IDLE_WATTS)
    }
}

fn is_ready(world: &World<BaselineEvent>, target: usize, request: u32) -> bool {
    let engine: Option<&SimulatedEngine> = world.engines.get(target);
    match (engine, world.req(request).adapter) {
        (Some(engine), Some(adapter)) => engine.holds(adapter),
        _ => true,
    }
}
