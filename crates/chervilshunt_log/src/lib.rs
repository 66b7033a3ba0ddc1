//! The log of every program: JSON lines on standard output, written by a separate thread through a
//! bounded queue.

use std::sync::Mutex;

use slog::{Drain, FnValue, Level, Logger, PushFnValue, Record, o};
use slog_async::OverflowStrategy;

/// The capacity of the queue of lines. When it is full, lines are dropped and counted, so that a
/// slow reader of the log never delays a request.
const QUEUE_CAPACITY_LINES: usize = 16_384;

/// Creates the log, and a guard that writes the queued lines when it is dropped.
pub fn start(instance: &str, zone: &str, level: Level) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::new(std::io::stdout())
        .add_key_value(o!(
            "ts" => FnValue(|_: &Record<'_>| timestamp()),
            "level" => FnValue(|record: &Record<'_>| record.level().as_str().to_lowercase()),
            "msg" => PushFnValue(|record: &Record<'_>, ser| ser.emit(record.msg())),
        ))
        .build();
    let lines = Mutex::new(json).ignore_res();
    let (queue, guard) = slog_async::Async::new(lines)
        .chan_size(QUEUE_CAPACITY_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let drain = queue.filter_level(level).ignore_res();
    let log = Logger::root(
        drain,
        o!("instance" => instance.to_owned(), "zone" => zone.to_owned()),
    );
    (log, guard)
}

/// Returns the Unix time in seconds, rounded to milliseconds; log readers merge the lines of
/// several instances by it.
fn timestamp() -> f64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0.0, |since| (since.as_secs_f64() * 1e3).round() / 1e3)
}
