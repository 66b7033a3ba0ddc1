//! Tests for the state that targets report about themselves with their responses.

#[path = "support/choosing.rs"]
mod choosing;

use std::time::Duration;

use chervilshunt_core::{EntryChange, Leaving, TargetFacts, TargetStart, WaitReason};
use chervilshunt_model::TargetName;
use choosing::{adapter, at, choose, chosen, dispatch, facts, service, to};

fn name(target: &str) -> TargetName {
    TargetName::from(target)
}

fn started(target: &str, start: u64) -> TargetFacts {
    TargetFacts {
        started: Some(TargetStart(start)),
        ..facts(target, "here", &[])
    }
}

#[test]
fn a_target_that_reports_leaving_is_no_longer_selected() {
    let mut dispatch = dispatch([started("t1", 7), started("t2", 7)]);
    assert!(dispatch.leaving_reported(&name("t1"), Some(TargetStart(7))));
    assert!(!dispatch.leaving_reported(&name("t1"), Some(TargetStart(7))));
    for _ in 0..3 {
        assert_eq!(chosen(choose(&dispatch, None, &[], 0)), to("t2"));
        dispatch.sent(&name("t2"), None);
    }
    let named = dispatch.choose_named(&name("t1"), None, None, false, at(0));
    assert_eq!(chosen(named), Err(WaitReason::NoTarget));
    assert_eq!(dispatch.closed_targets(&service(), at(0)), [name("t1")]);
}

/// Guards against an earlier entry that makes a leaving target usable again.
#[test]
fn an_earlier_entry_does_not_make_it_usable_again() {
    let mut dispatch = dispatch([started("t1", 7)]);
    dispatch.leaving_reported(&name("t1"), Some(TargetStart(7)));
    assert_eq!(
        dispatch.target_listed(started("t1", 7), at(1)),
        EntryChange::Known
    );
    assert_eq!(
        chosen(choose(&dispatch, None, &[], 1)),
        Err(WaitReason::NoTarget)
    );
    // This also holds after the target was missing from the list for a time.
    dispatch.target_gone(&name("t1"));
    assert_eq!(
        dispatch.target_forwarded(started("t1", 7), at(2)),
        EntryChange::New
    );
    assert_eq!(
        chosen(choose(&dispatch, None, &[], 2)),
        Err(WaitReason::NoTarget)
    );
}

#[test]
fn a_later_start_is_used() {
    let mut dispatch = dispatch([started("t1", 7)]);
    dispatch.leaving_reported(&name("t1"), Some(TargetStart(7)));
    dispatch.target_listed(started("t1", 8), at(1));
    assert_eq!(chosen(choose(&dispatch, None, &[], 1)), to("t1"));
    // A response of the previous start arrives late.
    assert!(!dispatch.leaving_reported(&name("t1"), Some(TargetStart(7))));
    assert_eq!(chosen(choose(&dispatch, None, &[], 1)), to("t1"));
}

#[test]
fn a_target_that_requests_a_pause_is_not_selected_until_its_end() {
    let mut dispatch = dispatch([facts("t1", "here", &[]), facts("t2", "here", &[])]);
    dispatch.pause_requested(&name("t1"), Duration::from_secs(2), at(0));
    assert_eq!(chosen(choose(&dispatch, None, &[], 1_999)), to("t2"));
    let named = dispatch.choose_named(&name("t1"), None, None, false, at(1_999));
    assert_eq!(chosen(named), Err(WaitReason::NoTarget));
    assert_eq!(dispatch.closed_targets(&service(), at(1_999)), [name("t1")]);
    dispatch.sent(&name("t2"), None);
    assert_eq!(chosen(choose(&dispatch, None, &[], 2_000)), to("t1"));
}

/// Guards against callers that wait for targets which are known to accept no requests.
#[test]
fn the_first_end_is_returned_if_all_targets_are_paused() {
    let holding = [("a", 1)];
    let mut dispatch = dispatch([facts("t1", "here", &holding), facts("t2", "here", &holding)]);
    dispatch.pause_requested(&name("t1"), Duration::from_secs(3), at(0));
    dispatch.pause_requested(&name("t2"), Duration::from_secs(2), at(500));
    // A later, shorter pause does not shorten the first one.
    dispatch.pause_requested(&name("t1"), Duration::from_secs(1), at(600));
    let choice = choose(&dispatch, Some(&adapter("a")), &[], 1_000);
    assert_eq!(chosen(choice), Err(WaitReason::Paused(at(2_500))));
}

/// Guards against an implausible value, which would take a target out of use permanently.
#[test]
fn a_pause_is_bounded() {
    let mut dispatch = dispatch([facts("t1", "here", &[])]);
    dispatch.pause_requested(&name("t1"), Duration::MAX, at(0));
    assert_eq!(chosen(choose(&dispatch, None, &[], 600_000)), to("t1"));
}

/// Guards against an outdated copy of the platform's list, in which a leaving target is ready.
#[test]
fn a_target_listed_as_leaving_stays_leaving() {
    let mut dispatch = dispatch([started("t1", 7)]);
    let mut draining = started("t1", 7);
    draining.leaving = Some(Leaving { gone_after: None });
    dispatch.target_listed(draining, at(1));
    dispatch.target_listed(started("t1", 7), at(2));
    assert_eq!(
        chosen(choose(&dispatch, None, &[], 2)),
        Err(WaitReason::NoTarget)
    );
    dispatch.target_listed(started("t1", 8), at(3));
    assert_eq!(chosen(choose(&dispatch, None, &[], 3)), to("t1"));
}

/// Guards against an outdated copy of the list that contains a removed target, which must be
/// distinguished from a new one.
#[test]
fn an_entry_of_a_removed_start_is_recognized() {
    let mut dispatch = dispatch([started("t1", 7), facts("t2", "here", &[])]);
    assert!(!dispatch.is_removed_start(&started("t1", 7)), "it is there");
    dispatch.target_gone(&name("t1"));
    dispatch.target_gone(&name("t2"));
    assert!(dispatch.is_removed_start(&started("t1", 7)));
    assert!(dispatch.is_removed_start(&started("t1", 6)));
    assert!(
        !dispatch.is_removed_start(&started("t1", 8)),
        "it has restarted"
    );
    assert!(dispatch.is_removed_start(&facts("t2", "here", &[])));
    assert!(!dispatch.is_removed_start(&started("t3", 1)));
}
