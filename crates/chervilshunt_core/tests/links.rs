//! Tests for the judgement whether an instance reaches the targets of a service.

#[path = "support/choosing.rs"]
mod choosing;

use std::time::Duration;

use chervilshunt_core::{Dispatch, LinkChange};
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
#[case::two_targets_fail(3, &[(0, "t1", false), (10, "t2", false)], true)]
#[case::a_third_one_accepts_between(3, &[(0, "t1", false), (5, "t3", true), (10, "t2", false)], false)]
#[case::the_failures_lie_far_apart(3, &[(0, "t1", false), (6_000, "t2", false)], false)]
#[case::the_only_target_fails(1, &[(0, "t1", false)], true)]
#[case::an_unknown_target_fails(1, &[(0, "t9", false)], false)]
#[case::one_accepts_again(3, &[(0, "t1", false), (10, "t2", false), (20, "t2", true)], false)]
fn an_instance_is_cut_off_when_several_targets_fail_and_none_accepts(
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
    let lost = play(&mut dispatch, &[(0, "t1", false), (10, "t2", false)]);
    let cut_off = LinkChange::CutOff {
        service: service(),
        failed: 2,
        targets: 3,
    };
    assert_eq!(lost, Some(cut_off));
    assert_eq!(play(&mut dispatch, &[(20, "t3", false)]), None);
    let reached = LinkChange::Reached {
        service: service(),
        after: Duration::from_millis(490),
    };
    assert_eq!(play(&mut dispatch, &[(500, "t3", true)]), Some(reached));
    assert_eq!(play(&mut dispatch, &[(510, "t3", true)]), None);
}

/// Guards against probes that go to crashed targets while others would accept them.
#[test]
fn targets_that_have_not_failed_are_probed_first() {
    let mut dispatch = with_targets(4);
    assert_eq!(dispatch.targets_to_probe(2, || 0.5), []);
    play(&mut dispatch, &[(0, "t1", false), (10, "t2", false)]);
    let mut probed = dispatch.targets_to_probe(2, || 0.5);
    probed.sort();
    assert_eq!(probed, [name("t3"), name("t4")]);
}
