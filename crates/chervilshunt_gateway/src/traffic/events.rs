//! Events of a stream that another target may have to continue.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Length, in bytes, up to which an incomplete event is held back. An instance carries thousands of
/// streams in some hundred megabytes.
const MAX_HELD_BYTES: usize = 64 * 1024;

/// Passes on complete events only, and remembers the id of the last one.
///
/// A target may stop in the middle of an event. If the partial event were passed on, it would be
/// joined with the first event of the target that continues the stream.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    /// The event that is incomplete so far.
    held: BytesMut,
    last_id: Option<Arc<str>>,
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

    /// Returns whether another target can continue after the last event that was passed on.
    pub(crate) const fn can_resume(&self) -> bool {
        !self.has_passed_part
    }

    /// Returns the id of the last event that was passed on.
    pub(crate) fn last_id(&self) -> Option<Arc<str>> {
        self.last_id.clone()
    }
}

fn last_id(events: &[u8]) -> Option<Arc<str>> {
    let lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().into())
}

#[cfg(test)]
mod tests;
