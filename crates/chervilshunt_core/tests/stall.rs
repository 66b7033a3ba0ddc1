//! Times in which the process stood still, and requests that are read late because of them.

use chervilshunt_core::StallDetector;
use chervilshunt_model::Moment;
use rstest::rstest;

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// Guards against requests that are taken for new ones although they waited while the process stood still.
#[rstest]
#[case::no_stall(&[1_200], 1_300, 1_300)]
#[case::short_gap(&[1_400], 1_400, 1_400)]
#[case::read_before_the_report(&[], 6_000, 1_000)]
#[case::read_after_the_report(&[6_000], 6_100, 1_000)]
#[case::still_catching_up(&[6_000, 6_200], 6_300, 1_000)]
#[case::still_catching_up_much_later(&[2_000, 2_200, 2_400, 2_600, 2_800], 2_999, 1_000)]
#[case::another_stall_meanwhile(&[6_000, 6_500, 6_700, 6_900, 7_100], 7_300, 1_000)]
#[case::caught_up(&[2_000, 2_200, 2_400, 2_600, 2_800], 3_000, 3_000)]
fn requests_may_have_arrived_during_a_stall(
    #[case] reports: &[u64],
    #[case] read: u64,
    #[case] arrived: u64,
) {
    let mut detector = StallDetector::new(at(800));
    detector.report_running(at(1_000));
    for report in reports {
        detector.report_running(at(*report));
    }
    assert_eq!(detector.earliest_arrival(at(read)), at(arrived));
}

#[test]
fn a_stall_is_reported_once() {
    let mut detector = StallDetector::new(at(0));
    let stall = detector.report_running(at(5_000)).expect("a stall");
    assert_eq!((stall.began, stall.ended), (at(0), at(5_000)));
    assert_eq!(detector.report_running(at(5_200)), None);
}
