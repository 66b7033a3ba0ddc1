//! What the log holds when a program ends. Each program is this test binary, started again.

use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use chervilshunt_log::{report_failed_start, report_panics, start};
use rstest::rstest;
use serde_json::Value;
use slog::Level;

/// The environment variable that names the program to run.
const PROGRAM: &str = "CHERVILSHUNT_LOG_TEST_PROGRAM";
/// Time limit for a program to end.
const EXIT_LIMIT: Duration = Duration::from_secs(20);
/// The number of lines that fill the pipe of a reader that doesn't read, and not the log's queue.
const LINES_MORE_THAN_A_PIPE_HOLDS: usize = 4_000;

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

fn wait(mut program: Child) -> Option<ExitStatus> {
    let began = Instant::now();
    while began.elapsed() < EXIT_LIMIT {
        if let Some(status) = program.try_wait().expect("a status") {
            return Some(status);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    drop(program.kill());
    drop(program.wait());
    None
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

/// Guards against a process that doesn't exit because nobody reads its log.
#[test]
fn a_reader_that_does_not_read_does_not_delay_the_exit() {
    let mut program = program("more lines than a pipe holds");
    let status = wait(program.spawn().expect("a process"));
    assert!(status.expect("an exit").success());
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
    let (log, flushed_on_drop) = start("i1", "here", Level::Info);
    match name.as_str() {
        "panic with a log" => panic!("with a log"),
        "panic of a thread" => {
            let panicked = std::thread::spawn(|| panic!("in a thread")).join();
            assert!(panicked.is_err());
        }
        "last line" => slog::error!(log, "the last line"; "reason" => "none"),
        "more lines than a pipe holds" => {
            for _ in 0..LINES_MORE_THAN_A_PIPE_HOLDS {
                slog::info!(log, "a line"; "text" => "some text that makes the line longer");
            }
            drop(flushed_on_drop);
            // Returning would write the test's result to the full pipe.
            std::process::exit(0);
        }
        name => panic!("no program {name}"),
    }
}
