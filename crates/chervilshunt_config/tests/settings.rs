//! Tests of the settings that a file results in, and of the error texts for invalid files.

use std::time::Duration;

use chervilshunt_config::{KeyedDuringOutage, LogLevel, Settings, SettingsError, print_defaults};
use rstest::rstest;

const SMALLEST: &str = r#"{
  "instance": {"id": "entry-1", "zone": "herning", "region": "jutland"},
  "addresses": {
    "callers": "127.0.0.1:0",
    "peers": "127.0.0.1:0",
    "operators": "127.0.0.1:0",
  },
  "platform": {"address": "127.0.0.1:6443"},
}"#;

fn errors(text: &str) -> String {
    Settings::parse(text, "entry.jsonc")
        .expect_err("the text is invalid")
        .to_string()
}

#[test]
fn smallest_file_takes_defaults() {
    let settings = Settings::parse(SMALLEST, "entry.jsonc").expect("the file is valid");
    assert_eq!(settings.instance.zone.as_str(), "herning");
    assert_eq!(settings.lease.duration, Duration::from_secs(15));
    assert_eq!(settings.lease.renew_every, Duration::from_secs(5));
    assert_eq!(settings.outage.keyed_requests, KeyedDuringOutage::Refuse);
    assert_eq!(settings.log.level, LogLevel::Info);
    assert!(settings.runtime.traffic_threads > 0);
}

#[test]
fn printed_defaults_are_the_defaults() {
    let printed = print_defaults();
    insta::assert_snapshot!(printed);
    let from_printed = Settings::parse(&printed, "defaults").expect("defaults are accepted");
    let from_smallest = Settings::parse(SMALLEST, "entry.jsonc").expect("the file is valid");
    assert_eq!(
        Settings {
            instance: from_smallest.instance.clone(),
            addresses: from_smallest.addresses,
            ..from_printed
        },
        from_smallest
    );
}

#[test]
fn every_value_of_the_file_is_used() {
    let text = r#"{
      "instance": {"id": "entry-1", "zone": "herning", "region": "jutland"},
      "addresses": {"callers": "0.0.0.0:1", "peers": "0.0.0.0:2", "operators": "0.0.0.0:3"},
      "advertise": {"peers": "10.0.0.1:12"},
      "platform": {
        "address": "[::1]:4", "namespace": "races", "timeout_ms": 105, "calls_per_second": 6.5,
      },
      "limits": {
        "body_bytes": 10007, "header_bytes": 10008, "header_timeout_ms": 109,
        "body_timeout_ms": 110, "open_requests": 11, "queue_live": 12, "queue_deferrable": 13,
        "stream_buffer_bytes": 10014, "shutdown_ms": 15, "retry_budget_ratio": 0.16,
        "permit_window_ms": 117,
      },
      "lease": {"duration_ms": 1800, "renew_ms": 190, "margin_ms": 20},
      "policy": {"load_stalls": 21, "batch_efficiency": 22},
      "outage": {"keyed_requests": "queue"},
      "runtime": {"traffic_threads": 23},
      "log": {"level": "trace"},
    }"#;
    let settings = Settings::parse(text, "entry.jsonc").expect("the file is valid");
    insta::assert_debug_snapshot!(settings);
}

#[rstest]
#[case::empty("empty", "")]
#[case::syntax("syntax", "{\n  \"instance\": {\"id\": \"a\" \"zone\": \"b\"}\n}")]
#[case::not_an_object("not_an_object", "[1, 2]")]
#[case::section_not_an_object("section_not_an_object", &SMALLEST.replace(r#"{"address": "127.0.0.1:6443"}"#, "7"))]
#[case::section_an_array("section_an_array", &SMALLEST.replace(r#"{"address": "127.0.0.1:6443"}"#, r#"["127.0.0.1:6443"]"#))]
#[case::dotted_key("dotted_key", &SMALLEST.replace(r#""platform""#, r#""log.level": "info", "platform""#))]
#[case::all_missing("all_missing", "{}")]
#[case::unknown_keys("unknown_keys", &SMALLEST.replace(r#""id""#, r#""name": 1, "id""#).replace(r#""platform""#, r#""plattform": {}, "platform""#))]
#[case::clash("clash", &SMALLEST.replace("127.0.0.1:0", "127.0.0.1:8080"))]
#[case::clash_unspecified("clash_unspecified", &SMALLEST.replace(r#""peers": "127.0.0.1:0""#, r#""peers": "0.0.0.0:6000""#).replace(r#""operators": "127.0.0.1:0""#, r#""operators": "10.0.0.1:6000""#))]
#[case::advertise_port_zero("advertise_port_zero", &SMALLEST.replace(r#""platform""#, r#""advertise": {"peers": "10.0.0.1:0"}, "platform""#))]
#[case::twice("twice", &SMALLEST.replace(r#""id""#, r#""id": "x", "id""#))]
#[case::many_at_once(
    "many_at_once",
    r#"{
  "instance": {"id": "no spaces", "zone": "ærø", "region": 7},
  "addresses": {"callers": "localhost:80", "peers": "127.0.0.1:1", "operators": "127.0.0.1:2"},
  "platform": {"address": "127.0.0.1:6443", "timeout_ms": -1, "calls_per_second": 1e9},
  "limits": {"body_bytes": 1.5, "open_requests": 0},
  "lease": {"duration_ms": 9000},
  "policy": {"load_stalls": 0, "batch_efficiency": 0},
  "outage": {"keyed_requests": "run"},
  "log": {"level": "loud"},
}"#
)]
fn errors_name_position_key_and_allowed_values(#[case] name: &str, #[case] text: &str) {
    insta::assert_snapshot!(name, errors(text));
}

#[test]
fn unreadable_file_is_named() {
    let missing = std::path::Path::new("no/such/settings.jsonc");
    let error = Settings::load(missing).expect_err("there is no such file");
    assert!(matches!(error, SettingsError::Read { .. }));
    assert!(error.to_string().contains("no/such/settings.jsonc"));
}
