//! The format of log lines.

use std::io::Write;

use slog::{FnValue, PushFnValue, Record, o};
use slog_json::Json;

/// Creates a drain that writes records as JSON lines.
pub(crate) fn json_lines<W: Write>(out: W) -> Json<W> {
    Json::new(out)
        .add_key_value(o!(
            "ts" => FnValue(|_: &Record<'_>| timestamp()),
            "level" => FnValue(|record: &Record<'_>| record.level().as_str().to_lowercase()),
            "msg" => PushFnValue(|record: &Record<'_>, ser| ser.emit(record.msg())),
        ))
        .build()
}

/// Returns the Unix time in seconds, rounded to milliseconds; log readers merge the lines of
/// several instances by it.
fn timestamp() -> f64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0.0, |since| (since.as_secs_f64() * 1e3).round() / 1e3)
}
