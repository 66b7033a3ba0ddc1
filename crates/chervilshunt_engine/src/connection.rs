//! One HTTP/1.1 connection, driven by whoever waits for its answer.
//!
//! The usual way is a task for each connection that passes each piece of a body to the reader.
//! Here the reader polls the connection itself: a piece of a stream then costs one wake-up in place
//! of two, and dropping the reader closes the connection and so cancels the call.

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

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The most that is read ahead of a reader, in bytes; also the most that an answer's head takes.
///
/// It is the library's smallest. A larger one is reached by each stream whose caller does not read,
/// since there is always more to take, and a stream has up to three of them.
const READ_BUFFER: usize = 8 * 1024;

/// The most that the system holds of an answer that is not read, in bytes.
///
/// By itself it lets this grow to megabytes. The target would then go on with tens of thousands of
/// tokens for a caller that does not read. It still allows 60 MB/s at a round trip of a millisecond.
const RECEIVE_BUFFER: u32 = 256 * 1024;

/// How long a connection stays for reuse if the target says nothing else. Uvicorn, which vLLM runs
/// on, closes idle connections after 5 s; a call that leaves just then has an unknown outcome.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// What is taken off the time for which a target says that it keeps an idle connection: it counts
/// whole seconds from when it wrote, and the next request takes time to reach it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Silence on a connection after which the system probes it, and the pause between probes.
///
/// A connection may go silent without a reset, and one whose answer is being generated carries
/// nothing for seconds. The probes find within 3 s that nobody is there.
const KEEPALIVE: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes may go unacknowledged before the connection is given up. A request sent to a
/// target that has lost power would otherwise wait until its deadline.
const UNACKNOWLEDGED_LIMIT_MS: u32 = 1_500;

/// A connection to a target.
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// None once it has ended.
    driver: Option<http1::Connection<TokioIo<TcpStream>, Full<Bytes>>>,
    /// The runtime whose thread learns of what the socket can do.
    pub(crate) runtime: runtime::Id,
    /// When it was last put aside for reuse.
    pub(crate) idle_since: Instant,
    /// How long the target keeps it without use, as far as it says.
    pub(crate) idle_limit: Duration,
}

/// Why a request got no answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The connection had ended before it took the request, which comes back.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request, or a part of it, may have left.
    MaySent(hyper::Error),
}

impl Connection {
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
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        let stream = socket.connect(address).await?;
        // Tokens are small; with Nagle's algorithm each would wait for the one before.
        stream.set_nodelay(true)?;
        notice_silence(&stream)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        Ok(Self {
            sender,
            driver: Some(driver),
            runtime: Handle::current().id(),
            idle_since: Instant::now(),
            idle_limit: IDLE_LIMIT,
        })
    }

    /// Looks whether an idle connection has ended or shows bytes that nobody asked for.
    ///
    /// A second answer to an earlier request would otherwise be read as the answer to the next one.
    pub(crate) fn is_quiet(&mut self) -> bool {
        self.drive(&mut Context::from_waker(Waker::noop()));
        self.is_usable()
    }

    /// Says whether a connection can take a request, as far as was known when it was last polled.
    ///
    /// Nothing polls an idle one: that the target has closed it shows at the next request, which
    /// then comes back unwritten.
    pub(crate) fn is_usable(&self) -> bool {
        self.driver.is_some() && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// Dropping the future closes the connection.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let response = self.sender.try_send_request(req);
        tokio::pin!(response);
        let answered = std::future::poll_fn(|cx| {
            self.drive(cx);
            response.as_mut().poll(cx)
        });
        answered.await.map_err(|mut err| match err.take_message() {
            // The library gives the request back only if it never began to write it.
            Some(req) => SendError::NotSent(Box::new(req)),
            None => SendError::MaySent(err.into_error()),
        })
    }

    /// Lets the connection read and write. Its own errors reach the reader through the answer.
    pub(crate) fn drive(&mut self, cx: &mut Context<'_>) {
        let Some(driver) = &mut self.driver else {
            return;
        };
        if let Poll::Ready(_ended) = Pin::new(driver).poll(cx) {
            self.driver = None;
        }
    }

    /// Takes note of how long the target keeps the connection, as its answer says.
    pub(crate) fn note_keep_alive(&mut self, headers: &HeaderMap) {
        if let Some(seconds) = keep_alive_seconds(headers) {
            let kept = Duration::from_secs(seconds);
            self.idle_limit = IDLE_LIMIT.min(kept.saturating_sub(IDLE_MARGIN));
        }
    }

    /// Says whether it was put aside so lately that the target keeps it still.
    pub(crate) fn is_fresh(&self) -> bool {
        self.idle_since.elapsed() < self.idle_limit
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.driver.is_none()
    }
}

fn notice_silence(stream: &TcpStream) -> io::Result<()> {
    use rustix::net::sockopt;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_LIMIT_MS)?;
    Ok(())
}

/// Returns the seconds of `Keep-Alive: timeout=N`.
fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    parts.find_map(|part| part.strip_prefix("timeout=")?.parse().ok())
}
