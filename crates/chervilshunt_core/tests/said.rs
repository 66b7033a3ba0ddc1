//! What targets say of themselves with their answers, by cases.

#[path = "support/choosing.rs"]
mod choosing;

use chervilshunt_core::{TargetFacts, TargetNews, TargetStart, Wait};
use chervilshunt_model::TargetName;
use choosing::{at, choose, chosen, dispatch, facts, service, to};

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
fn a_target_that_says_it_leaves_is_no_longer_chosen() {
    let mut dispatch = dispatch([started("t1", 7), started("t2", 7)]);
    assert!(dispatch.says_it_leaves(&name("t1"), Some(TargetStart(7))));
    assert!(!dispatch.says_it_leaves(&name("t1"), Some(TargetStart(7))));
    for _ in 0..3 {
        assert_eq!(chosen(choose(&dispatch, None, &[], 0)), to("t2"));
        dispatch.sent(&name("t2"), None);
    }
    let named = dispatch.choose_named(&name("t1"), None, at(0));
    assert_eq!(chosen(named), Err(Wait::NoTarget));
    assert_eq!(dispatch.closed(&service(), at(0)), [name("t1")]);
}

/// Guards against an entry of before that makes a target usable again that leaves.
#[test]
fn its_entry_does_not_take_it_back() {
    let mut dispatch = dispatch([started("t1", 7)]);
    dispatch.says_it_leaves(&name("t1"), Some(TargetStart(7)));
    assert_eq!(
        dispatch.target_seen(started("t1", 7), at(1)),
        TargetNews::Known
    );
    assert_eq!(chosen(choose(&dispatch, None, &[], 1)), Err(Wait::NoTarget));
    // Not even after it was gone from the list for a time.
    dispatch.target_gone(&name("t1"));
    assert_eq!(
        dispatch.target_told(started("t1", 7), at(2)),
        TargetNews::New
    );
    assert_eq!(chosen(choose(&dispatch, None, &[], 2)), Err(Wait::NoTarget));
}

#[test]
fn its_next_start_is_used() {
    let mut dispatch = dispatch([started("t1", 7)]);
    dispatch.says_it_leaves(&name("t1"), Some(TargetStart(7)));
    dispatch.target_seen(started("t1", 8), at(1));
    assert_eq!(chosen(choose(&dispatch, None, &[], 1)), to("t1"));
    // An answer of the start before comes late.
    assert!(!dispatch.says_it_leaves(&name("t1"), Some(TargetStart(7))));
    assert_eq!(chosen(choose(&dispatch, None, &[], 1)), to("t1"));
}
