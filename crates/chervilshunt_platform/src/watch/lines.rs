//! The lines of a watch, cut out of the frames of its body.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The longest line that is taken; an object has a megabyte at most.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// Reads a body line by line.
#[derive(Debug)]
pub(crate) struct Lines {
    body: Incoming,
    buf: LineBuffer,
}

impl Lines {
    pub(crate) fn new(body: Incoming) -> Self {
        Self {
            body,
            buf: LineBuffer::default(),
        }
    }

    /// Returns the next line; none at the end, at a broken connection, or if the line is too long.
    ///
    /// It is cancel-safe.
    pub(crate) async fn next(&mut self) -> Option<Bytes> {
        loop {
            if let Some(line) = self.buf.next_line() {
                return Some(line);
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data()
                && !self.buf.push(&data)
            {
                return None;
            }
        }
    }
}

/// Bytes that have arrived and not been read as lines.
#[derive(Debug, Default)]
pub(crate) struct LineBuffer {
    buf: BytesMut,
    /// How much of the buffer is known to hold no line end.
    searched: usize,
}

impl LineBuffer {
    /// Adds bytes; says whether they still fit.
    pub(crate) fn push(&mut self, data: &[u8]) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MAX_LINE_BYTES
    }

    /// Takes the next whole line, without its end.
    pub(crate) fn next_line(&mut self) -> Option<Bytes> {
        let unsearched = self.buf.get(self.searched..)?;
        let Some(end) = unsearched.iter().position(|byte| *byte == b'\n') else {
            self.searched = self.buf.len();
            return None;
        };
        let mut line = self.buf.split_to(self.searched + end + 1);
        self.searched = 0;
        line.truncate(line.len() - 1);
        Some(line.freeze())
    }
}
