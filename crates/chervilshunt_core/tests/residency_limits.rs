//! Placement of requests at targets that have named a rate limit.

#[path = "support/placing.rs"]
mod placing;

use std::time::Duration;

use chervilshunt_core::{
    PlacementResult, RequestRate, ResidencyAction, ResidencyEvent, ResidencyPlanner,
};
use chervilshunt_model::TargetName;
use placing::{adapter, at, placement_request, reported, target, unqueried_planner};
use rstest::rstest;

const TARGETS: usize = 3;
/// Time for which requests wait.
const WITHIN_MS: u64 = 1_000;

/// Creates a planner whose first `holding` targets hold the adapter and name a limit of 2 requests a second.
fn planner(holding: usize) -> ResidencyPlanner {
    let mut residency = unqueried_planner(TARGETS, 64, 4);
    residency.handle(ResidencyEvent::Tick, at(450));
    for index in 0..TARGETS {
        let held = (index < holding).then(|| (adapter("busy"), 1));
        residency.handle(reported(index, held.into_iter().collect()), at(451));
    }
    let limit = RequestRate::new(2.0).expect("a rate");
    let limits = (0..holding).map(|index| (target(index), limit)).collect();
    residency.handle(ResidencyEvent::RateLimits(limits), at(452));
    residency
}

/// Where a request was placed and after which delay, or when it may come back.
fn answer(actions: &[ResidencyAction]) -> Option<PlacementResult> {
    actions.iter().find_map(|action| match action {
        ResidencyAction::Answer(_, placed) => Some(placed.clone()),
        ResidencyAction::Order(_)
        | ResidencyAction::QueryTarget(_)
        | ResidencyAction::Notify(_) => None,
    })
}

fn orders(actions: &[ResidencyAction]) -> Vec<TargetName> {
    let orders = actions.iter().filter_map(|action| match action {
        ResidencyAction::Order(order) => Some(order.target.clone()),
        _ => None,
    });
    orders.collect()
}

/// Guards against requests above the limit of the only target that holds their adapter.
#[test]
fn what_a_limit_does_not_allow_goes_to_another_copy() {
    let mut residency = planner(1);
    let mut placed_at_limited = 0;
    let mut loaded_at = Vec::new();
    for request_id in 0..20 {
        let request = placement_request(request_id, adapter("busy"), WITHIN_MS);
        let actions = residency.handle(request, at(2_000 + request_id));
        loaded_at.extend(orders(&actions));
        if let Some(PlacementResult::At { target: at, .. }) = answer(&actions) {
            assert_eq!(at, target(0));
            placed_at_limited += 1;
        }
    }
    assert!((1..=3).contains(&placed_at_limited), "{placed_at_limited}");
    assert!(
        !loaded_at.is_empty() && !loaded_at.contains(&target(0)),
        "{loaded_at:?}"
    );
}

/// Guards against adapters that are loaded on limited targets while others are free.
#[test]
fn adapters_are_loaded_on_targets_without_a_limit_first() {
    let mut residency = planner(1);
    let mut loaded_at = Vec::new();
    for request_id in 0..4 {
        let cold = adapter(&format!("cold{request_id}"));
        let request = placement_request(request_id, cold, WITHIN_MS);
        loaded_at.extend(orders(&residency.handle(request, at(5_000))));
    }
    assert!(
        !loaded_at.is_empty() && !loaded_at.contains(&target(0)),
        "{loaded_at:?}"
    );
}

/// Guards against requests that are refused although they could wait, and against refusals without a true time.
#[rstest]
#[case::wait(1_000, true)]
#[case::no_time(30, false)]
fn a_request_waits_for_the_limits_of_all_targets_if_it_has_time(
    #[case] within_ms: u64,
    #[case] waits: bool,
) {
    let mut residency = planner(TARGETS);
    let mut delays = Vec::new();
    let mut refused = Vec::new();
    for request_id in 0..20 {
        let request = placement_request(request_id, adapter("busy"), within_ms);
        match answer(&residency.handle(request, at(2_000))) {
            Some(PlacementResult::At { send_in, .. }) => delays.extend(send_in),
            Some(PlacementResult::Later { retry_in }) => refused.push(retry_in),
            None => panic!("no answer"),
        }
    }
    assert!(delays.contains(&Duration::ZERO), "{delays:?}");
    // A request that waited for longer would be answered late.
    let longest = Duration::from_millis(within_ms.min(WITHIN_MS / 4));
    assert!(delays.iter().all(|it| *it <= longest), "{delays:?}");
    assert_eq!(delays.iter().any(|it| !it.is_zero()), waits, "{delays:?}");
    assert!(!refused.is_empty());
    // A target allows its second request a quarter of a second after the first.
    let first = Duration::from_millis(250);
    assert!(refused.iter().all(|it| *it >= first), "{refused:?}");
}

/// Guards against requests that wait for a load while their target names a limit, and are all sent when it ends.
#[test]
fn requests_that_wait_for_a_load_count_against_a_limit_named_meanwhile() {
    let mut residency = unqueried_planner(1, 64, 4);
    residency.handle(ResidencyEvent::Tick, at(450));
    residency.handle(reported(0, Vec::new()), at(451));
    for request_id in 0..10 {
        let request = placement_request(request_id, adapter("cold"), 2_000);
        residency.handle(request, at(600));
    }
    let limit = RequestRate::new(2.0).expect("a rate");
    let limits = vec![(target(0), limit)];
    residency.handle(ResidencyEvent::RateLimits(limits), at(700));
    let actions = residency.handle(reported(0, vec![(adapter("cold"), 1)]), at(900));
    let mut sent = Vec::new();
    for action in actions {
        if let ResidencyAction::Answer(_, PlacementResult::At { send_in, .. }) = action {
            sent.push(send_in.expect("it counts against the limit"));
        }
    }
    let at_once = sent.iter().filter(|it| it.is_zero()).count();
    assert!(at_once <= 1 && sent.len() <= 5, "{sent:?}");
}
