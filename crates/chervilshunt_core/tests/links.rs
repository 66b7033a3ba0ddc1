//! Tests for the judgement whether an instance reaches the targets of a service.

#[path = "support/choosing.rs"]
mod choosing;

use std::time::Duration;

use chervilshunt_core::{Dispatch, LinkChange, TargetStart};
use chervilshunt_model::TargetName;
use choosing::{at, dispatch, facts, service};
use rstest::rstest;

fn name(target: &str) -> TargetName {
    TargetName::from(target)
}

fn with_targets(count: usize) -> Dispatch {
    dispatch((1..=count).map(|number| facts(&format!("t{number}"), "here", &[])))
}

/// Whether a connection to a target was opened, with the time in milliseconds.
type Connection = (u64, &'static str, bool);

fn play(dispatch: &mut Dispatch, connections: &[Connection]) -> Option<LinkChange> {
    let mut last = None;
    for &(millis, target, opened) in connections {
        last = if opened {
            dispatch.connection_opened(&name(target), at(millis))
        } else {
            dispatch.connection_failed(&name(target), at(millis))
        };
    }
    last
}

/// Guards against a crashed target that is taken for a lost link, and against a lost link that is taken for
/// crashed targets.
#[rstest]
#[case::one_target_fails(3, &[(0, "t1", false), (10, "t1", false)], false)]
#[case::two_of_three_fail(3, &[(0, "t1", false), (10, "t2", false)], false)]
#[case::all_fail(3, &[(0, "t1", false), (10, "t2", false), (20, "t3", false)], true)]
#[case::one_accepts_between(2, &[(0, "t1", false), (5, "t1", true), (10, "t2", false)], false)]
#[case::the_failures_lie_far_apart(2, &[(0, "t1", false), (6_000, "t2", false)], false)]
#[case::the_only_target_fails(1, &[(0, "t1", false)], true)]
#[case::an_unknown_target_fails(1, &[(0, "t9", false)], false)]
#[case::one_accepts_again(2, &[(0, "t1", false), (10, "t2", false), (20, "t2", true)], false)]
fn an_instance_is_cut_off_when_all_targets_fail_and_none_accepts(
    #[case] targets: usize,
    #[case] connections: &[Connection],
    #[case] cut_off: bool,
) {
    let mut dispatch = with_targets(targets);
    play(&mut dispatch, connections);
    assert_eq!(dispatch.is_cut_off(&service()), cut_off);
    assert_eq!(dispatch.cut_off_services().count(), usize::from(cut_off));
}

#[test]
fn changes_are_reported_once() {
    let mut dispatch = with_targets(3);
    assert_eq!(play(&mut dispatch, &[(0, "t1", false)]), None);
    let suspected = play(&mut dispatch, &[(5, "t2", false)]);
    assert_eq!(suspected, Some(LinkChange::Suspected));
    let cut_off = LinkChange::CutOff {
        service: service(),
        failed: 3,
        targets: 3,
    };
    assert_eq!(play(&mut dispatch, &[(10, "t3", false)]), Some(cut_off));
    assert_eq!(play(&mut dispatch, &[(20, "t3", false)]), None);
    let reached = LinkChange::Reached {
        service: service(),
        after: Duration::from_millis(490),
    };
    assert_eq!(play(&mut dispatch, &[(500, "t3", true)]), Some(reached));
    assert_eq!(play(&mut dispatch, &[(510, "t3", true)]), None);
}

/// Guards against probes that go to crashed targets while others would accept them, and against many probes
/// for few failures.
#[test]
fn targets_that_have_not_failed_are_probed_first_and_more_each_time() {
    let mut dispatch = with_targets(40);
    let probe = |dispatch: &mut Dispatch| dispatch.targets_to_probe(|| 0.5, at(20));
    play(&mut dispatch, &[(0, "t1", false)]);
    assert_eq!(probe(&mut dispatch), []);
    play(&mut dispatch, &[(10, "t2", false)]);
    for round in [2, 4, 8] {
        assert!(!dispatch.is_cut_off(&service()));
        let probed = probe(&mut dispatch);
        assert_eq!(probed.len(), round);
        for target in probed {
            assert!(target != name("t1") && target != name("t2"));
            dispatch.connection_failed(&target, at(20));
        }
    }
    assert!(dispatch.is_cut_off(&service()));
    assert_eq!(probe(&mut dispatch).len(), 2);
    dispatch.connection_opened(&name("t40"), at(30));
    assert_eq!(probe(&mut dispatch), []);
}

#[test]
fn a_suspicion_ends_with_its_failures() {
    let mut dispatch = with_targets(5);
    play(&mut dispatch, &[(0, "t1", false), (10, "t2", false)]);
    assert_eq!(dispatch.targets_to_probe(|| 0.5, at(5_020)), []);
}

/// Guards against a cut link that is taken for a crash, and against a crash of all targets that is taken for cut
/// links: only the platform tells them apart.
#[rstest]
#[case::listed_as_before(Some(Some(5)), Some(5), false)]
#[case::started_again(Some(Some(6)), Some(5), true)]
#[case::listed_with_an_older_start(Some(Some(4)), Some(5), false)]
#[case::without_starts(Some(None), None, false)]
#[case::removed(None, Some(5), true)]
fn a_run_has_ended_when_the_platform_shows_it(
    #[case] listed: Option<Option<u64>>,
    #[case] sent_to: Option<u64>,
    #[case] has_ended: bool,
) {
    let listed = listed.map(|started| {
        let mut listed = facts("t1", "here", &[]);
        listed.started = started.map(TargetStart);
        listed
    });
    let mut dispatch = dispatch(listed.into_iter().chain([facts("t2", "here", &[])]));
    for target in ["t1", "t2"] {
        dispatch.connection_failed(&name(target), at(0));
    }
    let started = sent_to.map(TargetStart);
    assert_eq!(dispatch.has_run_ended(&name("t1"), started), has_ended);
}
