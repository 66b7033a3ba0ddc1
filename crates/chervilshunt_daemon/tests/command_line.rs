//! The daemon's command line and settings check: output and exit codes.

use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;
use tempfile::TempDir;

const USABLE: &str = r#"{
  "instance": {"id": "entry-1", "zone": "herning", "region": "jutland"},
  "addresses": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
  "platform": {"address": "127.0.0.1:6443"}
}"#;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chervilshuntd"))
        .args(arguments)
        .output()
        .expect("the daemon starts")
}

/// Runs `--check` on a settings file with the given text.
fn check(text: &str) -> Output {
    let folder = TempDir::new().expect("there is room for a file");
    let file: PathBuf = folder.path().join("entry-1.jsonc");
    std::fs::write(&file, text).expect("the file can be written");
    run(&[
        "--settings",
        file.to_str().expect("a plain path"),
        "--check",
    ])
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn check_prints_nothing_for_a_valid_file() {
    let output = check(USABLE);
    assert_eq!(output.status.code(), Some(0), "{}", errors(&output));
    assert_eq!((output.stdout.len(), output.stderr.len()), (0, 0));
}

#[test]
fn check_accepts_the_printed_defaults() {
    let printed = run(&["--print-defaults"]);
    assert_eq!(printed.status.code(), Some(0));
    let text = String::from_utf8(printed.stdout).expect("it prints text");
    assert!(text.contains("//"), "the defaults have no comments: {text}");
    let output = check(&text);
    assert_eq!(output.status.code(), Some(0), "{}", errors(&output));
}

#[rstest]
#[case::unknown_key(
    &USABLE.replace(r#""platform""#, r#""plattform": {}, "platform""#),
    "entry-1.jsonc:4:3: plattform",
    "allowed"
)]
#[case::bad_value(
    &USABLE.replace("127.0.0.1:6443", "localhost"),
    "entry-1.jsonc:4:16: platform.address",
    "allowed"
)]
#[case::ports_that_clash(
    &USABLE.replace("127.0.0.1:0", "127.0.0.1:8080"),
    "entry-1.jsonc:3:",
    "addresses."
)]
fn an_error_is_reported_with_position_and_key_and_exit_code_2(
    #[case] text: &str,
    #[case] place: &str,
    #[case] more: &str,
) {
    let output = check(text);
    let errors = errors(&output);
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains(place), "{errors}");
    assert!(errors.contains(more), "{errors}");
}

#[rstest]
#[case::nothing(&[])]
#[case::an_unknown_option(&["--setings", "a"])]
#[case::no_such_file(&["--settings", "no/such/file.jsonc"])]
fn invalid_arguments_exit_with_2(#[case] arguments: &[&str]) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(2), "{}", errors(&output));
    assert!(!output.stderr.is_empty());
}
