//! Counts answers that the HTTP library has taken, and not written to their connections yet.
//!
//! A body ends when its last piece is in the library's write buffer. A peer that reads slowly leaves it there, and a
//! process that exits loses it.

use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use http_body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::shared::Shared;

/// An answer whose end is in a write buffer.
#[derive(Debug)]
struct UnwrittenAnswer(Arc<Shared>);

impl UnwrittenAnswer {
    fn begin(shared: &Arc<Shared>) -> Self {
        shared.unwritten_answers.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for UnwrittenAnswer {
    fn drop(&mut self) {
        self.0.unwritten_answers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The unwritten answers of one connection.
#[derive(Clone, Debug)]
pub(crate) struct UnwrittenAnswers {
    shared: Arc<Shared>,
    answers: Arc<Mutex<Vec<UnwrittenAnswer>>>,
}

impl UnwrittenAnswers {
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            answers: Arc::default(),
        }
    }

    /// Returns a body that counts from its end until the connection has been flushed.
    pub(crate) fn count<B: Body>(&self, body: B) -> CountedBody<B> {
        CountedBody {
            body,
            unwritten: self.clone(),
        }
    }

    /// Returns a connection whose flushes end the count.
    pub(crate) fn watch(&self, stream: TcpStream) -> WatchedStream {
        WatchedStream {
            io: TokioIo::new(stream),
            unwritten: self.clone(),
        }
    }

    fn ended(&self) {
        let answer = UnwrittenAnswer::begin(&self.shared);
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.push(answer);
    }

    fn flushed(&self) {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.clear();
    }
}

/// A body that counts as unwritten once it has ended.
#[derive(Debug)]
pub(crate) struct CountedBody<B: Body> {
    body: B,
    unwritten: UnwrittenAnswers,
}

impl<B: Body> Drop for CountedBody<B> {
    fn drop(&mut self) {
        self.unwritten.ended();
    }
}

impl<B: Body + Unpin> Body for CountedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection. The HTTP library flushes it only when its own buffer is empty.
#[derive(Debug)]
pub(crate) struct WatchedStream {
    io: TokioIo<TcpStream>,
    unwritten: UnwrittenAnswers,
}

impl WatchedStream {
    pub(crate) fn into_inner(self) -> TcpStream {
        self.io.into_inner()
    }
}

impl Read for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        self.unwritten.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
