//! The queue of log lines, and the thread that writes them.

use std::fmt;
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::Duration;

use slog::{Drain, Level, Logger, o};
use slog_async::{AsyncGuard, OverflowStrategy};

use crate::failures::report_panics_to;
use crate::lines::json_lines;

/// The capacity of the queue of lines. When it is full, lines are dropped and counted, so that a
/// slow reader of the log never delays a request.
const QUEUE_CAPACITY_LINES: usize = 16_384;
/// The time limit for writing the queued lines at the end of a program.
const FLUSH_LIMIT: Duration = Duration::from_millis(250);

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
    (log, FlushGuard(Some(guard)))
}

/// Writes the queued lines when it is dropped.
///
/// It gives up after 250 ms, because a reader that has stopped reading would otherwise keep the
/// process from exiting.
pub struct FlushGuard(Option<AsyncGuard>);

impl fmt::Debug for FlushGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FlushGuard").finish_non_exhaustive()
    }
}

impl Drop for FlushGuard {
    fn drop(&mut self) {
        let guard = self.0.take();
        let (tx, rx) = mpsc::channel::<()>();
        let flush = move || {
            drop(guard);
            drop(tx);
        };
        // Without a thread, the closure is dropped here, and the guard in it writes the lines.
        let flushing = thread::Builder::new()
            .name("log-flush".to_owned())
            .spawn(flush);
        if flushing.is_ok() {
            // The channel closes when all lines are written.
            let _closed_or_late = rx.recv_timeout(FLUSH_LIMIT);
        }
    }
}
