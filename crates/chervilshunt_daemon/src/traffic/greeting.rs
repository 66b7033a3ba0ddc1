//! The first bytes of a connection, within their time.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// What an HTTP/2 connection begins with (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// A stream whose reads fail if the first bytes don't tell in time which HTTP the caller speaks.
///
/// The library waits for them without a limit, and its limit on a head begins only after them: a
/// caller that connects and says nothing would hold a socket for ever, and enough of them would
/// leave none for others. Once the version is known, the library's own limits hold.
#[derive(Debug)]
pub(super) struct Greeted<S> {
    stream: S,
    /// None once the version is known.
    awaited: Option<Awaited>,
}

#[derive(Debug)]
struct Awaited {
    deadline: Pin<Box<Sleep>>,
    /// Bytes so far, all of them as in the preface.
    matched: usize,
}

impl<S> Greeted<S> {
    /// Bounds the wait for the first bytes.
    pub(super) fn new(stream: S, limit: Duration) -> Self {
        let awaited = Awaited {
            deadline: Box::pin(tokio::time::sleep(limit)),
            matched: 0,
        };
        Self {
            stream,
            awaited: Some(awaited),
        }
    }
}

impl Awaited {
    /// Takes the next bytes and says whether they tell the version.
    fn tell(&mut self, bytes: &[u8]) -> bool {
        let rest = &HTTP2_PREFACE[self.matched..];
        let common = rest.len().min(bytes.len());
        self.matched += common;
        bytes[..common] != rest[..common] || self.matched == HTTP2_PREFACE.len()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Greeted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let Some(awaited) = &mut self.awaited else {
            return read;
        };
        if read.is_pending() {
            ready!(awaited.deadline.as_mut().poll(cx));
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        if awaited.tell(&buf.filled()[before..]) {
            self.awaited = None;
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Greeted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
