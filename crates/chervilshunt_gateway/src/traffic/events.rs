//! Events of a stream that another target may have to continue.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Length, in bytes, up to which an incomplete event is held back. An instance carries thousands of
/// streams in some hundred megabytes.
const MAX_HELD_BYTES: usize = 64 * 1024;

/// The mark that may precede the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Passes on complete events only, and remembers the id of the last one.
///
/// A target may stop in the middle of an event. If the partial event were passed on, it would be
/// joined with the first event of the target that continues the stream.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    /// The event that is incomplete so far.
    held: BytesMut,
    last_id: Option<Arc<str>>,
    /// Whether an event has been passed on before the first one with an id.
    has_passed_unnumbered: bool,
    /// Whether a part of an event that is too long to be held back has been passed on.
    has_passed_part: bool,
}

impl EventBuffer {
    /// Adds received data, whose first `outside_event` bytes precede the event that is incomplete at
    /// its end. Returns what is to be passed on; `None` if that is nothing.
    pub(crate) fn push(&mut self, mut data: Bytes, outside_event: usize) -> Option<Bytes> {
        let rest = data.split_off(outside_event);
        if !data.is_empty() && !self.held.is_empty() {
            self.held.extend_from_slice(&data);
            data = self.held.split().freeze();
        }
        if let Some(id) = last_id(&data) {
            self.last_id = Some(id);
        } else if self.last_id.is_none() {
            self.has_passed_unnumbered |= lines(&data).any(is_field);
        }
        self.held.extend_from_slice(&rest);
        if self.held.len() > MAX_HELD_BYTES {
            self.has_passed_part = true;
            let part = self.held.split().freeze();
            data = [data, part].concat().into();
        }
        (!data.is_empty()).then_some(data)
    }

    /// Drops the partial event at which the target stopped.
    pub(crate) fn drop_partial(&mut self) {
        self.held.clear();
    }

    /// Returns whether another target can continue after the last event that was passed on. Without
    /// its id, the target would start over, and the caller would get events twice.
    pub(crate) const fn can_resume(&self) -> bool {
        let is_numbered = self.last_id.is_some() || !self.has_passed_unnumbered;
        is_numbered && !self.has_passed_part
    }

    /// Returns whether an event, or a part of one, has been passed on.
    pub(crate) const fn has_passed_event(&self) -> bool {
        self.last_id.is_some() || self.has_passed_unnumbered || self.has_passed_part
    }

    /// Returns the id of the last event that was passed on.
    pub(crate) fn last_id(&self) -> Option<Arc<str>> {
        self.last_id.clone()
    }
}

fn last_id(events: &[u8]) -> Option<Arc<str>> {
    let ids = lines(events).rev();
    let id = ids.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().into())
}

/// Returns the lines, without their ends and a byte-order mark.
fn lines(events: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.map(|line| line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line))
}

fn is_field(line: &[u8]) -> bool {
    !line.is_empty() && !line.starts_with(b":")
}

#[cfg(test)]
mod tests;
