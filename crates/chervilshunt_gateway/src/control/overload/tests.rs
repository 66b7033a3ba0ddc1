//! Tests of when the control actor counts as overloaded.

use std::time::Duration;

use chervilshunt_model::Moment;

use super::Overload;

/// Records delays at given times, both in milliseconds, and returns whether the last one shows
/// overload.
fn is_overloaded_after(delays: &[(u64, u64)]) -> bool {
    let mut overload = Overload::default();
    let mut lasts = false;
    for (at, late_by) in delays {
        lasts = overload.record_delay(Duration::from_millis(*late_by), Moment::from_millis(*at));
    }
    lasts
}

#[test]
fn a_short_burst_is_no_overload() {
    assert!(!is_overloaded_after(&[
        (1_000, 900),
        (2_000, 900),
        (2_900, 900)
    ]));
    assert!(!is_overloaded_after(&[
        (1_000, 900),
        (2_000, 100),
        (3_100, 900)
    ]));
}

#[test]
fn a_placer_that_stays_behind_is_overloaded() {
    assert!(is_overloaded_after(&[
        (1_000, 900),
        (2_000, 400),
        (3_000, 1_500)
    ]));
}
