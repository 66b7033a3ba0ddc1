//! Tests for a planner whose queries of targets fail.

#[path = "support/placing.rs"]
mod placing;

use chervilshunt_core::{ResidencyAction, ResidencyEvent, ResidencyPlanner};
use chervilshunt_model::TargetName;
use placing::{adapter, at, reported, target, unqueried_planner};
use rstest::rstest;

const TARGETS: usize = 4;

/// Returns a planner of which this many targets have answered, and whose queries of the others have failed.
fn planner(answered: usize) -> ResidencyPlanner {
    let mut residency = unqueried_planner(TARGETS, 4, 4);
    let mut queried = Vec::new();
    for millis in (0..=1_000).step_by(50) {
        let actions = residency.handle(ResidencyEvent::Tick, at(millis));
        queried.extend(actions.into_iter().filter_map(|it| match it {
            ResidencyAction::QueryTarget(target) => Some(target),
            ResidencyAction::Order(_)
            | ResidencyAction::Notify(_)
            | ResidencyAction::Answer(..) => None,
        }));
    }
    for index in 0..TARGETS {
        assert!(queried.contains(&target(index)));
        let event = if index < answered {
            reported(index, vec![(adapter("a1"), 1)])
        } else {
            ResidencyEvent::ReportFailed(target(index))
        };
        residency.handle(event, at(1_010));
    }
    residency
}

/// Guards against a placer that reaches no target and tells the others that targets hold nothing. They would
/// no longer use the adapters that they know to be held.
#[rstest]
#[case::none_answers(0, false)]
#[case::some_are_gone(TARGETS - 1, true)]
#[case::all_answer(TARGETS, true)]
fn only_answers_of_targets_show_what_they_hold(#[case] answered: usize, #[case] is_known: bool) {
    let residency = planner(answered);
    assert_eq!(residency.knows_targets(), is_known);
    let snapshots = residency.snapshots();
    let mut named: Vec<TargetName> = snapshots.into_iter().map(|it| it.target).collect();
    named.sort();
    assert_eq!(named, (0..answered).map(target).collect::<Vec<_>>());
}
