//! Tests of the owner's answers to single events.

mod support;

use std::time::Duration;

use chervilshunt_core::{
    AdapterReport, OrderFailure, OrderKind, Owner, OwnerAction, OwnerEvent, PermitAnswer,
    RefusalReason, ReleaseOutcome,
};
use chervilshunt_model::{AttemptId, Class, TargetName};
use rstest::rstest;
use support::{
    answers, at, config, finished, granted, model, orders, owner_with, release, request,
};

fn ask(attempt: u128, number: u32) -> OwnerEvent {
    OwnerEvent::PermitRequested(request(attempt, Some(model(number)), Class::Live))
}

#[test]
fn grants_at_once_if_the_adapter_is_loaded() {
    let mut owner = owner_with(config(2, 4), &[model(1)]);
    let actions = owner.handle(ask(1, 1), at(10));
    assert_eq!(granted(&actions)[0].attempt, AttemptId::from_u128(1));
}

#[test]
fn loads_an_adapter_once_for_all_waiting_requests() {
    let mut owner = owner_with(config(2, 4), &[]);
    let asked = owner.handle(ask(1, 1), at(10));
    let again = owner.handle(ask(2, 1), at(11));
    let turns = |actions: &[OwnerAction]| {
        let turns = actions.iter().filter_map(|action| match action {
            OwnerAction::RequestTurn { order, .. } => Some(*order),
            _ => None,
        });
        turns.collect::<Vec<_>>()
    };
    let [order] = turns(&asked)[..] else {
        panic!("expected one requested turn: {asked:?}");
    };
    assert!(turns(&again).is_empty(), "the load is shared: {again:?}");
    let turn = OwnerEvent::TurnGranted {
        order,
        queue_wait: std::time::Duration::ZERO,
    };
    let ordered = owner.handle(turn, at(20));
    assert!(ordered.iter().any(|action| matches!(
        action,
        OwnerAction::Order(order) if order.kind == OrderKind::Load && order.model == model(1)
    )));
    let result = Ok(());
    let loaded = owner.handle(OwnerEvent::OrderEnded { order, result }, at(300));
    assert_eq!(granted(&loaded).len(), 2);
}

/// An owner that is cut off from the load scheduler can't report the end of its turns, and the
/// loads of all other targets of the store would wait. The scheduler relies on frequent renewals to
/// time such turns out early, so the owner must renew a turn while it is in use, and stop doing so
/// once the load is stuck.
#[test]
fn renews_a_turn_each_second_until_the_load_is_stuck() {
    let mut owner = owner_with(config(2, 4), &[]);
    let asked = owner.handle(ask(1, 1), at(0));
    let order = asked.iter().find_map(|action| match action {
        OwnerAction::RequestTurn { order, .. } => Some(*order),
        _ => None,
    });
    let order = order.expect("a turn is requested");
    let queue_wait = std::time::Duration::ZERO;
    owner.handle(OwnerEvent::TurnGranted { order, queue_wait }, at(0));
    let mut renewals = Vec::new();
    while renewals.last().is_none_or(|last| *last < 15_000) {
        let now = owner.next_wakeup().expect("a load is in progress");
        let actions = owner.handle(OwnerEvent::Tick, now);
        let holds = actions.iter().any(
            |action| matches!(action, OwnerAction::RenewTurn { order: held, .. } if *held == order),
        );
        if holds {
            renewals.push(now.since(at(0)).as_millis());
        }
        if now > at(15_000) {
            break;
        }
    }
    let gaps = renewals.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.max().is_some_and(|gap| gap < 2_000), "{renewals:?}");
    assert!((8..=10).contains(&renewals.len()), "{renewals:?}");
    assert!(*renewals.last().unwrap() < 10_000, "{renewals:?}");
}

#[test]
fn a_duplicate_request_gets_the_same_permit() {
    let mut owner = owner_with(config(2, 4), &[model(1)]);
    let first = owner.handle(ask(1, 1), at(10));
    let second = owner.handle(ask(1, 1), at(11));
    assert_eq!(granted(&first), granted(&second));
    assert_eq!(owner.view(at(11)).live_permits, 1);
    owner.handle(release(1, finished()), at(20));
    owner.handle(release(1, finished()), at(21));
    assert_eq!(owner.view(at(21)).live_permits, 0);
    let late = owner.handle(ask(1, 1), at(22));
    assert!(granted(&late).is_empty(), "a late duplicate gets no permit");
}

/// Guards against the eviction of an adapter that serves a request. The adapter in the only slot
/// serves a request while another adapter is requested. The load must wait for the release, however
/// long it takes.
#[test]
fn never_evicts_a_pinned_adapter() {
    let mut owner = owner_with(config(1, 4), &[model(1)]);
    owner.handle(ask(1, 1), at(10));
    let mut actions = owner.handle(ask(2, 2), at(20));
    for second in 1..30 {
        actions.extend(owner.handle(OwnerEvent::Tick, at(1_000 * second)));
    }
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, OwnerAction::Order(_)))
    );
    let mut actions = owner.handle(release(1, finished()), at(31_000));
    let turn = actions.iter().find_map(|action| match action {
        OwnerAction::RequestTurn { order, .. } => Some(*order),
        _ => None,
    });
    let turn = OwnerEvent::TurnGranted {
        order: turn.expect("a turn is requested"),
        queue_wait: std::time::Duration::ZERO,
    };
    actions = owner.handle(turn, at(31_100));
    assert!(actions.iter().any(|action| matches!(
        action,
        OwnerAction::Order(order) if order.kind == OrderKind::Unload && order.model == model(1)
    )));
}

#[rstest]
#[case::draining(OwnerEvent::Draining(true), RefusalReason::Draining)]
#[case::down(OwnerEvent::Reachable(false), RefusalReason::TargetDown)]
fn refuses_waiting_requests_when_closed(
    #[case] event: OwnerEvent,
    #[case] expected: RefusalReason,
) {
    let mut owner = owner_with(config(2, 4), &[]);
    owner.handle(ask(1, 1), at(10));
    let actions = owner.handle(event, at(20));
    let answers = answers(&actions);
    let [(_, PermitAnswer::Refused { reason, .. })] = &*answers else {
        panic!("expected one refusal: {answers:?}");
    };
    assert_eq!(*reason, expected);
}

#[test]
fn refuses_at_the_deadline() {
    let mut owner = owner_with(config(2, 4), &[]);
    let mut req = request(1, Some(model(1)), Class::Live);
    req.deadline_ms = 5_000;
    owner.handle(OwnerEvent::PermitRequested(req), at(10));
    let wakeup = owner.next_wakeup().expect("a request waits");
    assert!(wakeup <= at(5_010));
    let actions = owner.handle(OwnerEvent::Tick, at(5_010));
    let answers = answers(&actions);
    let [
        (
            _,
            PermitAnswer::Refused {
                reason,
                retry_after_ms,
            },
        ),
    ] = &*answers
    else {
        panic!("expected one refusal: {answers:?}");
    };
    assert_eq!(*reason, RefusalReason::Deadline);
    assert!(*retry_after_ms > 0);
}

/// A request must be served after the engine has restarted without adapters. A call reports that
/// the engine does not hold its adapter. The owner then requests the inventory, and loads the
/// adapter again before it grants the next permit.
#[test]
fn loads_again_after_the_engine_restarted_empty() {
    let mut owner = owner_with(config(2, 4), &[model(1)]);
    owner.handle(ask(1, 1), at(10));
    let missing = owner.handle(release(1, ReleaseOutcome::AdapterMissing), at(20));
    assert!(missing.contains(&OwnerAction::RequestInventory));
    let actions = owner.handle(ask(2, 1), at(30));
    assert!(granted(&actions).is_empty());
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, OwnerAction::RequestTurn { .. }))
    );
}

#[test]
fn a_fenced_order_ends_all_work() {
    let mut owner = owner_with(config(2, 4), &[]);
    let asked = owner.handle(ask(1, 1), at(10));
    let order = asked.iter().find_map(|action| match action {
        OwnerAction::RequestTurn { order, .. } => Some(*order),
        _ => None,
    });
    let order = order.expect("a turn is requested");
    let turn = OwnerEvent::TurnGranted {
        order,
        queue_wait: std::time::Duration::ZERO,
    };
    owner.handle(turn, at(20));
    let result = Err(OrderFailure::Fenced);
    let ended = owner.handle(OwnerEvent::OrderEnded { order, result }, at(30));
    let answers = answers(&ended);
    assert!(matches!(
        answers[..],
        [(
            _,
            PermitAnswer::Refused {
                reason: RefusalReason::NotOwner,
                ..
            }
        )]
    ));
    let next = owner.handle(ask(2, 1), at(40));
    assert!(granted(&next).is_empty());
}

/// Guards against an answer cut short by an eviction that an earlier owner ordered. That owner sent
/// an unload and lost the role before the order reached the engine. An engine that checks fencing
/// numbers refuses the order only if it has seen the new owner's number, so no permit for an
/// adapter may be granted before an order of the new owner has been answered.
#[test]
fn grants_nothing_before_the_engine_knows_the_new_fencing_number() {
    let mut owner = Owner::new(config(2, 4), at(0));
    owner.handle(OwnerEvent::Tick, at(0));
    let listed = owner.handle(OwnerEvent::Inventory(vec![model(1)]), at(1));
    owner.handle(OwnerEvent::TakeoverComplete, at(1));
    let [barrier] = &*orders(&listed) else {
        panic!("expected one order: {listed:?}");
    };
    assert_eq!((barrier.kind, &barrier.model), (OrderKind::Load, &model(1)));
    assert!(granted(&owner.handle(ask(1, 1), at(10))).is_empty());
    let (order, result) = (barrier.id, Err(OrderFailure::Refused));
    let ended = owner.handle(OwnerEvent::OrderEnded { order, result }, at(20));
    assert!(ended.contains(&OwnerAction::RequestInventory), "{ended:?}");
    let listed = owner.handle(OwnerEvent::Inventory(vec![model(1)]), at(30));
    assert_eq!(granted(&listed).len(), 1);
}

/// Guards against a retry that returns to the target that failed it. The retry arrives at a target
/// without power, which redirects what it can to the next target in the ranking. Redirected to the
/// target that failed it, the request would fail again until its attempts are used up, although
/// another target is healthy. It must stay, and its demand brings the power.
#[rstest]
#[case::first_try(&[], &["t1"])]
#[case::after_a_failure(&["t1"], &[])]
#[case::after_a_failure_elsewhere(&["t9"], &["t1"])]
fn never_redirects_a_retry_to_a_target_that_failed_it(
    #[case] avoid: &[&str],
    #[case] expected_targets: &[&str],
) {
    let mut cfg = config(2, 4);
    cfg.peers = vec!["t1".into()];
    cfg.share_watts = 0.0;
    let mut owner = owner_with(cfg, &[model(1)]);
    let mut req = request(1, Some(model(1)), Class::Live);
    req.avoid = avoid.iter().map(|it| TargetName::from(*it)).collect();
    let actions = owner.handle(OwnerEvent::PermitRequested(req), at(10));
    let redirects: Vec<TargetName> = answers(&actions)
        .into_iter()
        .flat_map(|(_, answer)| match answer {
            PermitAnswer::Redirect { targets } => targets.into_vec(),
            PermitAnswer::Granted { .. } | PermitAnswer::Refused { .. } => Vec::new(),
        })
        .collect();
    let expected: Vec<TargetName> = expected_targets
        .iter()
        .map(|it| TargetName::from(*it))
        .collect();
    assert_eq!(redirects, expected);
}

/// While an instance is cut off, a new owner can't learn all permits of the earlier owner and may
/// not evict. If its slots are full, a request for another adapter would wait until its deadline,
/// although another target may be able to load the adapter at once.
#[rstest]
#[case::takeover_incomplete(false)]
#[case::takeover_complete(true)]
fn redirects_a_request_that_would_wait_for_an_unsafe_eviction(#[case] complete: bool) {
    let mut cfg = config(1, 4);
    cfg.peers = vec![TargetName::from("t1")];
    let mut owner = Owner::new(cfg, at(0));
    owner.handle(OwnerEvent::Tick, at(0));
    for (when, listed) in [(1, vec![model(1)]), (2, vec![model(1)])] {
        let listed = owner.handle(OwnerEvent::Inventory(listed), at(when));
        for order in orders(&listed) {
            let (order, result) = (order.id, Err(OrderFailure::Refused));
            owner.handle(OwnerEvent::OrderEnded { order, result }, at(when));
        }
    }
    if complete {
        owner.handle(OwnerEvent::TakeoverComplete, at(3));
    }
    let answers = answers(&owner.handle(ask(1, 2), at(4)));
    if complete {
        assert_eq!(answers, []);
    } else {
        let redirect = PermitAnswer::Redirect {
            targets: [TargetName::from("t1")].into_iter().collect(),
        };
        assert_eq!(answers, [(AttemptId::from_u128(1), redirect)]);
    }
}

/// Guards against a single deferrable request for an adapter that is not loaded being refused at
/// its deadline, on each attempt. The adapter in the engine's only slot is in steady use, and the
/// waiting time of one request alone never justified the stall that evicting that adapter would
/// cost.
#[test]
fn a_lone_deferrable_request_gets_a_slot_before_its_deadline() {
    let mut owner = owner_with(config(1, 4), &[model(1)]);
    let mut attempt = 100;
    let mut now = 10;
    while now < 5_000 {
        attempt += 1;
        owner.handle(ask(attempt, 1), at(now));
        owner.handle(release(attempt, finished()), at(now + 50));
        now += 100;
    }
    let mut req = request(1, Some(model(2)), Class::Deferrable);
    req.deadline_ms = 20_000;
    owner.handle(OwnerEvent::PermitRequested(req), at(now));
    let deadline = now + 20_000;
    let mut turn_requested_at = None;
    while now < deadline && turn_requested_at.is_none() {
        attempt += 1;
        let mut actions = owner.handle(ask(attempt, 1), at(now));
        actions.extend(owner.handle(release(attempt, finished()), at(now + 50)));
        actions.extend(owner.handle(OwnerEvent::Tick, at(now + 60)));
        let asked = actions
            .iter()
            .any(|it| matches!(it, OwnerAction::RequestTurn { model: it, .. } if *it == model(2)));
        turn_requested_at = asked.then_some(now);
        now += 100;
    }
    let requested_at = turn_requested_at.expect("a turn is requested before the deadline");
    assert!(
        requested_at + 5_000 < deadline,
        "turn requested {} ms before the deadline",
        deadline - requested_at
    );
}

/// An owner whose engine holds two adapters in its two slots, and whose takeover is not complete.
fn owner_in_takeover() -> Owner {
    let mut owner = Owner::new(config(2, 4), at(0));
    let held = vec![model(1), model(2)];
    owner.handle(OwnerEvent::Tick, at(0));
    for when in [1, 2] {
        let listed = owner.handle(OwnerEvent::Inventory(held.clone()), at(when));
        for order in orders(&listed) {
            let (order, result) = (order.id, Err(OrderFailure::Refused));
            owner.handle(OwnerEvent::OrderEnded { order, result }, at(when));
        }
    }
    owner
}

/// Passes time, with reports of the adapters in use each second, and returns the adapters that were unloaded.
fn unloaded_with(owner: &mut Owner, running: &[u32], waiting: u32, age_ms: u64) -> Vec<u32> {
    let mut unloaded = Vec::new();
    owner.handle(ask(1, 9), at(10));
    for now in (100..20_000).step_by(100) {
        let mut actions = owner.handle(OwnerEvent::Tick, at(now));
        if now % 1_000 == 0 {
            let report = AdapterReport {
                running: running.iter().map(|number| model(*number)).collect(),
                waiting,
                age: Duration::from_millis(age_ms),
            };
            actions.extend(owner.handle(OwnerEvent::AdaptersReported(report), at(now)));
        }
        let turns: Vec<_> = actions
            .iter()
            .filter_map(|action| match action {
                OwnerAction::RequestTurn { order, .. } => Some(*order),
                _ => None,
            })
            .collect();
        for order in turns {
            let queue_wait = Duration::ZERO;
            let turn = OwnerEvent::TurnGranted { order, queue_wait };
            actions.extend(owner.handle(turn, at(now)));
        }
        let unloads = orders(&actions).into_iter();
        let unloads = unloads.filter(|order| order.kind == OrderKind::Unload);
        unloaded.extend(unloads.map(|order| (1..3).find(|it| model(*it) == order.model).unwrap()));
    }
    unloaded
}

/// Guards against a takeover without end, and against an unload of an adapter that a request uses of which the
/// owner doesn't know: the predecessor is cut off, and can't be asked for its permits.
#[rstest]
#[case::one_is_idle(&[1], 0, 100, &[2])]
#[case::all_are_in_use(&[1, 2], 0, 100, &[])]
#[case::one_waits_in_the_engine(&[1], 1, 100, &[])]
#[case::the_reports_are_older_than_the_takeover(&[1], 0, 30_000, &[])]
fn an_adapter_without_unknown_permits_is_evicted_in_a_takeover(
    #[case] running: &[u32],
    #[case] waiting: u32,
    #[case] age_ms: u64,
    #[case] expected: &[u32],
) {
    let mut owner = owner_in_takeover();
    let unloaded = unloaded_with(&mut owner, running, waiting, age_ms);
    assert_eq!(unloaded, expected);
}
