//! Connections to the platform, whose bytes are counted.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::Uri;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tower_service::Service;

use crate::accounting::count_bytes;

/// How long an unused connection is kept. It lies below the time after which servers usually close
/// one, as a write on a connection that is just being closed has an unknown outcome.
const POOL_IDLE: Duration = Duration::from_secs(20);

/// Silence on a connection after which the system probes it, and the pause between probes.
///
/// A connection that a cut has silenced is never reset. A watch on it would wait in vain until its
/// own time is over, and changes would come into force that much later; probes find it within 3 s.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes may go unacknowledged before the system gives the connection up; the same
/// bound as the probes give a connection without traffic.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// The HTTP client below every call.
pub(crate) type HttpClient = Client<CountedConnector, Full<Bytes>>;

/// Makes the HTTP client.
pub(crate) fn http_client(connect_timeout: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    #[cfg(target_os = "linux")]
    connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE)
        .build(CountedConnector(connector))
}

/// Opens connections whose bytes are counted.
#[derive(Clone, Debug)]
pub(crate) struct CountedConnector(HttpConnector);

impl Service<Uri> for CountedConnector {
    type Response = TokioIo<CountedStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(CountedStream(stream)))
        })
    }
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedStream(TcpStream);

impl Connection for CountedStream {
    fn connected(&self) -> Connected {
        self.0.connected()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        count_bytes("in", buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.0).poll_write(cx, buf))?;
        count_bytes("out", written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.0).poll_write_vectored(cx, bufs))?;
        count_bytes("out", written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
