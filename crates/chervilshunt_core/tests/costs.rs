//! What deciding costs, in allocations and bytes: counts, as times differ from run to run.
//!
//! The times are in `docs/PERFORMANCE.md`; `cargo run --release -p chervilshunt_core --example
//! role_costs` takes them anew.

mod support;

use allocation_counter::{AllocationInfo, measure};
use chervilshunt_core::{Owner, OwnerConfig, OwnerEvent, TargetTable, rank_targets};
use chervilshunt_model::{AdapterVersion, AttemptId, Class, Moment, TargetName};
use rstest::rstest;
use support::{answers, at, config, finished, granted, model, owner_with, request};

/// Targets at full size.
const TARGETS: usize = 1_600;
/// Adapters that one engine holds in the test of memory.
const RESIDENT: u32 = 500;
/// Adapters that an owner knows at most.
const KNOWN: u32 = 20_000;
/// Permits over which costs are averaged.
const ROUNDS: u32 = 256;
/// Answers that an owner remembers at most.
const ANSWERS: u32 = 8_192;

fn targets() -> Vec<TargetName> {
    (0..TARGETS)
        .map(|number| TargetName::new(format!("target-{number:04}")))
        .collect()
}

/// Ranking goes over the targets once and keeps the best few: one list and its result, whatever
/// the number of targets. A list of all scores would show as 24 bytes a target.
#[rstest]
#[case::one(1)]
#[case::a_spread(8)]
fn ranking_keeps_no_list_of_all_targets(#[case] count: usize) {
    let table = TargetTable::new(targets());
    let model = model(1);
    let info = measure(|| drop(table.rank(&model, count)));
    assert!(info.count_total <= 2, "{info:?}");
    assert!(info.bytes_total <= 64 * count as u64, "{info:?}");
}

/// The best few are those that sorting all would give.
#[rstest]
fn ranking_a_few_agrees_with_ranking_all(#[values(0, 1, 2, 8, 1_599, 1_600, 9_999)] count: usize) {
    let targets = targets();
    let table = TargetTable::new(targets.clone());
    for number in 0..20 {
        let model = model(number);
        let all = rank_targets(&model, &targets, usize::MAX);
        assert_eq!(all.len(), TARGETS);
        let few = &all[..count.min(TARGETS)];
        assert_eq!(table.rank(&model, count), few);
        for own in [0, 1, 800, 1_598, 1_599] {
            let round = all[own..].iter().chain(&all[..own]).take(count);
            let round: Vec<&TargetName> = round.copied().collect();
            assert_eq!(table.rank_from(&model, all[own], count), round);
        }
    }
}

/// A permit costs the same whether the owner knows a thousand adapters or twenty thousand.
///
/// Equal to the byte: nothing that grants or releases a permit may make a list of the adapters
/// known. What fades is brought up to date where it is looked at, and by no sweep.
#[test]
fn a_permit_costs_the_same_however_many_adapters_are_known() {
    let (few, many) = (permit_cost(1_000), permit_cost(KNOWN));
    assert_eq!(few.count_total, many.count_total, "{few:?}, {many:?}");
    assert_eq!(few.bytes_total, many.bytes_total, "{few:?}, {many:?}");
    // Names are shared, so a round costs its actions, its log lines and little more; 24 leaves
    // room for one action more at each of its two events.
    let each = many.count_total / u64::from(ROUNDS);
    assert!(each <= 24, "{each} allocations a permit");
}

/// An owner's state for 500 adapters loaded and 20,000 known stays under 8 MB.
///
/// An instance may spend 256 MB and owns up to five targets: 8 MB leave six sevenths of it to
/// connections and streams. The names are counted too, as each comes in a message of its own.
#[test]
fn an_owner_of_full_size_takes_less_than_8_mb() {
    let mut owner = None;
    let info = measure(|| {
        let mut full = full_owner(KNOWN);
        // Answers are remembered for a minute, and a target that drains gives many.
        full.handle(OwnerEvent::Draining(true), now_of(KNOWN));
        for number in KNOWN..KNOWN + ANSWERS {
            let req = request(u128::from(number), Some(model(number)), Class::Live);
            let answered = full.handle(OwnerEvent::PermitRequested(req), now_of(KNOWN));
            assert_eq!(answers(&answered).len(), 1);
        }
        owner = Some(full);
    });
    let owner = owner.expect("it was made");
    assert_eq!(owner.view(now_of(KNOWN)).known_adapters, KNOWN as usize);
    assert!(info.bytes_max < 8_000_000, "{info:?}");
}

fn permit_cost(known: u32) -> AllocationInfo {
    let mut owner = full_owner(known);
    let start = now_of(known);
    let models: Vec<AdapterVersion> = (0..16).map(model).collect();
    // Far enough along that what is remembered of answers has its full size, and grows no more.
    for step in 0..16_384 {
        round(
            &mut owner,
            &models[step as usize % models.len()],
            known + step,
            start,
        );
    }
    measure(|| {
        for step in 0..ROUNDS {
            let model = &models[step as usize % models.len()];
            round(&mut owner, model, known + 16_384 + step, start);
        }
    })
}

/// An owner that holds 500 adapters, and was asked for each of `known` once.
fn full_owner(known: u32) -> Owner {
    let resident: Vec<AdapterVersion> = (0..RESIDENT).map(model).collect();
    let cfg = OwnerConfig {
        live_queue_bound: 1_000,
        ..config(RESIDENT, 256)
    };
    let mut owner = owner_with(cfg, &resident);
    for number in 0..known {
        let now = now_of(number);
        if number < RESIDENT {
            round(&mut owner, &model(number), number, now);
            continue;
        }
        // It is not loaded, so it waits; its caller gives up at once.
        let req = request(u128::from(number), Some(model(number)), Class::Live);
        owner.handle(OwnerEvent::PermitRequested(req), now);
        owner.handle(support::release(u128::from(number), finished()), now);
    }
    owner
}

fn round(owner: &mut Owner, model: &AdapterVersion, attempt: u32, now: Moment) {
    let attempt = u128::from(attempt);
    let req = request(attempt, Some(model.clone()), Class::Live);
    let actions = owner.handle(OwnerEvent::PermitRequested(req), now);
    let permits = granted(&actions);
    assert_eq!(permits.len(), 1, "{actions:?}");
    assert_eq!(permits[0].attempt, AttemptId::from_u128(attempt));
    owner.handle(support::release(attempt, finished()), now);
}

fn now_of(number: u32) -> Moment {
    at(1_000 + u64::from(number))
}
