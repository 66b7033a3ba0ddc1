//! Events of a stream that another target may have to continue.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Passes on complete events only, and remembers the id of the last one.
///
/// A target may stop in the middle of an event. If the partial event were passed on, it would be
/// joined with the first event of the target that continues the stream.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    pending: BytesMut,
    last_id: Option<Arc<str>>,
}

impl EventBuffer {
    /// Adds received data and returns the events that are now complete; `None` if there are none.
    pub(crate) fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(data);
        let end = end_of_last_event(&self.pending)?;
        let whole = self.pending.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Returns the remaining data when the stream has ended normally.
    pub(crate) fn take_remaining(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Drops the partial event at which the target stopped.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Returns the id of the last event that was passed on.
    pub(crate) fn last_id(&self) -> Option<Arc<str>> {
        self.last_id.clone()
    }
}

/// Returns the end of the last complete event, which is after an empty line.
fn end_of_last_event(data: &[u8]) -> Option<usize> {
    let last = (1..data.len())
        .rev()
        .find(|&at| data[at] == b'\n' && (data[at - 1] == b'\n' || data[..at].ends_with(b"\n\r")));
    last.map(|at| at + 1)
}

fn last_id(events: &[u8]) -> Option<Arc<str>> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().into())
}
