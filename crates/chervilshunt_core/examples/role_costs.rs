//! Measures what the deciding roles cost by their size: memory, time, and messages of power shares.
//!
//! Run it with `cargo run --release -p chervilshunt_core --example role_costs`. The figures are in
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

/// Adapters that ask at one target.
const ADAPTERS: [usize; 4] = [1_000, 5_000, 10_000, 20_000];
/// Loads that wait for a turn at one store.
const TURNS: [usize; 4] = [16, 256, 1_024, 4_096];
/// Targets of one site.
const TARGETS: [usize; 5] = [25, 100, 123, 400, 1_600];
/// Targets that a ranking is asked for.
const BEST: [usize; 4] = [1, 2, 8, 1_600];
/// Slots and sequences of the engine that is measured.
const SLOTS: u32 = 64;
const BATCH: u32 = 256;
const IDLE_WATTS: f64 = 200.0;
const FULL_WATTS: f64 = 700.0;

fn main() {
    println!("owner: adapters seen  heap KB  us a permit round");
    for adapters in ADAPTERS {
        let (heap, micros) = owner(adapters);
        println!("{adapters:21}  {:7.1}  {micros:17.2}", heap as f64 / 1e3);
    }
    println!("ranking 1,600 targets: best  us");
    for count in BEST {
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

/// Returns the time of ranking 1,600 targets for the best `count`.
fn ranking(count: usize) -> f64 {
    const ROUNDS: usize = 20_000;
    let table = TargetTable::new((0..1_600).map(target));
    let models: Vec<AdapterVersion> = (0..ROUNDS).map(model).collect();
    let begun = Instant::now();
    for model in &models {
        black_box(table.rank(model, count));
    }
    micros(begun.elapsed(), ROUNDS)
}

/// Returns the heap of an owner at which so many adapters have asked, and the time of a round.
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
    let begun = Instant::now();
    for step in 0..ROUNDS {
        // Few models, so that the time is that of a permit and not of a load.
        let model = &models[step % SLOTS as usize];
        let step = adapters + step;
        round(&mut owner, model, step as u128, now(step));
    }
    (heap, micros(begun.elapsed(), ROUNDS))
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

/// Hands an event to an owner, and answers at once whatever it asks for.
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
                    assert!(granted, "no permit: {answer:?}");
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
        slots: SLOTS,
        max_batch: BATCH,
        idle_watts: IDLE_WATTS,
        watts_per_sequence: (FULL_WATTS - IDLE_WATTS) / f64::from(BATCH),
        share_watts: FULL_WATTS,
        live_queue_bound: 1_000,
        deferrable_queue_bound: 1_000,
        permit_window: Duration::from_secs(5),
        unscheduled_load_interval: Duration::from_secs(10),
        peers: Vec::new(),
        breaker: BreakerConfig::of_target(),
        weights: PolicyWeights::default(),
        mechanisms: Mechanisms::default(),
    }
}

/// Returns a scheduler's heap, the time to ask for a turn, and the time to end one and grant the next.
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
        let begun = Instant::now();
        granted.extend(scheduler.handle(event, Moment::from_millis(1)));
        ask += begun.elapsed();
    }
    let heap = ALLOC.current_usage() - before;
    let mut end = Duration::ZERO;
    for step in 0..GRANTS {
        let Some(chervilshunt_core::SchedulerAction::Grant { target, order, .. }) = granted.pop()
        else {
            panic!("the store is free and loads wait, but none was granted");
        };
        let event = SchedulerEvent::TurnEnded {
            target,
            order,
            result: TurnResult::Loaded,
        };
        let begun = Instant::now();
        granted.extend(scheduler.handle(event, Moment::from_millis(100 + step as u64)));
        end += begun.elapsed();
        if granted.is_empty() {
            return (heap, micros(ask, turns), micros(end, step + 1));
        }
    }
    (heap, micros(ask, turns), micros(end, GRANTS))
}

/// Returns an allocator's heap, the time of a report and of working the shares out, and the shares
/// that it sends each time when every tenth target's demand has changed.
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
            drawing: IDLE_WATTS,
        };
        drop(allocator.handle(event, Moment::from_millis(1)));
    }
    let heap = ALLOC.current_usage() - before;
    let (mut report, mut tick, mut reports, mut sent) = (Duration::ZERO, Duration::ZERO, 0, 0);
    for step in 0..ROUNDS {
        let now = Moment::from_millis(1_000 * (step as u64 + 1));
        for target in names.iter().skip(step % 10).step_by(10) {
            let event = PowerEvent::Demanded {
                target: target.clone(),
                live_watts: IDLE_WATTS + ((step * 37) % 400) as f64,
                deferrable_watts: 50.0,
            };
            let begun = Instant::now();
            let shares = allocator.handle(event, now);
            report += begun.elapsed();
            reports += 1;
            sent += confirm(&mut allocator, shares, now);
        }
        let now = Moment::from_millis(1_000 * (step as u64 + 1) + 500);
        let begun = Instant::now();
        let shares = allocator.handle(PowerEvent::Tick, now);
        tick += begun.elapsed();
        sent += confirm(&mut allocator, shares, now);
    }
    let shares = sent as f64 / ROUNDS as f64;
    (heap, micros(report, reports), micros(tick, ROUNDS), shares)
}

/// Confirms shares, and those that follow from it, and returns how many there were.
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
