use std::time::Duration;

use chervilshunt_config::LeaseSettings;
use chervilshunt_coord::{ElectorConfig, LeaseExtensionConfig, ObserverConfig};
use rstest::rstest;

use super::LeaseTiming;

fn timing(duration: Duration) -> LeaseTiming {
    LeaseTiming::new(&LeaseSettings {
        duration,
        renew_every: duration / 3,
        margin: duration / 10,
    })
}

#[test]
fn the_default_lease_keeps_the_coordinators_default_timings() {
    let timing = timing(Duration::from_secs(15));
    assert_eq!(timing.observer, ObserverConfig::default());
    assert_eq!(timing.elector, ElectorConfig::default());
    assert_eq!(timing.hold, LeaseExtensionConfig::default());
}

/// If an operator configured leases of one minute but observers still waited for only 15 s, a pause
/// of 20 s would give a target two owners.
#[rstest]
#[case::shortest(500)]
#[case::short(3_000)]
#[case::long(60_000)]
#[case::longest(300_000)]
fn all_timings_scale_with_the_lease(#[case] millis: u64) {
    let duration = Duration::from_millis(millis);
    let timing = timing(duration);
    assert_eq!(timing.observer.unchanged_for, duration);
    assert!(timing.observer.longest_gap < duration);
    assert!(timing.hold.begin_before < duration);
    // Promises have to arrive before the lease expires, and to last until they are renewed.
    assert!(timing.elector.failing_for < timing.hold.begin_before);
    assert!(timing.hold.renew_every + timing.hold.margin < timing.elector.promise_for);
}
