//! Replays of targets that have crashed and are still listed.

#[path = "support/placing.rs"]
mod placing;

use chervilshunt_core::{
    GrantNumber, GrantProgress, PlacementResult, ResidencyAction, ResidencyEvent, ResidencyPlanner,
    Weights,
};
use chervilshunt_model::{InstanceId, TargetName};
use placing::{adapter, at, placement_request, reported, target, unqueried_planner};
use rstest::rstest;

const TARGETS: usize = 12;
const QUERIED_MS: u64 = 600;

/// A planner with targets that all hold one adapter.
fn planner() -> ResidencyPlanner {
    let mut residency = unqueried_planner(TARGETS, 16, 4);
    residency.handle(ResidencyEvent::Tick, at(QUERIED_MS));
    for index in 0..TARGETS {
        let held = vec![(adapter("a"), 1)];
        residency.handle(reported(index, held), at(QUERIED_MS));
    }
    residency
}

fn place(
    residency: &mut ResidencyPlanner,
    number: u64,
    weights: Weights,
    now_ms: u64,
) -> Option<TargetName> {
    let request = placement_request(number, weights, 500);
    let actions = residency.handle(request, at(now_ms));
    actions.into_iter().find_map(|it| match it {
        ResidencyAction::Answer(_, PlacementResult::At { target, .. }) => Some(target),
        _ => None,
    })
}

fn report(residency: &mut ResidencyPlanner, instance: usize, index: usize, now_ms: u64) {
    let from = InstanceId::from(&*format!("i{instance}"));
    residency.handle(ResidencyEvent::Unreachable(from, target(index)), at(now_ms));
}

/// Sends a request each 2 ms while the first `crashed` targets refuse connections, and returns how
/// many requests were placed there. Sixty instances take turns, and each reports what it sees.
fn placed_at_crashed(crashed: usize, reports: bool, duration_ms: u64) -> usize {
    let mut residency = planner();
    let mut failed = 0;
    for number in 0..duration_ms / 2 {
        let now = QUERIED_MS + number * 2;
        let Some(at_target) = place(&mut residency, number, adapter("a"), now) else {
            continue;
        };
        let Some(index) = (0..crashed).find(|it| target(*it) == at_target) else {
            continue;
        };
        failed += 1;
        // The request has ended, so that the target looks idle again.
        let progress = GrantProgress {
            ended: vec![GrantNumber(number)],
            ..GrantProgress::default()
        };
        residency.handle(ResidencyEvent::GrantsProgressed(progress), at(now + 1));
        if reports {
            report(&mut residency, number as usize % 60, index, now + 1);
        }
    }
    failed
}

/// Guards against crashed targets that attract requests while they are still listed, because they
/// look idle: each instance had to find out for itself.
#[test]
fn a_quarter_of_the_targets_crashes() {
    let unreported = placed_at_crashed(3, false, 2_000);
    let reported = placed_at_crashed(3, true, 2_000);
    assert!(unreported > 900, "{unreported} of 1,000");
    // Two reports for each of three targets, anew each half second.
    assert!(reported <= 2 * 3 * 4, "{reported} of 1,000");
}

/// Guards against adapters that are planned to be loaded on a target that has crashed.
#[test]
fn nothing_is_loaded_on_an_unreachable_target() {
    let mut residency = planner();
    for index in 0..5 {
        report(&mut residency, 0, index, QUERIED_MS);
        report(&mut residency, 1, index, QUERIED_MS);
    }
    let request = placement_request(1, adapter("cold"), 500);
    let actions = residency.handle(request, at(QUERIED_MS + 1));
    let ordered: Vec<TargetName> = actions
        .into_iter()
        .filter_map(|it| match it {
            ResidencyAction::Order(order) => Some(order.target),
            _ => None,
        })
        .collect();
    assert_eq!(ordered.len(), 1);
    assert!((0..5).all(|it| ordered[0] != target(it)), "{ordered:?}");
}

/// Guards against targets that are passed over for a fault of the links of those that report them,
/// or for longer than they are down.
#[rstest]
#[case::one_instance(&[0], 1, 1, true)]
#[case::one_instance_many_times(&[0, 0, 0, 0], 1, 1, true)]
#[case::two_instances(&[0, 1], 1, 1, false)]
#[case::reports_have_expired(&[0, 1], 1, 501, true)]
#[case::half_of_the_targets(&[0, 1], 6, 1, false)]
#[case::most_targets(&[0, 1], 7, 1, true)]
fn a_target_is_passed_over(
    #[case] reporters: &[usize],
    #[case] targets: usize,
    #[case] after_ms: u64,
    #[case] is_used: bool,
) {
    let mut residency = planner();
    for index in 0..targets {
        for reporter in reporters {
            report(&mut residency, *reporter, index, QUERIED_MS);
        }
    }
    // Idle targets are preferred, so that each target is used once before one is used again.
    let now = QUERIED_MS + after_ms;
    let used = (0..TARGETS as u64)
        .filter_map(|it| place(&mut residency, it, adapter("a"), now))
        .any(|it| it == target(0));
    assert_eq!(used, is_used);
}
