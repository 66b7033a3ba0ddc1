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
fn the_default_lease_has_the_defaults_of_the_coordination() {
    let timing = timing(Duration::from_secs(15));
    assert_eq!(timing.observer, ObserverConfig::default());
    assert_eq!(timing.elector, ElectorConfig::default());
    assert_eq!(timing.hold, LeaseExtensionConfig::default());
}

/// An operator sets leases of a minute, and observers still wait for 15 s: a pause of 20 s, and
/// two instances own the same target.
#[rstest]
#[case::shortest(500)]
#[case::short(3_000)]
#[case::long(60_000)]
#[case::longest(300_000)]
fn no_time_falls_out_of_proportion(#[case] millis: u64) {
    let duration = Duration::from_millis(millis);
    let timing = timing(duration);
    assert_eq!(timing.observer.unchanged_for, duration);
    assert!(timing.observer.longest_gap < duration);
    assert!(timing.hold.begin_before < duration);
    // Promises have to be there before the lease runs out, and outlast a renewal of them.
    assert!(timing.elector.failing_for < timing.hold.begin_before);
    assert!(timing.hold.renew_every + timing.hold.margin < timing.elector.promise_for);
}
