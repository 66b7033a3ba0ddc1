//! How an answer that is broken off reaches its caller.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use http::Version;
use http_body::{Body, Frame, SizeHint};
use tokio::net::TcpStream;

/// A body that reports its error only after everything before it could be written.
///
/// On an error, hyper closes the connection at once and drops the head and data that it has not
/// written yet, so that the caller loses a part of what the target has sent.
#[derive(Debug)]
pub struct FlushBeforeError<B: Body> {
    body: B,
    error: Option<B::Error>,
}

impl<B: Body> FlushBeforeError<B> {
    /// Wraps a body.
    pub const fn new(body: B) -> Self {
        Self { body, error: None }
    }
}

impl<B: Body + Unpin> Body for FlushBeforeError<B>
where
    B::Error: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
            Some(Err(error)) => {
                self.error = Some(error);
                // hyper flushes whenever a body has nothing to write.
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            other => Poll::Ready(other),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Whether the end of a caller's connection ends its answer.
///
/// Callers of HTTP/1.0 know no chunks. If an answer to one breaks off and the connection is closed in
/// order, the caller takes what it has for the whole answer.
#[derive(Debug, Default)]
pub struct CallerProtocol {
    ends_answers_with_connection: AtomicBool,
}

impl CallerProtocol {
    /// Records the version of a request.
    pub fn record(&self, version: Version) {
        let ends = version < Version::HTTP_11;
        self.ends_answers_with_connection
            .store(ends, Ordering::Relaxed);
    }

    /// Prepares a connection to be closed after it ended with `result`, so that its caller sees
    /// whether its last answer was broken off.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub fn prepare_close(&self, result: &hyper::Result<()>, stream: &TcpStream) -> io::Result<()> {
        let is_broken_off = result.as_ref().is_err_and(hyper::Error::is_user);
        if is_broken_off && self.ends_answers_with_connection.load(Ordering::Relaxed) {
            return stream.set_zero_linger();
        }
        Ok(())
    }
}
