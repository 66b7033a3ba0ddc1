//! Bounds on the cost of decisions in allocations and bytes, which unlike times do not differ
//! between runs.
//!
//! The times are in `docs/PERFORMANCE.md`; `cargo run --release -p chervilshunt_core --example
//! role_costs` measures them again.

mod support;

use allocation_counter::{AllocationInfo, measure};
use chervilshunt_core::{Owner, OwnerConfig, OwnerEvent, TargetTable, rank_targets};
use chervilshunt_model::{AdapterVersion, AttemptId, Class, Moment, TargetName};
use rstest::rstest;
use support::{answers, at, config, finished, granted, model, owner_with, request};

/// Number of targets at full size.
const TARGETS: usize = 1_600;
/// Adapters loaded in one engine.
const LOADED_ADAPTERS: u32 = 500;
/// Maximum number of adapters that an owner knows.
const KNOWN_ADAPTERS: u32 = 20_000;
/// Number of permits over which costs are averaged.
const ROUNDS: u32 = 256;
/// Maximum number of answers that an owner remembers.
const REMEMBERED_ANSWERS: u32 = 8_192;

fn targets() -> Vec<TargetName> {
    (0..TARGETS)
        .map(|number| TargetName::new(format!("target-{number:04}")))
        .collect()
}

/// Ranking makes one pass over the targets and keeps the best few, so it allocates one list and its
/// result regardless of the number of targets. A list of all scores would add 24 bytes per target.
#[rstest]
#[case::one(1)]
#[case::several(8)]
fn ranking_keeps_no_list_of_all_targets(#[case] count: usize) {
    let table = TargetTable::new(targets());
    let model = model(1);
    let info = measure(|| drop(table.rank(&model, count)));
    assert!(info.count_total <= 2, "{info:?}");
    assert!(info.bytes_total <= 64 * count as u64, "{info:?}");
}

/// Ranking a few targets gives the start of the full ranking.
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
/// The costs are equal to the byte: nothing that grants or releases a permit may allocate a list of
/// all known adapters. Decaying averages are updated when they are read, never by a sweep.
#[test]
fn a_permit_costs_the_same_however_many_adapters_are_known() {
    let (few, many) = (permit_cost(1_000), permit_cost(KNOWN_ADAPTERS));
    assert_eq!(few.count_total, many.count_total, "{few:?}, {many:?}");
    assert_eq!(few.bytes_total, many.bytes_total, "{few:?}, {many:?}");
    // Names are shared, so a round only allocates its actions, its log records and little more. The
    // bound of 24 leaves room for one more action at each of its two events.
    let each = many.count_total / u64::from(ROUNDS);
    assert!(each <= 24, "{each} allocations a permit");
}

/// An owner's state for 500 loaded and 20,000 known adapters stays under 8 MB.
///
/// An instance may use 256 MB and owns up to five targets. At 8 MB each, six sevenths remain for
/// connections and streams. Names are counted too, because each arrives in its own message.
#[test]
fn an_owner_of_full_size_takes_less_than_8_mb() {
    let mut owner = None;
    let info = measure(|| {
        let mut full = full_owner(KNOWN_ADAPTERS);
        // Answers are remembered for a minute, and a draining target gives many.
        full.handle(OwnerEvent::Draining(true), now_of(KNOWN_ADAPTERS));
        for number in KNOWN_ADAPTERS..KNOWN_ADAPTERS + REMEMBERED_ANSWERS {
            let req = request(u128::from(number), Some(model(number)), Class::Live);
            let answered = full.handle(OwnerEvent::PermitRequested(req), now_of(KNOWN_ADAPTERS));
            assert_eq!(answers(&answered).len(), 1);
        }
        owner = Some(full);
    });
    let owner = owner.expect("the owner was created");
    assert_eq!(
        owner.view(now_of(KNOWN_ADAPTERS)).known_adapters,
        KNOWN_ADAPTERS as usize
    );
    assert!(info.bytes_max < 8_000_000, "{info:?}");
}

fn permit_cost(known: u32) -> AllocationInfo {
    let mut owner = full_owner(known);
    let start = now_of(known);
    let models: Vec<AdapterVersion> = (0..16).map(model).collect();
    // Enough rounds for the remembered answers to reach their full size.
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

/// Creates an owner that holds 500 adapters and received a request for each of `known` adapters.
fn full_owner(known: u32) -> Owner {
    let loaded: Vec<AdapterVersion> = (0..LOADED_ADAPTERS).map(model).collect();
    let cfg = OwnerConfig {
        live_queue_bound: 1_000,
        ..config(LOADED_ADAPTERS, 256)
    };
    let mut owner = owner_with(cfg, &loaded);
    for number in 0..known {
        let now = now_of(number);
        if number < LOADED_ADAPTERS {
            round(&mut owner, &model(number), number, now);
            continue;
        }
        // The adapter is not loaded, so the request waits until its caller gives up.
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
