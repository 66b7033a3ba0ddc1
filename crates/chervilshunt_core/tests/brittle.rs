//! Tests for the choice among targets that fall over when they have to turn away too many requests.

#[path = "support/choosing.rs"]
mod choosing;

use chervilshunt_core::{BrittleChange, Dispatch, LoadReport, WaitReason};
use chervilshunt_model::TargetName;
use choosing::{at, choose, chosen, dispatch, facts, service, to};
use rstest::rstest;

/// The number of slots of each target.
const SLOTS: u32 = 4;

fn t1() -> TargetName {
    TargetName::from("t1")
}

/// Returns a brittle target that has reported its load at 0 ms, with `own` requests of this instance.
fn brittle(instances: usize, own: u32, others: u32) -> Dispatch {
    let mut dispatch = dispatch([facts("t1", "here", &[])]);
    dispatch.set_instances(instances);
    dispatch.brittleness_answered(&t1(), Some(5.0), at(0));
    for _ in 0..own {
        dispatch.sent(&t1(), None);
    }
    let report = LoadReport {
        running: own + others,
        waiting: 0,
        slots: SLOTS,
        pace: None,
        is_pace_malformed: false,
    };
    dispatch.load_reported(&t1(), report, at(0));
    dispatch
}

/// Guards against requests that a brittle target has to turn away, and against slots that nobody uses.
#[rstest]
#[case::idle(4, 0, 0, 10, true)]
#[case::lightly_loaded(4, 1, 0, 10, true)]
#[case::more_than_its_part_of_an_old_report(4, 1, 0, 500, false)]
#[case::its_part_beside_others(4, 0, 2, 500, true)]
#[case::alone(1, 2, 0, 500, true)]
#[case::no_slot_is_left_for_others(1, 3, 0, 500, false)]
#[case::full_of_others(4, 0, 4, 10, false)]
#[case::full_of_others_long_ago(4, 0, 4, 1_500, true)]
fn a_brittle_target_gets_what_it_has_room_for(
    #[case] instances: usize,
    #[case] own: u32,
    #[case] others: u32,
    #[case] now: u64,
    #[case] is_sent: bool,
) {
    let dispatch = brittle(instances, own, others);
    let expected = if is_sent {
        to("t1")
    } else {
        Err(WaitReason::Full)
    };
    assert_eq!(chosen(choose(&dispatch, None, &[], now)), expected);
}

/// Guards against a full target that every instance tries again and again.
#[rstest]
#[case::one_instance(1, 400)]
#[case::four_instances(4, 1_600)]
#[case::many_instances(300, 2_000)]
fn a_target_that_turned_a_request_away_gets_none_for_a_time(
    #[case] instances: usize,
    #[case] pause: u64,
) {
    let mut dispatch = brittle(instances, 0, 0);
    dispatch.turned_away(&t1(), instances, at(10));
    let until = at(10 + pause);
    let just_before = choose(&dispatch, None, &[], 10 + pause - 1);
    assert_eq!(chosen(just_before), Err(WaitReason::Limited(until)));
    assert_eq!(dispatch.closed_targets(&service(), at(11)), [t1()]);
    assert_eq!(chosen(choose(&dispatch, None, &[], 10 + pause)), to("t1"));
}

#[test]
fn a_later_answer_ends_it_and_an_earlier_one_does_not() {
    let mut dispatch = brittle(1, 0, 0);
    assert_eq!(
        dispatch.brittleness_answered(&t1(), Some(5.0), at(20)),
        None
    );
    assert_eq!(dispatch.brittleness_answered(&t1(), None, at(10)), None);
    assert_eq!(dispatch.brittleness(&service()), Some(5.0));
    let ended = dispatch.brittleness_answered(&t1(), None, at(30));
    assert_eq!(ended, Some(BrittleChange { per_second: None }));
    assert_eq!(dispatch.brittleness(&service()), None);
}
