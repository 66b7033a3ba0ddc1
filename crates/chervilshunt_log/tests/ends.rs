//! What the log holds when a program ends. Each program is this test binary, started again.

use std::process::{Command, Stdio};

use chervilshunt_log::{report_failed_start, report_panics, start};
use rstest::rstest;
use serde_json::Value;
use slog::Level;

/// The environment variable that names the program to run.
const PROGRAM: &str = "CHERVILSHUNT_LOG_TEST_PROGRAM";

fn program(name: &str) -> Command {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.args(["--exact", "--nocapture", "program_of_the_other_tests"]);
    command.env(PROGRAM, name);
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    command
}

/// Returns the lines at level `error` that a program writes.
fn errors_of(name: &str) -> Vec<Value> {
    let output = program(name).output().expect("an end");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines = text
        .lines()
        .filter_map(|it| serde_json::from_str::<Value>(it).ok());
    lines.filter(|it| it["level"] == "error").collect()
}

/// Guards against programs whose end leaves no reason on standard output.
#[rstest]
#[case::failed_start("failed start", "start failed", "no such file")]
#[case::panic_before_the_log("panic before the log", "panicked", "before the log")]
#[case::panic_with_a_log("panic with a log", "panicked", "with a log")]
#[case::panic_of_a_thread("panic of a thread", "panicked", "in a thread")]
#[case::last_line("last line", "the last line", "none")]
fn the_reason_for_an_end_is_logged(#[case] name: &str, #[case] msg: &str, #[case] reason: &str) {
    let errors = errors_of(name);
    let [error] = errors.as_slice() else {
        panic!("not one error: {errors:?}");
    };
    assert_eq!(error["msg"], msg);
    assert_eq!(error["reason"], reason);
    assert!(error["ts"].as_f64().is_some_and(|it| it > 0.0), "{error}");
}

/// Does nothing unless it is started as a program by the tests above.
#[test]
fn program_of_the_other_tests() {
    let Ok(name) = std::env::var(PROGRAM) else {
        return;
    };
    report_panics();
    if name == "failed start" {
        report_failed_start(&"no such file");
        return;
    }
    assert!(name != "panic before the log", "before the log");
    let (log, _flushed_on_drop) = start("i1", "here", Level::Info);
    match name.as_str() {
        "panic with a log" => panic!("with a log"),
        "panic of a thread" => {
            let panicked = std::thread::spawn(|| panic!("in a thread")).join();
            assert!(panicked.is_err());
        }
        "last line" => slog::error!(log, "the last line"; "reason" => "none"),
        name => panic!("no program {name}"),
    }
}
