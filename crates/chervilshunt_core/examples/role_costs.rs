//! Measures how the costs of the decision-making roles grow with their size: memory, time, and
//! messages with power shares.
//!
//! Run it with `cargo run --release -p chervilshunt_core --example role_costs`. The results are in
//! `docs/CAPACITY.md`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use chervilshunt_core::{
    BreakerConfig, LoadScheduler, LoadUrgency, Mechanisms, OrderId, Owner, OwnerAction,
    OwnerConfig, OwnerEvent, PermitAnswer, PermitRequest, PolicyWeights, PowerAction,
    PowerAllocator, PowerConfig, PowerEvent, ReleaseOutcome, ReleasedPermit, SchedulerConfig,
    SchedulerEvent, TargetTable, TurnResult,
};
use chervilshunt_model::{
    AdapterName, AdapterVersion, AttemptId, CallerName, Class, Epoch, Fencing, InstanceId, Moment,
    TargetName, VersionName,
};
use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOC: PeakAlloc = PeakAlloc;

/// Numbers of adapters requested at one target.
const ADAPTERS: [usize; 4] = [1_000, 5_000, 10_000, 20_000];
/// Numbers of loads that wait for a turn at one store.
const TURNS: [usize; 4] = [16, 256, 1_024, 4_096];
/// Numbers of targets at one site.
const TARGETS: [usize; 5] = [25, 100, 123, 400, 1_600];
/// Numbers of best targets that a ranking returns.
const RANKED: [usize; 4] = [1, 2, 8, 1_600];
/// Adapter slots and maximum batch of the simulated engine.
const ADAPTER_SLOTS: u32 = 64;
const MAX_BATCH: u32 = 256;
const IDLE_WATTS: f64 = 200.0;
const FULL_WATTS: f64 = 700.0;

fn main() {
    println!("owner: adapters seen  heap KB  us a permit round");
    for adapters in ADAPTERS {
        let (heap, micros) = owner(adapters);
        println!("{adapters:21}  {:7.1}  {micros:17.2}", heap as f64 / 1e3);
    }
    println!("ranking 1,600 targets: best  us");
    for count in RANKED {
        println!("{count:27}  {:5.2}", ranking(count));
    }
    println!("load scheduler: turns waiting  heap B a turn  us to ask  us to end and grant");
    for turns in TURNS {
        let (heap, ask, grant) = scheduler(turns);
        println!("{turns:29}  {:13}  {ask:9.2}  {grant:19.2}", heap / turns);
    }
    println!("power allocator: targets  heap B a target  us a report  us to work out  shares sent");
    for targets in TARGETS {
        let (heap, report, tick, sent) = allocator(targets);
        println!(
            "{targets:24}  {:15}  {report:11.2}  {tick:14.2}  {sent:11.1}",
            heap / targets
        );
    }
}

/// Returns the mean time of ranking 1,600 targets for the best `count`, in microseconds.
fn ranking(count: usize) -> f64 {
    const ROUNDS: usize = 20_000;
    let table = TargetTable::new((0..1_600).map(target));
    let models: Vec<AdapterVersion> = (0..ROUNDS).map(model).collect();
    let started = Instant::now();
    for model in &models {
        black_box(table.rank(model, count));
    }
    micros(started.elapsed(), ROUNDS)
}

/// Returns the heap size in bytes of an owner at which `adapters` adapters were requested, and the
/// mean time of granting and releasing a permit, in microseconds.
fn owner(adapters: usize) -> (usize, f64) {
    const ROUNDS: usize = 20_000;
    let models: Vec<AdapterVersion> = (0..adapters).map(model).collect();
    let before = ALLOC.current_usage();
    let mut owner = Owner::new(owner_config(), Moment::from_millis(1_000));
    let now = |step: usize| Moment::from_millis(1_000 + step as u64);
    settle(&mut owner, OwnerEvent::Tick, now(0));
    settle(&mut owner, OwnerEvent::TakeoverComplete, now(0));
    for (step, model) in models.iter().enumerate() {
        round(&mut owner, model, step as u128, now(step));
    }
    let heap = ALLOC.current_usage() - before;
    let started = Instant::now();
    for step in 0..ROUNDS {
        // Few models, so that permits are measured and not loads.
        let model = &models[step % ADAPTER_SLOTS as usize];
        let step = adapters + step;
        round(&mut owner, model, step as u128, now(step));
    }
    (heap, micros(started.elapsed(), ROUNDS))
}

fn round(owner: &mut Owner, model: &AdapterVersion, attempt: u128, now: Moment) {
    let target = TargetName::from("target-0001");
    let attempt = AttemptId::from_u128(attempt);
    let req = PermitRequest {
        attempt,
        entry: InstanceId::from("instance-001"),
        target: target.clone(),
        model: Some(model.clone()),
        class: Class::Live,
        weight: 1,
        caller: CallerName::from("caller"),
        deadline_ms: 10_000,
        prompt_tokens: 300,
        max_tokens: 400,
        prefix: 0,
        hops: 0,
        avoid: Default::default(),
    };
    settle(owner, OwnerEvent::PermitRequested(req), now);
    let outcome = ReleaseOutcome::Finished {
        tokens: 400,
        first_byte_ms: 100,
        total_ms: 2_000,
    };
    let released = ReleasedPermit {
        attempt,
        target,
        outcome,
    };
    settle(owner, OwnerEvent::PermitReleased(released), now);
}

/// Sends an event to an owner and immediately answers all its requests.
fn settle(owner: &mut Owner, event: OwnerEvent, now: Moment) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        for action in owner.handle(event, now) {
            match action {
                OwnerAction::RequestTurn { order, .. } => events.push(OwnerEvent::TurnGranted {
                    order,
                    queue_wait: Duration::ZERO,
                }),
                OwnerAction::Order(order) => events.push(OwnerEvent::OrderEnded {
                    order: order.id,
                    result: Ok(()),
                }),
                OwnerAction::RequestInventory => events.push(OwnerEvent::Inventory(Vec::new())),
                OwnerAction::Answer { answer, .. } => {
                    let granted = matches!(answer, PermitAnswer::Granted { .. });
                    assert!(granted, "permit not granted: {answer:?}");
                }
                OwnerAction::EndTurn { .. }
                | OwnerAction::RenewTurn { .. }
                | OwnerAction::ConfirmShare { .. }
                | OwnerAction::ReportDemand { .. }
                | OwnerAction::Log(_) => {}
            }
        }
    }
}

fn owner_config() -> OwnerConfig {
    OwnerConfig {
        target: TargetName::from("target-0001"),
        epoch: Epoch::new(1),
        fencing: Fencing::Checks,
        slots: ADAPTER_SLOTS,
        max_batch: MAX_BATCH,
        idle_watts: IDLE_WATTS,
        watts_per_sequence: (FULL_WATTS - IDLE_WATTS) / f64::from(MAX_BATCH),
        share_watts: FULL_WATTS,
        live_queue_bound: 1_000,
        deferrable_queue_bound: 1_000,
        permit_window: Duration::from_secs(5),
        unscheduled_load_interval: Duration::from_secs(10),
        peers: Vec::new(),
        breaker: BreakerConfig::for_target(),
        weights: PolicyWeights::default(),
        mechanisms: Mechanisms::default(),
    }
}

/// Returns a scheduler's heap size in bytes, the mean time of requesting a turn, and the mean time
/// of ending one and granting the next, both in microseconds.
fn scheduler(turns: usize) -> (usize, f64, f64) {
    const GRANTS: usize = 16;
    let cfg = SchedulerConfig {
        concurrency: 1,
        loads_per_second: 1e9,
        turn_timeout: Duration::from_secs(60),
        mechanisms: Mechanisms::default(),
    };
    let names: Vec<TargetName> = (0..turns).map(target).collect();
    let model = model(0);
    let before = ALLOC.current_usage();
    let mut scheduler = LoadScheduler::new(cfg, Moment::from_millis(0));
    let mut granted = Vec::new();
    let mut ask = Duration::ZERO;
    for (order, target) in names.iter().enumerate() {
        let event = SchedulerEvent::TurnAsked {
            target: target.clone(),
            order: OrderId(order as u64),
            model: model.clone(),
            urgency: LoadUrgency {
                class: Some(Class::Live),
                waiters: 1,
                oldest_ms: 5,
            },
        };
        let started = Instant::now();
        granted.extend(scheduler.handle(event, Moment::from_millis(1)));
        ask += started.elapsed();
    }
    let heap = ALLOC.current_usage() - before;
    let mut end = Duration::ZERO;
    for step in 0..GRANTS {
        let Some(chervilshunt_core::SchedulerAction::Grant { target, order, .. }) = granted.pop()
        else {
            panic!("no load was granted although the store is idle and loads wait");
        };
        let event = SchedulerEvent::TurnEnded {
            target,
            order,
            result: TurnResult::Loaded,
        };
        let started = Instant::now();
        granted.extend(scheduler.handle(event, Moment::from_millis(100 + step as u64)));
        end += started.elapsed();
        if granted.is_empty() {
            return (heap, micros(ask, turns), micros(end, step + 1));
        }
    }
    (heap, micros(ask, turns), micros(end, GRANTS))
}

/// Returns an allocator's heap size in bytes, the mean times of a demand report and of a
/// reallocation in microseconds, and the shares sent per round in which every tenth target's demand
/// changes.
fn allocator(targets: usize) -> (usize, f64, f64, f64) {
    const ROUNDS: usize = 40;
    let names: Vec<TargetName> = (0..targets).map(target).collect();
    let before = ALLOC.current_usage();
    let cfg = PowerConfig {
        cap_watts: targets as f64 * (IDLE_WATTS + FULL_WATTS) / 2.0,
        epoch: Epoch::new(1),
        weights: PolicyWeights::default(),
        mechanisms: Mechanisms::default(),
    };
    let mut allocator = PowerAllocator::new(cfg, Moment::from_millis(0));
    for target in &names {
        let event = PowerEvent::TargetJoined {
            target: target.clone(),
            idle_watts: IDLE_WATTS,
            full_watts: FULL_WATTS,
            max_draw_watts: IDLE_WATTS,
        };
        drop(allocator.handle(event, Moment::from_millis(1)));
    }
    let heap = ALLOC.current_usage() - before;
    let (mut report, mut tick, mut reports, mut sent) = (Duration::ZERO, Duration::ZERO, 0, 0);
    for step in 0..ROUNDS {
        let now = Moment::from_millis(1_000 * (step as u64 + 1));
        for target in names.iter().skip(step % 10).step_by(10) {
            let event = PowerEvent::DemandReported {
                target: target.clone(),
                live_watts: IDLE_WATTS + ((step * 37) % 400) as f64,
                deferrable_watts: 50.0,
            };
            let started = Instant::now();
            let shares = allocator.handle(event, now);
            report += started.elapsed();
            reports += 1;
            sent += confirm(&mut allocator, shares, now);
        }
        let now = Moment::from_millis(1_000 * (step as u64 + 1) + 500);
        let started = Instant::now();
        let shares = allocator.handle(PowerEvent::Tick, now);
        tick += started.elapsed();
        sent += confirm(&mut allocator, shares, now);
    }
    let shares = sent as f64 / ROUNDS as f64;
    (heap, micros(report, reports), micros(tick, ROUNDS), shares)
}

/// Confirms `shares` and those sent as a result, and returns their total number.
fn confirm(allocator: &mut PowerAllocator, mut shares: Vec<PowerAction>, now: Moment) -> usize {
    let mut sent = 0;
    while let Some(PowerAction::SetShare {
        target,
        sequence,
        watts,
    }) = shares.pop()
    {
        sent += 1;
        let event = PowerEvent::ShareConfirmed {
            target,
            sequence,
            watts,
        };
        shares.extend(allocator.handle(event, now));
    }
    sent
}

fn target(number: usize) -> TargetName {
    TargetName::new(format!("target-{number:04}"))
}

fn model(number: usize) -> AdapterVersion {
    AdapterVersion {
        adapter: AdapterName::new(format!("adapter-{number:06}")),
        version: VersionName::from("v1"),
    }
}

fn micros(time: Duration, count: usize) -> f64 {
    time.as_secs_f64() * 1e6 / count.max(1) as f64
}
