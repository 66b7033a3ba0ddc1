//! The HTTP client for an instance's operators' port.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt as _, Snafu};
use tokio::net::TcpStream;
use tokio::time::timeout;

const STATEMENTS_PATH: &str = "/v1/statements";

/// The maximum size of an answer; 170,000 adapters with all columns are about 20 MB.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// The time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The HTTP response to a statement.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) retry_after: Option<String>,
    pub(crate) body: Bytes,
}

impl Reply {
    /// Returns the delay after which the server asks for a retry, if it is given in seconds.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        let seconds = self.retry_after.as_ref()?.parse().ok()?;
        Some(Duration::from_secs(seconds))
    }
}

/// Why no complete response was received.
#[derive(Debug, Snafu)]
pub(crate) enum CallError {
    /// The connection failed; nothing was sent.
    #[snafu(display("{source}"))]
    Unreachable { source: std::io::Error },
    /// The connection was not opened in time; nothing was sent.
    #[snafu(display("no connection within {} s", CONNECT_TIMEOUT.as_secs()))]
    ConnectTimeout,
    /// The exchange failed; the statement may have been received.
    #[snafu(display("{source}"))]
    Broken { source: hyper::Error },
    /// The body of the answer could not be read; the statement may have been received.
    #[snafu(display("the answer could not be read to its end: {source}"))]
    Body {
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// No answer was received in time; the statement may have been received.
    #[snafu(display("no answer within {} s", limit.as_secs_f64()))]
    AnswerTimeout { limit: Duration },
}

impl CallError {
    /// Returns whether the statement may have taken effect.
    pub(crate) const fn may_have_run(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::ConnectTimeout => false,
            Self::Broken { .. } | Self::Body { .. } | Self::AnswerTimeout { .. } => true,
        }
    }
}

/// Sends a request with statements and waits for the answer, for at most `limit`.
pub(crate) async fn call(
    server: SocketAddr,
    body: Bytes,
    limit: Duration,
) -> Result<Reply, CallError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(server)).await {
        Ok(connected) => connected.context(UnreachableSnafu)?,
        Err(_elapsed) => return ConnectTimeoutSnafu.fail(),
    };
    match timeout(limit, exchange(stream, server, body)).await {
        Ok(reply) => reply,
        Err(_elapsed) => AnswerTimeoutSnafu { limit }.fail(),
    }
}

async fn exchange(stream: TcpStream, server: SocketAddr, body: Bytes) -> Result<Reply, CallError> {
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.context(BrokenSnafu)?;
    let connection = tokio::spawn(connection);
    let request = Request::post(STATEMENTS_PATH)
        .header(HOST, server.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("the request is made of fixed parts and an address");
    let response = sender.send_request(request).await.context(BrokenSnafu)?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .context(BodySnafu)?
        .to_bytes();
    connection.abort();
    let retry_after = head.headers.get(RETRY_AFTER);
    Ok(Reply {
        status: head.status,
        retry_after: retry_after.and_then(|value| value.to_str().ok().map(ToOwned::to_owned)),
        body,
    })
}
