//! Runs the product's decision logic from `chervilshunt_core` in the simulator, with a fixed short
//! delay for each message.

use std::collections::HashMap;
use std::time::Duration;

use chervilshunt_core::{
    BreakerConfig, EngineOrder, EngineReport, LoadScheduler, LoadUrgency, Mechanisms, OrderFailure,
    OrderId, OrderKind, Owner, OwnerAction, OwnerConfig, OwnerEvent, PowerAction, PowerAllocator,
    PowerConfig, PowerEvent, SchedulerAction, SchedulerConfig, SchedulerEvent, TurnResult,
};
use chervilshunt_model::{AdapterVersion, Epoch, Fencing, InstanceId, Moment, TargetName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployment::{IDLE_WATTS, MAX_BATCH, PLAIN_BATCH, SLOTS, Sizes, WATTS_PER_SEQUENCE};
use super::engine::EngineRefusal;
use super::entry::{Entries, EntryEvent};
use super::world::{DELAY, Input, Notice, World};

/// Maximum number of requests of each class queued at one owner.
const QUEUE_BOUND: usize = 2_000;
/// Time within which a permit must be used.
const PERMIT_WINDOW: Duration = Duration::from_secs(2);
/// Time until an order to an engine that is down fails with an unknown result.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the scheduler treats a turn as lost.
const TURN_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between the load reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Age of a load report when it arrives at the owner.
const REPORT_AGE: Duration = Duration::from_millis(250);
/// Interval between the reports of an engine's prefix cache.
const CACHE_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Upper bound (exclusive) of the random delay of a prefix cache report, in milliseconds.
const CACHE_REPORT_DELAY_MS: u64 = 1_500;
/// Probability that a cached prefix is missing from a report.
const CACHE_LOSS_PROBABILITY: f64 = 0.2;
/// Minimum delay before a wake-up. Without it, a component that repeatedly requests an immediate
/// wake-up would stop simulated time from advancing.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);
/// Delay until owners detect that the engines went down or came back.
const REACHABILITY_DELAY: Duration = Duration::from_millis(500);

/// Event for one of the product's components.
#[derive(Debug)]
pub(crate) enum CoreEvent {
    Entry(EntryEvent),
    Owner(usize, OwnerEvent),
    Scheduler(SchedulerEvent),
    Allocator(PowerEvent),
    Order(usize, EngineOrder),
    OwnerWakes(usize),
    SchedulerWakes,
    AllocatorWakes,
    ReportDue(usize),
    CacheReportDue(usize),
}

/// Owners, load scheduler, power allocator and entry instances of one deployment.
pub(crate) struct CorePolicy {
    owners: Vec<Owner>,
    scheduler: LoadScheduler,
    allocator: PowerAllocator,
    entries: Entries,
    names: NameIndex,
    /// Time of the scheduled wake-up of each component, so that none is scheduled twice.
    owner_wakes: Vec<Option<Moment>>,
    scheduler_wakes: Option<Moment>,
    allocator_wakes: Option<Moment>,
    /// Load orders in progress, by engine and adapter.
    orders: HashMap<(usize, u32), OrderId>,
    /// Adapters of the turns requested from the scheduler, by target and order.
    turns: HashMap<(usize, OrderId), u32>,
    rng: ChaCha8Rng,
}

/// NameIndex that the core uses for targets, adapters and entry instances, with the simulator's indexes.
pub(crate) struct NameIndex {
    pub(crate) targets: Vec<TargetName>,
    pub(crate) adapters: Vec<AdapterVersion>,
    pub(crate) entries: Vec<InstanceId>,
    target_index: HashMap<TargetName, usize>,
    adapter_index: HashMap<AdapterVersion, u32>,
}

impl NameIndex {
    fn new(sizes: &Sizes) -> Self {
        let targets = sizes.target_names();
        let adapters = sizes.adapter_names();
        Self {
            target_index: targets.iter().cloned().zip(0..).collect(),
            adapter_index: adapters.iter().cloned().zip(0..).collect(),
            entries: sizes.entry_names(),
            targets,
            adapters,
        }
    }

    pub(crate) fn target(&self, name: &TargetName) -> usize {
        self.target_index[name]
    }

    pub(crate) fn adapter(&self, name: &AdapterVersion) -> u32 {
        self.adapter_index[name]
    }
}

impl CorePolicy {
    pub(crate) fn new(world: &mut World<CoreEvent>, mechanisms: Mechanisms, seed: u64) -> Self {
        let sizes = world.sizes.clone();
        let names = NameIndex::new(&sizes);
        let share = sizes.cap_watts() / sizes.engines as f64;
        let owners = (0..sizes.targets())
            .map(|i| Owner::new(owner_config(&sizes, &names, i, mechanisms), world.now))
            .collect();
        let scheduler = SchedulerConfig {
            concurrency: sizes.concurrent_loads,
            loads_per_second: sizes.loads_per_second,
            turn_timeout: TURN_TIMEOUT,
            mechanisms,
        };
        let power = PowerConfig {
            cap_watts: sizes.cap_watts(),
            epoch: Epoch::new(1),
            weights: sizes.weights,
            mechanisms,
        };
        let mut policy = Self {
            owners,
            scheduler: LoadScheduler::new(scheduler, world.now),
            allocator: PowerAllocator::new(power, world.now),
            entries: Entries::new(&sizes, &names),
            owner_wakes: vec![None; sizes.targets()],
            scheduler_wakes: None,
            allocator_wakes: None,
            orders: HashMap::new(),
            turns: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed.rotate_left(32)),
            names,
        };
        policy.start(world, share);
        policy
    }

    /// Handles a notice of the simulated world or an event for one of the product's components.
    pub(crate) fn handle(&mut self, world: &mut World<CoreEvent>, input: Input<CoreEvent>) {
        match input {
            Input::Notice(notice) => self.notice(world, notice),
            Input::Event(event) => self.event(world, event),
        }
    }

    fn start(&mut self, world: &mut World<CoreEvent>, share: f64) {
        for target in 0..self.owners.len() {
            self.owner(world, target, OwnerEvent::Inventory(Vec::new()));
            self.owner(world, target, OwnerEvent::TakeoverComplete);
        }
        for engine in 0..world.sizes.engines {
            let joined = PowerEvent::TargetJoined {
                target: self.names.targets[engine].clone(),
                idle_watts: IDLE_WATTS,
                full_watts: full_watts(),
                max_draw_watts: share,
            };
            self.allocator(world, joined);
            // Stagger the reports so that the engines do not all report at the same time.
            let offset = REPORT_INTERVAL * engine as u32 / world.sizes.engines as u32;
            world.schedule_policy_event(world.now + offset, CoreEvent::ReportDue(engine));
            world.schedule_policy_event(world.now + offset * 4, CoreEvent::CacheReportDue(engine));
        }
    }

    fn event(&mut self, world: &mut World<CoreEvent>, event: CoreEvent) {
        match event {
            CoreEvent::Entry(event) => self.entries.handle(world, &self.names, event),
            CoreEvent::Owner(target, event) => self.owner(world, target, event),
            CoreEvent::Scheduler(event) => self.scheduler(world, event),
            CoreEvent::Allocator(event) => self.allocator(world, event),
            CoreEvent::Order(target, order) => self.order(world, target, &order),
            CoreEvent::OwnerWakes(target) => {
                if take_due(&mut self.owner_wakes[target], world.now) {
                    self.owner(world, target, OwnerEvent::Tick);
                }
            }
            CoreEvent::SchedulerWakes => {
                if take_due(&mut self.scheduler_wakes, world.now) {
                    self.scheduler(world, SchedulerEvent::Tick);
                }
            }
            CoreEvent::AllocatorWakes => {
                if take_due(&mut self.allocator_wakes, world.now) {
                    self.allocator(world, PowerEvent::Tick);
                }
            }
            CoreEvent::ReportDue(engine) => self.report(world, engine),
            CoreEvent::CacheReportDue(engine) => self.cache_events(world, engine),
        }
    }

    fn notice(&mut self, world: &mut World<CoreEvent>, notice: Notice) {
        match notice {
            Notice::Arrived(request) => self.entries.arrived(world, &self.names, request),
            Notice::GaveUp(request) => self.entries.gave_up(world, &self.names, request),
            Notice::Finished { target, request } => {
                self.entries.finished(world, &self.names, target, request);
            }
            Notice::CallFailed {
                target,
                request,
                refusal,
            } => {
                self.entries
                    .call_failed(world, &self.names, target, request, refusal);
            }
            Notice::LoadEnded {
                engine,
                adapter,
                loaded,
            } => {
                if let Some(order) = self.orders.remove(&(engine, adapter)) {
                    let result = loaded.then_some(()).ok_or(OrderFailure::Refused);
                    let ended = OwnerEvent::OrderEnded { order, result };
                    world.schedule_policy_event(world.now + DELAY, CoreEvent::Owner(engine, ended));
                }
            }
            Notice::EnginesDown => self.engines_reachable(world, false),
            Notice::EnginesUp => self.engines_reachable(world, true),
            Notice::CapChanged(watts) => self.allocator(world, PowerEvent::CapChanged(watts)),
        }
    }

    fn engines_reachable(&mut self, world: &mut World<CoreEvent>, reachable: bool) {
        let at = world.now + REACHABILITY_DELAY;
        for engine in 0..world.sizes.engines {
            let event = OwnerEvent::Reachable(reachable);
            world.schedule_policy_event(at, CoreEvent::Owner(engine, event));
        }
        if reachable {
            return;
        }
        let mut cut: Vec<_> = self.orders.drain().collect();
        cut.sort_unstable_by_key(|(key, _)| *key);
        for ((engine, _), order) in cut {
            let result = Err(OrderFailure::Unknown);
            let ended = OwnerEvent::OrderEnded { order, result };
            world.schedule_policy_event(world.now + ORDER_TIMEOUT, CoreEvent::Owner(engine, ended));
        }
    }

    fn owner(&mut self, world: &mut World<CoreEvent>, target: usize, event: OwnerEvent) {
        for action in self.owners[target].handle(event, world.now) {
            self.owner_action(world, target, action);
        }
        let wakes = self.owners[target].next_wakeup();
        if let Some(at) = schedule_wake(&mut self.owner_wakes[target], wakes, world.now) {
            world.schedule_policy_event(at, CoreEvent::OwnerWakes(target));
        }
    }

    fn owner_action(&mut self, world: &mut World<CoreEvent>, target: usize, action: OwnerAction) {
        let name = self.names.targets[target].clone();
        let event = match action {
            OwnerAction::Answer {
                attempt, answer, ..
            } => CoreEvent::Entry(EntryEvent::Answered { attempt, answer }),
            OwnerAction::RequestTurn {
                order,
                model,
                urgency,
            } => {
                self.record_turn(world, target, order, &model, urgency);
                CoreEvent::Scheduler(SchedulerEvent::TurnAsked {
                    target: name,
                    order,
                    model,
                    urgency,
                })
            }
            OwnerAction::EndTurn { order, loaded } => {
                self.end_turn(world, target, order);
                let result = match loaded {
                    Some(true) => TurnResult::Loaded,
                    Some(false) => TurnResult::Failed,
                    None => TurnResult::Withdrawn,
                };
                let target = self.names.targets[target].clone();
                CoreEvent::Scheduler(SchedulerEvent::TurnEnded {
                    target,
                    order,
                    result,
                })
            }
            OwnerAction::RenewTurn { order, model } => {
                let target = name;
                CoreEvent::Scheduler(SchedulerEvent::TurnHeld {
                    target,
                    order,
                    model,
                })
            }
            OwnerAction::Order(order) => CoreEvent::Order(target, order),
            OwnerAction::RequestInventory => {
                let held = world
                    .engines
                    .get(target)
                    .map(|engine| engine.ready().collect());
                let held: Vec<u32> = held.unwrap_or_default();
                let held = held
                    .iter()
                    .map(|i| self.names.adapters[*i as usize].clone());
                CoreEvent::Owner(target, OwnerEvent::Inventory(held.collect()))
            }
            OwnerAction::ConfirmShare { sequence, watts } => {
                let target = name;
                CoreEvent::Allocator(PowerEvent::ShareConfirmed {
                    target,
                    sequence,
                    watts,
                })
            }
            OwnerAction::ReportDemand {
                live_watts,
                deferrable_watts,
            } => {
                let target = name;
                CoreEvent::Allocator(PowerEvent::DemandReported {
                    target,
                    live_watts,
                    deferrable_watts,
                })
            }
            OwnerAction::Log(_) => return,
        };
        world.schedule_policy_event(world.now + DELAY, event);
    }

    fn record_turn(
        &mut self,
        world: &mut World<CoreEvent>,
        target: usize,
        order: OrderId,
        model: &AdapterVersion,
        _urgency: LoadUrgency,
    ) {
        let adapter = self.names.adapter(model);
        if self.turns.insert((target, order), adapter).is_none() {
            world.set_load_pending(target, adapter, true);
        }
    }

    fn end_turn(&mut self, world: &mut World<CoreEvent>, target: usize, order: OrderId) {
        if let Some(adapter) = self.turns.remove(&(target, order)) {
            world.set_load_pending(target, adapter, false);
        }
    }

    fn scheduler(&mut self, world: &mut World<CoreEvent>, event: SchedulerEvent) {
        for action in self.scheduler.handle(event, world.now) {
            let SchedulerAction::Grant {
                target,
                order,
                queue_wait,
            } = action;
            let target = self.names.target(&target);
            let event = OwnerEvent::TurnGranted { order, queue_wait };
            world.schedule_policy_event(world.now + DELAY, CoreEvent::Owner(target, event));
        }
        let wakes = self.scheduler.next_wakeup();
        if let Some(at) = schedule_wake(&mut self.scheduler_wakes, wakes, world.now) {
            world.schedule_policy_event(at, CoreEvent::SchedulerWakes);
        }
    }

    fn allocator(&mut self, world: &mut World<CoreEvent>, event: PowerEvent) {
        for action in self.allocator.handle(event, world.now) {
            let PowerAction::SetShare {
                target,
                sequence,
                watts,
            } = action;
            let target = self.names.target(&target);
            let event = OwnerEvent::ShareSet { sequence, watts };
            world.schedule_policy_event(world.now + DELAY, CoreEvent::Owner(target, event));
        }
        let wakes = self.allocator.next_wakeup();
        if let Some(at) = schedule_wake(&mut self.allocator_wakes, wakes, world.now) {
            world.schedule_policy_event(at, CoreEvent::AllocatorWakes);
        }
    }

    fn order(&mut self, world: &mut World<CoreEvent>, target: usize, order: &EngineOrder) {
        let adapter = self.names.adapter(&order.model);
        let (result, delay) = match order.kind {
            OrderKind::Load => match world.load(target, adapter) {
                Ok(()) => {
                    self.orders.insert((target, adapter), order.id);
                    return;
                }
                Err(EngineRefusal::Down) => (Err(OrderFailure::Unknown), ORDER_TIMEOUT),
                Err(_) => (Err(OrderFailure::Refused), DELAY),
            },
            OrderKind::Unload => match world.unload(target, adapter) {
                Err(EngineRefusal::Down) => (Err(OrderFailure::Unknown), ORDER_TIMEOUT),
                Ok(()) | Err(EngineRefusal::AdapterMissing) => (Ok(()), DELAY),
                Err(_) => (Err(OrderFailure::Refused), DELAY),
            },
        };
        let ended = OwnerEvent::OrderEnded {
            order: order.id,
            result,
        };
        world.schedule_policy_event(world.now + delay, CoreEvent::Owner(target, ended));
    }

    fn report(&mut self, world: &mut World<CoreEvent>, engine: usize) {
        world.schedule_policy_event(world.now + REPORT_INTERVAL, CoreEvent::ReportDue(engine));
        if world.engines[engine].is_down() {
            return;
        }
        let report = EngineReport {
            running: world.engines[engine].running() as u32,
            waiting: world.engines[engine].waiting() as u32,
            age: REPORT_AGE,
        };
        let event = CoreEvent::Owner(engine, OwnerEvent::EngineReported(report));
        world.schedule_policy_event(world.now + REPORT_AGE, event);
    }

    fn cache_events(&mut self, world: &mut World<CoreEvent>, engine: usize) {
        world.schedule_policy_event(
            world.now + CACHE_REPORT_INTERVAL,
            CoreEvent::CacheReportDue(engine),
        );
        let delay = Duration::from_millis(self.rng.random_range(0..CACHE_REPORT_DELAY_MS));
        let held = world.engines[engine].prefixes();
        let reported = held
            .filter(|_| !self.rng.random_bool(CACHE_LOSS_PROBABILITY))
            .collect();
        let event = CoreEvent::Owner(engine, OwnerEvent::PrefixesCached(reported));
        world.schedule_policy_event(world.now + delay, event);
    }
}

fn owner_config(
    sizes: &Sizes,
    names: &NameIndex,
    target: usize,
    mechanisms: Mechanisms,
) -> OwnerConfig {
    let is_engine = target < sizes.engines;
    let service = if is_engine {
        0..sizes.engines
    } else {
        sizes.engines..sizes.targets()
    };
    let peers = service.filter(|peer| *peer != target);
    let on_engine = |value: f64| if is_engine { value } else { 0.0 };
    let seconds_per_load = sizes.engines as f64 / sizes.loads_per_second;
    OwnerConfig {
        target: names.targets[target].clone(),
        epoch: Epoch::new(1),
        fencing: Fencing::Checks,
        slots: if is_engine { SLOTS } else { 0 },
        max_batch: if is_engine { MAX_BATCH } else { PLAIN_BATCH },
        idle_watts: on_engine(IDLE_WATTS),
        watts_per_sequence: on_engine(WATTS_PER_SEQUENCE),
        share_watts: on_engine(sizes.cap_watts() / sizes.engines as f64),
        live_queue_bound: QUEUE_BOUND,
        deferrable_queue_bound: QUEUE_BOUND,
        permit_window: PERMIT_WINDOW,
        unscheduled_load_interval: Duration::from_secs_f64(seconds_per_load),
        peers: peers.map(|peer| names.targets[peer].clone()).collect(),
        breaker: BreakerConfig::for_target(),
        weights: sizes.weights,
        mechanisms,
    }
}

fn full_watts() -> f64 {
    WATTS_PER_SEQUENCE.mul_add(f64::from(MAX_BATCH), IDLE_WATTS)
}

/// Records the time of a component's next wake-up and returns it if it must be scheduled.
///
/// Returns `None` if the component requests no wake-up or an earlier one is already scheduled.
fn schedule_wake(
    planned: &mut Option<Moment>,
    wakes: Option<Moment>,
    now: Moment,
) -> Option<Moment> {
    let at = wakes?.max(now + MIN_WAKE_DELAY);
    if planned.is_some_and(|earlier| earlier <= at) {
        return None;
    }
    *planned = Some(at);
    Some(at)
}

/// Returns whether a wake-up is the one scheduled last, and clears it if so.
fn take_due(planned: &mut Option<Moment>, now: Moment) -> bool {
    let due = *planned == Some(now);
    if due {
        *planned = None;
    }
    due
}
