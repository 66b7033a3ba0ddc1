//! Return times of refused callers.

use std::time::Duration;

use chervilshunt_core::{Fingerprint, ReturnSchedule};
use chervilshunt_model::Moment;

const INTERVAL: Duration = Duration::from_millis(10);
const PATIENCE: Duration = Duration::from_secs(1);

fn caller(number: u64) -> Fingerprint {
    Fingerprint::of([&number.to_le_bytes()[..]])
}

fn at(ms: u64) -> Moment {
    Moment::from_micros(ms * 1_000)
}

/// Guards against refused callers that are all told the same time and are refused again together.
#[test]
fn no_two_callers_are_told_the_same_time() {
    let mut returns = ReturnSchedule::default();
    let earliest = Duration::from_millis(200);
    let told: Vec<_> = (0..300)
        .filter_map(|it| returns.schedule(caller(it), earliest, INTERVAL, PATIENCE, at(0)))
        .collect();
    assert_eq!(told.len(), 81, "one each 10 ms from 200 ms to 1 s");
    assert_eq!(told[0], earliest);
    assert!(told.windows(2).all(|it| it[1] - it[0] == INTERVAL));
}

/// Guards against callers that get a place by retrying early or several times.
#[test]
fn a_place_is_kept_for_its_time_and_used_once() {
    let mut returns = ReturnSchedule::default();
    let wait = returns.schedule(caller(1), INTERVAL * 10, INTERVAL, PATIENCE, at(0));
    assert_eq!(wait, Some(INTERVAL * 10));
    assert!(!returns.redeem(caller(1), at(50)), "too early");
    assert!(!returns.redeem(caller(2), at(100)), "another caller");
    assert!(returns.redeem(caller(1), at(100)));
    assert!(!returns.redeem(caller(1), at(101)), "already used");
}

/// Guards against room that is reserved for callers that never return.
#[test]
fn a_caller_that_does_not_return_loses_its_place() {
    let mut returns = ReturnSchedule::default();
    returns.schedule(caller(1), INTERVAL, INTERVAL, PATIENCE, at(0));
    assert_eq!(returns.due(at(500)), 1);
    assert_eq!(returns.due(at(1_100)), 0);
    assert!(!returns.redeem(caller(1), at(1_100)));
    assert!(returns.is_empty());
}

/// Guards against unbounded memory while callers are refused faster than they return.
#[test]
fn the_number_of_expected_callers_is_bounded() {
    let mut returns = ReturnSchedule::default();
    for number in 0..10_000 {
        returns.schedule(caller(number), INTERVAL, Duration::ZERO, PATIENCE, at(0));
    }
    assert_eq!(returns.len(), 4_096);
}
