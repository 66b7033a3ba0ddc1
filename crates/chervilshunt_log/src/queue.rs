//! The queue of log lines, and the thread that writes them.

use std::fmt;
use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};
use slog_async::{AsyncGuard, OverflowStrategy};

use crate::failures::report_panics_to;
use crate::lines::json_lines;

/// The capacity of the queue of lines. When it is full, lines are dropped and counted, so that a
/// slow reader of the log never delays a request.
const QUEUE_CAPACITY_LINES: usize = 16_384;

/// Creates the log, and a guard that writes the queued lines when it is dropped.
pub fn start(instance: &str, zone: &str, level: Level) -> (Logger, FlushGuard) {
    let lines = Mutex::new(json_lines(std::io::stdout())).ignore_res();
    let (queue, guard) = slog_async::Async::new(lines)
        .chan_size(QUEUE_CAPACITY_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = queue.filter_level(level).ignore_res();
    let log = Logger::root(
        drain,
        o!("instance" => instance.to_owned(), "zone" => zone.to_owned()),
    );
    report_panics_to(log.clone());
    (log, FlushGuard { _guard: guard })
}

/// Writes the queued lines when it is dropped.
pub struct FlushGuard {
    _guard: AsyncGuard,
}

impl fmt::Debug for FlushGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FlushGuard").finish_non_exhaustive()
    }
}
