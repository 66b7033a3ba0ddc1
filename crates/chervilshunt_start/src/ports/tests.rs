use rstest::rstest;

use super::*;

const LIMIT: Duration = Duration::from_secs(10);

fn refusal(source: impl Into<io::Error>) -> Refusal {
    Refusal {
        port: Port::new("callers", ([127, 0, 0, 1], 7001).into()),
        source: source.into(),
    }
}

fn discard() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

/// Guards against ending a start for a reason that passes by itself, and against waiting for one that doesn't.
#[rstest]
#[case::taken(Errno::ADDRINUSE, true)]
#[case::not_there(Errno::ADDRNOTAVAIL, true)]
#[case::files_of_the_machine(Errno::NFILE, true)]
#[case::buffers(Errno::NOBUFS, true)]
#[case::memory(Errno::NOMEM, true)]
#[case::files_of_the_process(Errno::MFILE, false)]
#[case::right(Errno::ACCESS, false)]
#[case::invalid(Errno::INVAL, false)]
#[case::no_such_family(Errno::AFNOSUPPORT, false)]
fn only_a_reason_that_may_pass_is_waited_for(#[case] reason: Errno, #[case] waits: bool) {
    let now = Instant::now();
    let mut wait = AddressWait::new(now, LIMIT);
    let first = wait.continue_after(vec![refusal(reason)], now, &discard());
    assert_eq!(first.is_ok(), waits);
    let last = wait.continue_after(vec![refusal(reason)], now + LIMIT, &discard());
    assert!(last.is_err());
}

/// Guards against errors that don't say which address was refused, why, and what to do about it.
#[rstest]
#[case::taken(Errno::ADDRINUSE, "Address already in use", "stop the process")]
#[case::not_there(Errno::ADDRNOTAVAIL, "Cannot assign", "assign the address")]
#[case::right(Errno::ACCESS, "Permission denied", "the right to open this port")]
#[case::other(Errno::MFILE, "Too many open files", "limits of the process")]
fn an_error_says_what_to_do(#[case] reason: Errno, #[case] system: &str, #[case] remedy: &str) {
    let error = refusal(reason).into_error(LIMIT).to_string();
    for part in [
        "127.0.0.1:7001",
        "addresses.callers",
        system,
        "10.0 s",
        remedy,
    ] {
        assert!(error.contains(part), "{part:?} is missing: {error}");
    }
}

/// Guards against errors and lines about a wait that there was not.
#[test]
fn only_a_wait_is_told() {
    let began = Instant::now();
    let now = began + Duration::from_millis(1);
    let mut wait = AddressWait::new(began, LIMIT);
    assert!(wait.waited(now).is_zero());
    let error = wait.continue_after(vec![refusal(Errno::ACCESS)], now, &discard());
    let message = error.expect_err("a final refusal").to_string();
    assert!(!message.contains("tried for"), "{message}");
    let waiting = wait.continue_after(vec![refusal(Errno::ADDRINUSE)], now, &discard());
    assert!(waiting.is_ok());
    assert_eq!(wait.waited(began + LIMIT), LIMIT);
}
