//! The owner's loads under a flood of deferrable requests.

mod support;

use std::time::Duration;

use chervilshunt_core::{Owner, OwnerAction, OwnerEvent, PermitAnswer, RefusalReason};
use chervilshunt_model::{AdapterVersion, AttemptId, Class, Moment};
use rstest::rstest;
use support::{answers, at, config, model, owner_with, request};

fn ask(owner: &mut Owner, attempt: u128, number: u32, class: Class, now: Moment) {
    let mut req = request(attempt, Some(model(number)), class);
    req.deadline_ms = 3_600_000;
    owner.handle(OwnerEvent::PermitRequested(req), now);
}

/// Returns the adapters for which the owner requests a turn until a time.
fn turns_requested_until(owner: &mut Owner, from: Moment, until: Moment) -> Vec<AdapterVersion> {
    let mut asked = Vec::new();
    let mut now = from;
    while now < until {
        for action in owner.handle(OwnerEvent::Tick, now) {
            if let OwnerAction::RequestTurn { model, .. } = action {
                asked.push(model);
            }
        }
        now = now + Duration::from_millis(500);
    }
    asked.sort();
    asked.dedup();
    asked
}

/// Guards against loads for deferrable work that delay live requests without a gain. The batch is
/// full, and deferrable requests for a loaded adapter wait for batch capacity; a load for more
/// deferrable work would take a slot and a turn from live work. A request that has waited for
/// minutes gets its load all the same, since other deferrable work may never run out.
#[rstest]
#[case::none_is_ready(0, 60, true)]
#[case::few_are_ready(3, 60, true)]
#[case::enough_are_ready(4, 60, false)]
#[case::enough_are_ready_but_it_is_old(4, 330, true)]
fn loads_nothing_for_deferrable_work_while_enough_is_ready(
    #[case] ready: u32,
    #[case] seconds: u64,
    #[case] loads: bool,
) {
    let mut cfg = config(32, 1);
    cfg.deferrable_queue_bound = 100;
    let mut owner = owner_with(cfg, &[model(1)]);
    ask(&mut owner, 1, 1, Class::Live, at(10));
    for number in 0..ready {
        let attempt = u128::from(number) + 10;
        ask(&mut owner, attempt, 1, Class::Deferrable, at(20));
    }
    ask(&mut owner, 100, 2, Class::Deferrable, at(30));
    let asked = turns_requested_until(&mut owner, at(500), at(seconds * 1_000));
    assert_eq!(asked, Vec::from_iter(loads.then(|| model(2))));
}

/// Guards against live requests that wait for slots held by deferrable work. Deferrable requests
/// for many adapters arrive at an engine without adapters. Each load in progress for them alone
/// counts against a sixteenth of the slots, so that the rest stays free for live work.
#[rstest]
#[case::small(8, 1)]
#[case::usual(32, 2)]
#[case::large(64, 4)]
fn deferrable_work_alone_takes_few_slots(#[case] slots: u32, #[case] most: usize) {
    let mut cfg = config(slots, 64);
    cfg.deferrable_queue_bound = 100;
    let mut owner = owner_with(cfg, &[]);
    for number in 0..20 {
        let attempt = u128::from(number) + 10;
        ask(&mut owner, attempt, number, Class::Deferrable, at(20));
    }
    let asked = turns_requested_until(&mut owner, at(500), at(60_000));
    assert_eq!(asked.len(), most);
}

/// Guards against live requests that wait for seconds until a deferrable answer ends. In a flood
/// all deferrable requests have waited for minutes. If each took a free batch slot whenever no live
/// request waits, they would fill the slots reserved for live work. They get one of these only from
/// time to time, which is enough for each to be served eventually.
#[rstest]
#[case::young(60, 0)]
#[case::at_once(121, 1)]
#[case::after_a_pause(137, 2)]
#[case::after_two_pauses(153, 3)]
fn old_deferrable_work_leaves_batch_slots_for_live_work(
    #[case] seconds: u64,
    #[case] taken: usize,
) {
    let mut cfg = config(4, 4);
    cfg.deferrable_queue_bound = 100;
    cfg.weights.load_stalls = 10.0;
    let mut owner = owner_with(cfg, &[model(1)]);
    ask(&mut owner, 1, 1, Class::Live, at(10));
    for number in 0..8 {
        ask(&mut owner, 10 + number, 1, Class::Deferrable, at(20));
    }
    for half in 1..=seconds * 2 {
        owner.handle(OwnerEvent::Tick, at(half * 500));
    }
    let view = owner.view(at(seconds * 1_000));
    assert_eq!(view.deferrable_permits, taken);
}

/// Guards against a refusal long before the deadline although the load was still to come. The
/// weight store is overloaded, and newer requests get their loads first. Refusing the overtaken
/// requests early does not reduce the work: their callers retry, become the newest and overtake the
/// others. A request therefore waits until its load or its deadline, and is refused promptly at the
/// deadline.
#[rstest]
#[case::a_quarter_of_its_time(16_000, None)]
#[case::nearly_all_of_its_time(59_500, None)]
#[case::all_of_its_time(60_100, Some(RefusalReason::Deadline))]
fn overtaken_requests_wait_until_their_deadline(
    #[case] millis: u64,
    #[case] expected: Option<RefusalReason>,
) {
    let mut owner = owner_with(config(2, 4), &[]);
    let first = request(1, Some(model(1)), Class::Live);
    let asked = owner.handle(OwnerEvent::PermitRequested(first), at(10));
    let order = asked.iter().find_map(|action| match action {
        OwnerAction::RequestTurn { order, .. } => Some(*order),
        _ => None,
    });
    let second = request(2, Some(model(2)), Class::Live);
    owner.handle(OwnerEvent::PermitRequested(second), at(20));
    let turn = OwnerEvent::TurnGranted {
        order: order.expect("a turn is requested"),
        queue_wait: Duration::from_secs(120),
    };
    owner.handle(turn, at(30));
    let mut refused = None;
    for tick in 1..=millis / 100 {
        for (attempt, answer) in answers(&owner.handle(OwnerEvent::Tick, at(tick * 100))) {
            if let PermitAnswer::Refused { reason, .. } = answer
                && attempt == AttemptId::from_u128(2)
            {
                refused = Some(reason);
            }
        }
    }
    assert_eq!(refused, expected);
}
