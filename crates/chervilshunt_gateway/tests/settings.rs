//! Tests of an instance's settings: accepted values and the errors that an operator sees.

use chervilshunt_gateway::{PlainAdmission, Settings};
use rstest::rstest;

/// Returns settings with additional keys of the instance and of the bounds.
fn text(instance: &str, bounds: &str) -> String {
    format!(
        r#"{{
            // Comments may stand anywhere.
            "instance": {{ "id": "i1", "zone": "here", "region": "all" {instance} }},
            "addresses": {{
                "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
                "peers": "127.0.0.1:3", "transit": "127.0.0.1:5",
                "metrics": "127.0.0.1:4"
            }},
            "platform": {{ "address": "127.0.0.1:5" }},
            "bounds": {{ {bounds} }}
        }}"#
    )
}

#[test]
fn missing_keys_have_defaults() {
    let settings = Settings::parse(&text("", ""), "settings.jsonc").expect("sound settings");
    assert_eq!(settings.instance.processor_share, 1.0);
    assert!(settings.instance.is_first_start);
    assert_eq!(settings.bounds.shutdown.as_secs(), 8);
    assert_eq!(settings.bounds.handover_gap.as_millis(), 3_300);
}

#[test]
fn given_values_replace_the_defaults() {
    let instance = r#", "processor_share": 0.25, "first_start": false"#;
    let text = text(instance, r#""lease_rest_ms": 1000"#);
    let settings = Settings::parse(&text, "settings.jsonc").expect("sound settings");
    assert_eq!(settings.instance.processor_share, 0.25);
    assert!(!settings.instance.is_first_start);
    assert_eq!(settings.bounds.handover_gap.as_millis(), 1_300);
}

#[test]
fn limits_of_teams_are_read() {
    let bounds =
        r#""max_key_age_ms": 5000, "quota_window_s": 4, "quota_overage": 0.2, "quota_slack": 100"#;
    let settings = Settings::parse(&text("", bounds), "settings.jsonc").expect("sound settings");
    assert_eq!(
        settings.bounds.max_key_age.map(|it| it.as_millis()),
        Some(5_000)
    );
    let tolerance = settings.bounds.quota_tolerance;
    assert_eq!(tolerance.window.as_secs(), 4);
    assert_eq!((tolerance.overage, tolerance.slack), (0.2, 100.0));
}

/// An instance on a machine with several cores has to start.
#[test]
fn a_processor_share_above_one_is_accepted() {
    let settings = Settings::parse(&text(r#", "processor_share": 2.0"#, ""), "settings.jsonc");
    assert_eq!(
        settings.expect("sound settings").instance.processor_share,
        2.0
    );
}

#[rstest]
#[case::no_memory(r#", "max_memory_mb": 0"#, "", "instance.max_memory_mb")]
#[case::few_descriptors(r#", "max_descriptors": 127"#, "", "instance.max_descriptors")]
#[case::no_share(r#", "processor_share": 0"#, "", "instance.processor_share")]
#[case::negative_share(r#", "processor_share": -0.5"#, "", "instance.processor_share")]
#[case::no_shutdown_time("", r#""shutdown_s": 0"#, "bounds.shutdown_s")]
#[case::negative_budget("", r#""retry_ratio": -0.1"#, "bounds.retry_ratio")]
#[case::no_key_age("", r#""max_key_age_ms": 0"#, "bounds.max_key_age_ms")]
#[case::negative_overage("", r#""quota_overage": -0.1"#, "bounds.quota_overage")]
#[case::negative_slack("", r#""quota_slack": -1"#, "bounds.quota_slack")]
#[case::no_quota_window("", r#""quota_window_s": 0"#, "bounds.quota_window_s")]
#[case::unknown_key(r#", "zones": 3"#, "", "zones")]
fn an_error_names_file_and_key(#[case] instance: &str, #[case] bounds: &str, #[case] key: &str) {
    let error = Settings::parse(&text(instance, bounds), "settings.jsonc").expect_err("a mistake");
    let message = error.to_string();
    assert!(
        message.contains("settings.jsonc") && message.contains(key),
        "{message}"
    );
}

/// Guards against two ports with one address, which an instance would wait for until its start fails.
#[rstest]
#[case::same("127.0.0.1:1", true)]
#[case::other_port("127.0.0.1:9", false)]
#[case::other_address("127.0.0.2:1", false)]
fn two_ports_with_one_address_are_refused(#[case] metrics: &str, #[case] is_refused: bool) {
    let text = text("", "").replace("127.0.0.1:4", metrics);
    let error = Settings::parse(&text, "settings.jsonc").err();
    let message = error.map(|it| it.to_string());
    let expected = "settings.jsonc: addresses.callers and addresses.metrics must differ";
    assert_eq!(message.as_deref(), is_refused.then_some(expected));
}

/// Guards against any port being refused where the system chooses it.
#[test]
fn several_ports_may_be_chosen_by_the_system() {
    let text = text("", "").replace("127.0.0.1:4", "127.0.0.1:0");
    let text = text.replace(r#""127.0.0.1:1""#, r#""127.0.0.1:0""#);
    assert!(Settings::parse(&text, "settings.jsonc").is_ok());
}

/// Guards against a setting that is read as another one, or that changes what happens by default.
#[rstest]
#[case::left_out("", Some(PlainAdmission::Auto))]
#[case::auto(
    r#""admission": { "plain_services": "auto" },"#,
    Some(PlainAdmission::Auto)
)]
#[case::placer(
    r#""admission": { "plain_services": "placer" },"#,
    Some(PlainAdmission::Placer)
)]
#[case::off(
    r#""admission": { "plain_services": "off" },"#,
    Some(PlainAdmission::Off)
)]
#[case::unknown(r#""admission": { "plain_services": "all" },"#, None)]
#[case::misspelt(r#""admission": { "plain_service": "off" },"#, None)]
fn the_admission_to_plain_services_is_read(
    #[case] key: &str,
    #[case] expected: Option<PlainAdmission>,
) {
    let text = text("", "").replacen('{', &format!("{{ {key}"), 1);
    let settings = Settings::parse(&text, "settings.jsonc");
    assert_eq!(settings.ok().map(|it| it.plain_admission), expected);
}
