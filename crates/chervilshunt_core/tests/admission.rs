//! Admission of callers' connections.

use std::time::Duration;

use chervilshunt_core::{AdmissionConfig, ConnectionAdmission, ConnectionRefusal};
use chervilshunt_model::Moment;
use rstest::rstest;

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn admission(max_connections: usize) -> ConnectionAdmission {
    ConnectionAdmission::new(AdmissionConfig {
        max_connections,
        ..AdmissionConfig::default()
    })
}

/// Guards against callers that take the descriptors which connections to targets need.
#[rstest]
#[case(4_100, 1_600)]
#[case(8_192, 3_646)]
#[case(1_000, 50)]
#[case(64, 16)]
fn callers_get_less_than_half_of_the_descriptors(
    #[case] descriptors: usize,
    #[case] expected: usize,
) {
    let cfg = AdmissionConfig::for_descriptors(descriptors);
    assert_eq!(cfg.max_connections, expected);
}

#[test]
fn connections_beyond_the_limit_are_refused_until_one_ends() {
    let mut admission = admission(2);
    assert_eq!(admission.try_open(), Ok(()));
    assert_eq!(admission.try_open(), Ok(()));
    assert_eq!(admission.try_open(), Err(ConnectionRefusal::TooMany));
    admission.closed();
    assert_eq!(admission.try_open(), Ok(()));
    assert_eq!(admission.open(), 2);
}

/// Guards against kept connections that fill the limit for good.
#[test]
fn callers_keep_their_connections_while_a_quarter_is_free() {
    let mut admission = admission(8);
    for _ in 0..6 {
        assert!(admission.may_keep());
        assert_eq!(admission.try_open(), Ok(()));
    }
    assert!(admission.may_keep());
    assert_eq!(admission.try_open(), Ok(()));
    assert!(!admission.may_keep());
}

/// Guards against requests that are read when their callers have given them up, and against readiness that
/// changes with every moment.
#[test]
fn an_instance_that_is_behind_refuses_until_it_has_caught_up() {
    let mut admission = admission(8);
    assert_eq!(admission.lag_measured(ms(399), at(0)), None);
    assert_eq!(admission.try_open(), Ok(()));
    assert_eq!(admission.lag_measured(ms(400), at(100)), Some(true));
    assert_eq!(admission.try_open(), Err(ConnectionRefusal::Behind));
    assert!(!admission.may_keep());
    assert!(admission.is_ready(at(1_099)));
    assert!(!admission.is_ready(at(1_100)));
    assert_eq!(admission.lag_measured(ms(101), at(2_000)), None);
    assert_eq!(admission.lag_measured(ms(100), at(2_100)), Some(false));
    assert_eq!(admission.try_open(), Ok(()));
    assert!(!admission.is_ready(at(3_099)));
    assert!(admission.is_ready(at(3_100)));
}

/// Guards against a moment behind that takes an instance out of rotation.
#[test]
fn a_moment_behind_does_not_count_for_readiness() {
    let mut admission = admission(8);
    admission.lag_measured(ms(500), at(0));
    admission.lag_measured(ms(0), at(300));
    assert!((300..3_000).all(|millis| admission.is_ready(at(millis))));
}
