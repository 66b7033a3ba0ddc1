//! An HTTP/1.1 connection that is driven by the reader of its answer.
//!
//! The usual design is a task per connection that passes each body chunk to the reader. Here the
//! reader polls the connection itself. A chunk then costs one wake-up instead of two, and dropping
//! the reader closes the connection and thereby cancels the call.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::runtime::{self, Handle};
use tokio::time::Instant;

use crate::identity::History;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The maximum size of the read buffer, and therefore of an answer's headers.
///
/// It is the minimum that hyper accepts. Every stream whose caller does not read fills this buffer,
/// as more data always follows, and a stream can hold up to three of these buffers.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// The socket's receive buffer, in bytes.
///
/// By default the operating system lets it grow to megabytes, and the target would generate tens of
/// thousands of tokens for a caller that does not read. This size still allows 60 MB/s at a
/// round-trip time of 1 ms.
const RECEIVE_BUFFER_BYTES: u32 = 256 * 1024;

/// The maximum time that an idle connection stays in the pool if its target announces no timeout.
///
/// Uvicorn, on which vLLM runs, closes idle connections after 5 s, and a call that is sent at that
/// moment has an unknown outcome.
pub(crate) const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// The maximum time that an idle connection stays in the pool if its target announces a longer one.
const MAX_IDLE_LIMIT: Duration = Duration::from_secs(30);
/// The margin subtracted from the keep-alive timeout that a target announces.
///
/// The target counts whole seconds from its last write, and the next request takes time to arrive.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// The idle time before the first TCP keepalive probe, and the interval between probes.
///
/// A host can disappear without a reset, and a connection legitimately carries no data for seconds
/// while an answer is being generated. The probes detect a dead peer within 3 s.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// The time that sent data may stay unacknowledged before the connection fails.
///
/// A request sent to a target that has lost power would otherwise wait until its deadline. A user
/// timeout also ends the keepalive probes, whatever their number, so that it has to leave time for
/// all of them: a sound target may be silent for a second or two.
const TCP_USER_TIMEOUT_MS: u32 = 3_000;

/// A connection to a target.
pub(crate) struct TargetConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// `None` once the connection has ended.
    driver: Option<http1::Connection<TokioIo<TcpStream>, Full<Bytes>>>,
    /// The runtime whose I/O driver polls the socket.
    pub(crate) runtime: runtime::Id,
    /// Whether it has carried an exchange before.
    pub(crate) is_reused: bool,
    /// Whether an answer on it has stated the id of its request.
    pub(crate) has_repeated_id: bool,
    /// When the connection was last returned to the pool.
    pub(crate) idle_since: Instant,
    /// How long it may be idle and still be reused.
    pub(crate) idle_limit: Duration,
}

/// Why a request got no answer on a connection.
#[derive(Debug)]
pub(crate) enum TransmitError {
    /// The connection ended before it wrote any of the request, which is returned.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request, or a part of it, may have been sent.
    MaybeSent(hyper::Error),
}

impl TargetConnection {
    /// Connects within `limit`; the outer error is the timeout.
    pub(crate) async fn open(
        address: SocketAddr,
        limit: Duration,
    ) -> Result<io::Result<Self>, tokio::time::error::Elapsed> {
        tokio::time::timeout(limit, Self::connect(address)).await
    }

    async fn connect(address: SocketAddr) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let stream = socket.connect(address).await?;
        // Writes are small; with Nagle's algorithm each would wait for the previous one's
        // acknowledgement.
        stream.set_nodelay(true)?;
        enable_keepalive(&stream)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        Ok(Self {
            sender,
            driver: Some(driver),
            runtime: Handle::current().id(),
            is_reused: false,
            has_repeated_id: false,
            idle_since: Instant::now(),
            idle_limit: IDLE_LIMIT,
        })
    }

    /// Polls an idle connection; returns whether it is open and has received no unexpected data.
    ///
    /// Otherwise a second answer to an earlier request would be read as the answer to the next one.
    pub(crate) fn poll_usable(&mut self) -> bool {
        self.drive(&mut Context::from_waker(Waker::noop()));
        self.is_usable()
    }

    /// Returns whether the connection could take a request when it was last polled.
    ///
    /// Idle connections are not polled. If the target has closed one, the next request detects this
    /// and is returned unwritten.
    pub(crate) fn is_usable(&self) -> bool {
        self.driver.is_some() && self.sender.is_ready()
    }

    /// Watches a connection on which nothing has been sent, and returns whether the target keeps it
    /// open for a time.
    pub(crate) async fn stays_open(&mut self, time: Duration) -> bool {
        let ended = std::future::poll_fn(|cx| {
            self.drive(cx);
            if self.has_ended() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        });
        tokio::time::timeout(time, ended).await.is_err()
    }

    /// Sends a request and waits for the headers of its answer.
    ///
    /// Dropping the future closes the connection.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TransmitError> {
        let response = self.sender.try_send_request(req);
        tokio::pin!(response);
        let answered = std::future::poll_fn(|cx| {
            self.drive(cx);
            response.as_mut().poll(cx)
        });
        answered.await.map_err(|mut err| match err.take_message() {
            // hyper returns the request only if it never began to write it.
            Some(req) => TransmitError::NotSent(Box::new(req)),
            None => TransmitError::MaybeSent(err.into_error()),
        })
    }

    /// Polls the connection's I/O; its errors reach the reader through the answer.
    pub(crate) fn drive(&mut self, cx: &mut Context<'_>) {
        let Some(driver) = &mut self.driver else {
            return;
        };
        if let Poll::Ready(_ended) = Pin::new(driver).poll(cx) {
            self.driver = None;
        }
    }

    /// Applies the keep-alive timeout that the target announces in its answer.
    pub(crate) fn apply_keep_alive(&mut self, headers: &HeaderMap) {
        if let Some(seconds) = keep_alive_seconds(headers) {
            self.idle_limit = announced_idle_limit(seconds);
        }
    }

    /// Returns what it has carried before.
    pub(crate) const fn history(&self) -> History {
        match (self.is_reused, self.has_repeated_id) {
            (false, _) => History::New,
            (true, false) => History::Used,
            (true, true) => History::HasRepeatedId,
        }
    }

    /// Returns how long it has been idle.
    pub(crate) fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.driver.is_none()
    }
}

fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    use rustix::net::sockopt;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?;
    Ok(())
}

/// Returns how long a connection may be idle if its target announces a keep-alive timeout.
fn announced_idle_limit(seconds: u64) -> Duration {
    MAX_IDLE_LIMIT.min(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN))
}

/// Returns the seconds of a `Keep-Alive: timeout=N` header.
fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    parts.find_map(|part| part.strip_prefix("timeout=")?.parse().ok())
}

#[cfg(test)]
mod tests;
