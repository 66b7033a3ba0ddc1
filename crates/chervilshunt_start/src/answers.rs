//! How an answer that is broken off reaches its caller.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use http_body::{Body, Frame, SizeHint};

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
