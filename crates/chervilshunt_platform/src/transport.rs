//! The HTTP client and its TCP connections, with counting of bytes.

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

/// How long an idle connection is kept in the pool. It is shorter than the usual idle time-out of
/// servers, because a write on a connection that is being closed has an unknown outcome.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The idle time after which the kernel starts to probe a connection, and the interval between the
/// probes.
///
/// A connection interrupted by a network partition is not reset. Without probes, a watch on it
/// would receive nothing until its idle time-out, which would delay the changes it should deliver.
/// The probes detect the loss within 3 s.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent bytes may stay unacknowledged before the kernel closes the connection. The value
/// equals the detection time of the keepalive probes on an idle connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// The HTTP client used for all calls.
pub(crate) type HttpClient = Client<CountedConnector, Full<Bytes>>;

/// Creates the HTTP client.
pub(crate) fn http_client(connect_timeout: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    #[cfg(target_os = "linux")]
    connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .build(CountedConnector(connector))
}

/// A connector whose connections count their bytes.
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

/// A TCP connection that counts the bytes read and written.
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
