use std::time::Duration;

use rstest::rstest;

use super::is_kept;

const ANNOUNCED: Duration = Duration::from_millis(9_500);
const UNANNOUNCED: Duration = Duration::from_secs(4);

/// Guards against a new connection for each of the few requests that an instance sends to one of many
/// targets, and against connections left behind by a burst that use up a target's limit.
#[rstest]
#[case::last_used(9, ANNOUNCED, 0, true)]
#[case::target_has_closed_it(10, ANNOUNCED, 0, false)]
#[case::left_by_a_burst(3, ANNOUNCED, 1, true)]
#[case::left_by_a_burst_for_long(5, ANNOUNCED, 1, false)]
#[case::no_timeout_announced(5, UNANNOUNCED, 0, false)]
fn idle_connections_are_kept(
    #[case] idle_seconds: u64,
    #[case] limit: Duration,
    #[case] newer: usize,
    #[case] kept: bool,
) {
    let idle_time = Duration::from_secs(idle_seconds);
    assert_eq!(is_kept(idle_time, limit, newer), kept);
}
