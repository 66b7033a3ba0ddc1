//! Validates an engine's SSE stream incrementally, split at any position.

use std::sync::Arc;

use memchr::memchr2;

use super::Usage;
use super::json_scanner::{JsonScanner, ModelMatch};
use crate::error::{EngineError, FailedMidwaySnafu, MalformedSnafu, WrongModelSnafu};

/// The field name of an event's data, with its colon.
const DATA_FIELD: &[u8] = b"data:";
/// The data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Validates that every event of a stream names the expected model, and that nothing follows the
/// final `[DONE]` event.
#[derive(Debug)]
pub struct SseScanner {
    named: Arc<str>,
    line: LineState,
    /// Whether the last byte was a CR that ended a line, so that a following LF belongs to it.
    after_cr: bool,
    /// Whether the last byte ended an event.
    after_event: bool,
    data: EventData,
    json: JsonScanner,
    events: u32,
    usage: Option<Usage>,
    done: bool,
    failed: bool,
}

/// The result of scanning a chunk of a stream.
#[derive(Debug, Default)]
pub struct ScanResult {
    /// The number of bytes at the start of the chunk that belong to complete, valid events.
    pub valid_bytes: usize,
    /// The error in the event that follows them.
    pub failure: Option<EngineError>,
}

/// The position of the next byte within its line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineState {
    /// At the start, after this many matching bytes of [`DATA_FIELD`].
    Start(usize),
    /// Directly after the field's colon, where one space is skipped.
    DataStart,
    Data,
    /// In another field or a comment, which is ignored.
    Other,
}

/// The kind of the current event's data, as far as it has been scanned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventData {
    None,
    Json,
    /// This many bytes of [`DONE`] have matched.
    Done(usize),
    Neither,
}

impl SseScanner {
    /// Creates a scanner for the stream of a call that named this model.
    pub fn new(named: Arc<str>) -> Self {
        Self {
            named,
            line: LineState::Start(0),
            after_cr: false,
            after_event: false,
            data: EventData::None,
            json: JsonScanner::default(),
            events: 0,
            usage: None,
            done: false,
            failed: false,
        }
    }

    /// Returns the number of events with content so far.
    pub const fn events(&self) -> u32 {
        self.events
    }

    /// Returns the most recent usage that an event reported.
    pub const fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Returns whether the final `[DONE]` event has been scanned.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Scans the next chunk of the stream. After a failure, no further bytes are accepted.
    pub fn scan(&mut self, chunk: &[u8]) -> ScanResult {
        let mut scanned = ScanResult::default();
        let mut at = 0;
        while at < chunk.len() && !self.failed {
            if self.skip_lf(chunk[at]) {
                // The LF of a CRLF belongs to the event that the CR ended.
                scanned.valid_bytes += usize::from(self.after_event);
                at += 1;
                continue;
            }
            let (next, event_ended) = self.scan_line(chunk, at);
            at = next;
            self.after_event = event_ended;
            if !event_ended {
                continue;
            }
            match self.end_event() {
                Ok(()) => scanned.valid_bytes = at,
                Err(err) => {
                    self.failed = true;
                    scanned.failure = Some(err);
                }
            }
        }
        scanned
    }

    fn skip_lf(&mut self, byte: u8) -> bool {
        std::mem::take(&mut self.after_cr) && byte == b'\n'
    }

    /// Scans from `at`; returns the next position and whether a blank line ended an event.
    fn scan_line(&mut self, chunk: &[u8], at: usize) -> (usize, bool) {
        let byte = chunk[at];
        match self.line {
            LineState::Start(matched) if matches!(byte, b'\n' | b'\r') => {
                self.end_line(byte);
                (at + 1, matched == 0)
            }
            LineState::Start(matched) if byte == DATA_FIELD[matched] => {
                let whole = matched + 1 == DATA_FIELD.len();
                self.line = if whole {
                    LineState::DataStart
                } else {
                    LineState::Start(matched + 1)
                };
                (at + 1, false)
            }
            LineState::Start(_) => {
                self.line = LineState::Other;
                (at, false)
            }
            LineState::DataStart => {
                self.line = LineState::Data;
                (at + usize::from(byte == b' '), false)
            }
            LineState::Data | LineState::Other => {
                let rest = &chunk[at..];
                let length = memchr2(b'\n', b'\r', rest).unwrap_or(rest.len());
                if self.line == LineState::Data {
                    self.scan_data(&rest[..length]);
                }
                let Some(end) = rest.get(length) else {
                    return (chunk.len(), false);
                };
                self.end_line(*end);
                (at + length + 1, false)
            }
        }
    }

    fn end_line(&mut self, byte: u8) {
        self.after_cr = byte == b'\r';
        self.line = LineState::Start(0);
    }

    fn scan_data(&mut self, bytes: &[u8]) {
        if self.data == EventData::None {
            let Some(first) = bytes.first() else {
                return;
            };
            self.data = if *first == DONE[0] {
                EventData::Done(0)
            } else {
                EventData::Json
            };
        }
        match self.data {
            EventData::Json => self.json.feed(bytes, &self.named),
            EventData::Done(matched) => {
                let goes_on = DONE[matched..].starts_with(bytes);
                self.data = if goes_on {
                    EventData::Done(matched + bytes.len())
                } else {
                    EventData::Neither
                };
            }
            EventData::None | EventData::Neither => {}
        }
    }

    fn end_event(&mut self) -> Result<(), EngineError> {
        let data = std::mem::replace(&mut self.data, EventData::None);
        if data == EventData::None {
            return Ok(());
        }
        if self.done {
            return MalformedSnafu {
                problem: "an event follows [DONE]",
            }
            .fail();
        }
        match data {
            EventData::Done(matched) if matched == DONE.len() => {
                self.done = true;
                Ok(())
            }
            EventData::Json => {
                let checked = self.check_json();
                self.json.reset();
                checked
            }
            EventData::None | EventData::Done(_) | EventData::Neither => MalformedSnafu {
                problem: "an event is neither JSON nor [DONE]",
            }
            .fail(),
        }
    }

    fn check_json(&mut self) -> Result<(), EngineError> {
        let members = &mut self.json.members;
        if members.malformed || !members.ended {
            return MalformedSnafu {
                problem: "an event is not a JSON object",
            }
            .fail();
        }
        if members.has_error {
            let message = std::mem::take(&mut members.error_message);
            return FailedMidwaySnafu { message }.fail();
        }
        match members.model.take() {
            Some(ModelMatch::Expected) => {
                self.events += 1;
                self.usage = members.usage.or(self.usage);
                Ok(())
            }
            Some(ModelMatch::Other(served)) => WrongModelSnafu {
                named: Arc::clone(&self.named),
                served,
            }
            .fail(),
            None => MalformedSnafu {
                problem: "an event names no model",
            }
            .fail(),
        }
    }
}
