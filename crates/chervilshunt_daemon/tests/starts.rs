//! Starts of the daemon that fail.

use std::process::Command;

use rstest::rstest;
use serde_json::Value;

/// Guards against starts that fail without a reason in the log.
#[rstest]
#[case::unknown_option(&["--setings", "a"], "setings")]
#[case::no_file(&["--settings", "no/such/file.jsonc"], "no/such/file.jsonc")]
fn a_failed_start_is_logged(#[case] arguments: &[&str], #[case] reason: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_chervilshuntd"))
        .args(arguments)
        .output()
        .expect("an end");
    assert_eq!(output.status.code(), Some(2));
    let line: Value = serde_json::from_slice(&output.stdout).expect("one JSON line");
    assert_eq!(line["level"], "error");
    assert_eq!(line["msg"], "start failed");
    let text = line["reason"].as_str().unwrap_or_default();
    assert!(text.contains(reason), "{text}");
}
