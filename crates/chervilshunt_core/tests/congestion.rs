//! Targets that reset new connections or have a queue.

#[path = "support/choosing.rs"]
mod choosing;

use std::time::Duration;

use chervilshunt_core::{LoadReport, SecondAttempt};
use chervilshunt_model::TargetName;
use choosing::{at, dispatch, facts, service};
use rstest::rstest;

const SLOTS: u32 = 6;

fn target(name: &str) -> TargetName {
    TargetName::from(name)
}

fn report(waiting: u32) -> LoadReport {
    LoadReport {
        running: SLOTS,
        waiting,
        slots: SLOTS,
        pace: None,
        is_pace_malformed: false,
    }
}

/// Guards against requests that are lost at a target which resets new connections, and against a
/// wait at others.
#[rstest]
#[case::after_nothing(None, None, 0, false)]
#[case::after_a_reset(Some(0), None, 2_000, true)]
#[case::long_after_a_reset(Some(0), None, 2_001, false)]
#[case::after_a_queue(None, Some(1), 1_000, true)]
#[case::long_after_a_queue(None, Some(1), 1_001, false)]
#[case::without_a_queue(None, Some(0), 0, false)]
fn a_new_connection_may_be_reset(
    #[case] reset_at: Option<u64>,
    #[case] waiting: Option<u32>,
    #[case] age: u64,
    #[case] expected: bool,
) {
    let mut dispatch = dispatch([facts("a", "here", &[]), facts("b", "here", &[])]);
    if let Some(at_ms) = reset_at {
        dispatch.fresh_connection_reset(&target("a"), at(at_ms));
    }
    if let Some(waiting) = waiting {
        dispatch.load_reported(&target("a"), report(waiting), at(0));
    }
    let now = at(age);
    assert_eq!(
        dispatch.may_reset_fresh_connection(&target("a"), now),
        expected
    );
    assert!(!dispatch.may_reset_fresh_connection(&target("b"), now));
    assert!(!dispatch.may_reset_fresh_connection(&target("unknown"), now));
}

/// Guards against second attempts at full targets, and against requests that are refused although a
/// target may have room.
#[rstest]
#[case::never_reported(&[None, None], 0, 2, &[])]
#[case::no_queue(&[Some(0), Some(0)], 100, 2, &[])]
#[case::one_queue(&[Some(2), Some(0)], 100, 1, &["a"])]
#[case::all_have_a_queue(&[Some(2), Some(1)], 250, 0, &["a", "b"])]
#[case::short_queues_long_ago(&[Some(2), Some(1)], 251, 2, &[])]
#[case::a_long_queue(&[Some(SLOTS), Some(1)], 500, 1, &["a"])]
#[case::a_long_queue_long_ago(&[Some(SLOTS), Some(1)], 501, 2, &[])]
fn a_second_attempt_goes_to_targets_with_room(
    #[case] waiting: &[Option<u32>; 2],
    #[case] age: u64,
    #[case] open: usize,
    #[case] queued: &[&str],
) {
    let names = ["a", "b", "tried"];
    let mut dispatch = dispatch(names.map(|it| facts(it, "here", &[])));
    for (name, waiting) in names.iter().zip(waiting) {
        if let Some(waiting) = waiting {
            dispatch.load_reported(&target(name), report(*waiting), at(0));
        }
    }
    let found = dispatch.second_attempt(&service(), &[target("tried")], at(age));
    let queued = queued.iter().map(|it| target(it)).collect();
    assert_eq!(found, SecondAttempt { open, queued });
}

/// Guards against a target that counts as full although a newer report says that it has room, and
/// against what is known of a target being kept when it restarts.
#[test]
fn a_newer_report_and_a_restart_end_what_was_known() {
    let mut dispatch = dispatch([facts("a", "here", &[])]);
    dispatch.load_reported(&target("a"), report(4), at(0));
    dispatch.load_reported(&target("a"), report(0), at(10));
    assert_eq!(dispatch.second_attempt(&service(), &[], at(20)).open, 1);
    dispatch.fresh_connection_reset(&target("a"), at(20));
    dispatch.target_gone(&target("a"));
    dispatch.target_listed(facts("a", "here", &[]), at(40));
    let now = at(40) + Duration::from_millis(1);
    assert!(!dispatch.may_reset_fresh_connection(&target("a"), now));
}
