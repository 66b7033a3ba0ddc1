//! Splits the response body of a watch into lines.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The maximum amount of buffered data, and so the length of a line. An object has at most a
/// megabyte.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// Reads a response body line by line.
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

    /// Returns the next line, or `None` at the end of the body, if the connection broke, or if the
    /// line is too long.
    ///
    /// This method is cancel-safe.
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

/// Received bytes that have not been returned as lines yet.
#[derive(Debug, Default)]
pub(crate) struct LineBuffer {
    buf: BytesMut,
    /// The length of the prefix of the buffer that contains no newline, in bytes.
    searched: usize,
}

impl LineBuffer {
    /// Appends bytes. Returns `false` if the buffer exceeds [`MAX_LINE_BYTES`].
    pub(crate) fn push(&mut self, data: &[u8]) -> bool {
        self.buf.extend_from_slice(data);
        self.buf.len() <= MAX_LINE_BYTES
    }

    /// Removes and returns the next complete line, without its newline.
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
