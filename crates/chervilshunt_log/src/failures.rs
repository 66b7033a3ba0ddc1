//! Lines about failures that end a program or one of its threads.
//!
//! Supervisors may keep only standard output, so that a reason on standard error alone is lost.

use std::fmt::Display;
use std::panic::{self, PanicHookInfo};
use std::sync::{Mutex, OnceLock};

use slog::{Drain, Logger, o};

use crate::lines::json_lines;

/// The log of the program, once it has started.
static STARTED: OnceLock<Logger> = OnceLock::new();

/// Logs why a program can't start, if it has no log yet.
///
/// The line is written before the function returns.
pub fn report_failed_start(reason: &dyn Display) {
    slog::error!(unqueued(), "start failed"; "reason" => reason.to_string());
}

/// Logs panics from now on, in addition to the default message on standard error.
///
/// Until [`start`](crate::start) has been called, lines are written directly; later they are queued,
/// because a panic in one task must not make the others wait for the reader of the log.
pub fn report_panics() {
    let default = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        match STARTED.get() {
            Some(log) => log_panic(log, panic),
            None => log_panic(&unqueued(), panic),
        }
        default(panic);
    }));
}

/// Sends lines about panics to the log of the program.
pub(crate) fn report_panics_to(log: Logger) {
    // A program starts one log. In a test that starts several, the first one gets the lines.
    let _already_started = STARTED.set(log);
}

fn log_panic(log: &Logger, panic: &PanicHookInfo<'_>) {
    let thread = std::thread::current();
    slog::error!(log, "panicked";
        "reason" => panic.payload_as_str().unwrap_or("no message"),
        "at" => panic.location().map(ToString::to_string),
        "thread" => thread.name().unwrap_or("unnamed"));
}

/// Returns a log that writes each line before it returns.
fn unqueued() -> Logger {
    let lines = Mutex::new(json_lines(std::io::stdout())).ignore_res();
    Logger::root(lines, o!())
}
