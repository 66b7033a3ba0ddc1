//! Events of a stream that another target may have to go on with.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Lets only whole events through, and remembers the last one.
///
/// A target may stop in the middle of an event. Passed on, the piece would be joined with the first
/// event of the target that goes on.
#[derive(Debug, Default)]
pub(crate) struct WholeEvents {
    pending: BytesMut,
    last_id: Option<Arc<str>>,
}

impl WholeEvents {
    /// Adds what has come, and returns the events that are whole now; none if there are none.
    pub(crate) fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(data);
        let end = end_of_last_event(&self.pending)?;
        let whole = self.pending.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Returns what is left when the stream has ended as it should.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Drops the event that the target stopped in.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Returns the id of the last event that was let through.
    pub(crate) fn last_id(&self) -> Option<Arc<str>> {
        self.last_id.clone()
    }
}

/// Returns where the last whole event ends: after an empty line.
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
