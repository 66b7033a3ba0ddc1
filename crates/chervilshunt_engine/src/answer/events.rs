//! Finds the ends of events in a stream of server-sent events, split at any position.

use memchr::memchr2;

/// The byte-order mark that may precede the first line of a stream.
const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// Tracks whether a stream is inside an event.
///
/// A stream that ends inside an event has been broken off, whatever the framing of its answer says;
/// see `docs/design/answer-ends.md`. The content of events is not validated, which
/// [`SseScanner`](crate::SseScanner) does for engines' streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    line: Line,
    /// Whether the last byte was a CR that ended a line, so that a following LF belongs to it.
    after_cr: bool,
    /// Whether the current event has a field.
    has_field: bool,
    has_events: bool,
    /// Whether the last byte ended an event.
    has_just_ended: bool,
    /// The number of bytes since the last event ended.
    since_event: usize,
}

/// The position of the next byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    /// At the start of the stream, after this many bytes of [`BYTE_ORDER_MARK`].
    StreamStart(usize),
    Start,
    /// In a comment, which belongs to no event unless a field precedes it.
    Comment,
    Field,
}

impl Default for Line {
    fn default() -> Self {
        Self::StreamStart(0)
    }
}

impl EventScanner {
    /// Scans the next chunk of the stream. Returns the length of its prefix that ends outside an
    /// event; the remaining bytes are the start of an event, or of a line between events.
    pub fn scan(&mut self, chunk: &[u8]) -> usize {
        let mut outside = 0;
        let mut at = 0;
        let mut event_end = None;
        while let Some(&byte) = chunk.get(at) {
            at = if std::mem::take(&mut self.after_cr) && byte == b'\n' {
                at + 1
            } else {
                self.scan_line(chunk, at, byte)
            };
            if !self.is_inside_event() {
                outside = at;
            }
            if std::mem::take(&mut self.has_just_ended) {
                event_end = Some(at);
            }
        }
        self.since_event = match event_end {
            Some(end) => chunk.len() - end,
            None => self.since_event.saturating_add(chunk.len()),
        };
        outside
    }

    /// Returns whether an event, or a line between events, is incomplete.
    pub const fn is_inside_event(&self) -> bool {
        match self.line {
            Line::StreamStart(0) | Line::Start => self.has_field,
            Line::StreamStart(_) | Line::Comment | Line::Field => true,
        }
    }

    /// Returns the number of bytes since the last event ended: of an incomplete event, comments and blank
    /// lines.
    pub const fn bytes_since_event(&self) -> usize {
        self.since_event
    }

    /// Returns whether an event has ended.
    pub const fn has_events(&self) -> bool {
        self.has_events
    }

    /// Scans from `at`, whose byte is given, and returns the next position.
    fn scan_line(&mut self, chunk: &[u8], at: usize, byte: u8) -> usize {
        match self.line {
            Line::StreamStart(matched) => self.scan_stream_start(matched, at, byte),
            Line::Start => {
                match byte {
                    b'\n' | b'\r' => self.end_event(byte),
                    b':' => self.line = Line::Comment,
                    _ => self.begin_field(),
                }
                at + 1
            }
            Line::Comment | Line::Field => {
                let Some(length) = memchr2(b'\n', b'\r', &chunk[at..]) else {
                    return chunk.len();
                };
                self.after_cr = chunk[at + length] == b'\r';
                self.line = Line::Start;
                at + length + 1
            }
        }
    }

    fn scan_stream_start(&mut self, matched: usize, at: usize, byte: u8) -> usize {
        if byte == BYTE_ORDER_MARK[matched] {
            let is_whole = matched + 1 == BYTE_ORDER_MARK.len();
            self.line = if is_whole {
                Line::Start
            } else {
                Line::StreamStart(matched + 1)
            };
            return at + 1;
        }
        if matched == 0 {
            self.line = Line::Start;
        } else {
            self.begin_field();
        }
        at
    }

    const fn begin_field(&mut self) {
        self.line = Line::Field;
        self.has_field = true;
    }

    fn end_event(&mut self, byte: u8) {
        self.after_cr = byte == b'\r';
        self.has_just_ended = std::mem::take(&mut self.has_field);
        self.has_events |= self.has_just_ended;
    }
}
