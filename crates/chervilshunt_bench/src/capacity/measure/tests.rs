//! Tests how counters are named and summed.

use rstest::rstest;

use super::{Counters, above_idle, value_name, values};

#[rstest]
#[case(
    r#"mesh_message_bytes_total{purpose="permits",direction="out"}"#,
    Some("bytes, mesh permits")
)]
#[case(r#"mesh_message_bytes_total{purpose="permits",direction="in"}"#, None)]
#[case(
    r#"mesh_socket_bytes_total{direction="out"}"#,
    Some("bytes, mesh in all")
)]
#[case(
    r#"chervilshunt_platform_bytes_total{direction="received"}"#,
    Some("bytes, platform in all")
)]
#[case(
    r#"chervilshunt_platform_calls_total{purpose="leases",verb="get",result="ok"}"#,
    Some("calls, leases get")
)]
#[case("mesh_connections", None)]
fn counters_map_to_values(#[case] name: &str, #[case] what: Option<&str>) {
    assert_eq!(value_name(name).as_deref(), what);
}

/// Bytes of both directions to the platform are summed, and the cost of an idle instance over the
/// same time is subtracted.
#[test]
fn sums_counters_and_subtracts_idle_cost() {
    let counters = Counters::from(
        [
            (
                r#"chervilshunt_platform_bytes_total{direction="sent"}"#,
                300.0,
            ),
            (
                r#"chervilshunt_platform_bytes_total{direction="received"}"#,
                100.0,
            ),
            (
                r#"chervilshunt_platform_calls_total{purpose="leases",verb="get",result="ok"}"#,
                6.0,
            ),
        ]
        .map(|(name, value)| (name.to_owned(), value)),
    );
    let traffic = values(&counters, 2.0);
    assert_eq!(traffic["bytes, platform in all"], 200.0);
    assert_eq!(traffic["calls, leases get"], 3.0);
    let idle = values(&counters, 20.0);
    let above_idle = above_idle(&traffic, &idle, 5.0);
    assert_eq!(above_idle["bytes, platform in all"], 100.0);
    assert_eq!(above_idle["calls, leases get"], 1.5);
}
