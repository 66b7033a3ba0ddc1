//! An HTTP client for HTTP/1.1, and for HTTP/2 with prior knowledge.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::Value;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// The bound of every wait, so that a fault fails the test instead of blocking it.
pub(crate) const BOUND: Duration = Duration::from_secs(20);

/// The flow-control window of an HTTP/2 client, in bytes.
const WINDOW: u32 = 64 * 1024;

/// The protocol of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Protocol {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// A response, which may be incomplete.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    /// The status.
    pub(crate) status: StatusCode,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// The part of the body that was received.
    pub(crate) text: String,
    /// Whether the body ended without an error.
    pub(crate) whole: bool,
}

impl ReceivedResponse {
    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Returns the text of a header, if it is present.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A response whose body has not been read; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    /// The response with its unread body.
    pub(crate) response: Response<Incoming>,
    _connection: AbortOnDropHandle<()>,
}

/// Sends a request over a new connection and returns as soon as the response head has been
/// received.
pub(crate) async fn open(
    to: SocketAddr,
    speaks: Protocol,
    req: Request<Full<Bytes>>,
) -> OpenResponse {
    tokio::time::timeout(BOUND, try_open(to, speaks, req))
        .await
        .expect("no response head within the bound")
        .expect("no response")
}

/// Sends a request and reads the whole response.
pub(crate) async fn send(
    to: SocketAddr,
    speaks: Protocol,
    req: Request<Full<Bytes>>,
) -> ReceivedResponse {
    let open = open(to, speaks, req).await;
    tokio::time::timeout(BOUND, read(open))
        .await
        .expect("no end of the response within the bound")
}

/// Reads a response to its end.
pub(crate) async fn read(open: OpenResponse) -> ReceivedResponse {
    let (head, mut body) = open.response.into_parts();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            Ok(Err(_trailers)) => {}
            Err(_broken) => {
                whole = false;
                break;
            }
        }
    }
    ReceivedResponse {
        status: head.status,
        headers: head.headers,
        text: String::from_utf8_lossy(&bytes).into_owned(),
        whole,
    }
}

async fn try_open(
    to: SocketAddr,
    speaks: Protocol,
    req: Request<Full<Bytes>>,
) -> Result<OpenResponse, hyper::Error> {
    let stream = TcpStream::connect(to).await.expect("the port is open");
    let io = TokioIo::new(stream);
    let (response, connection) = match speaks {
        Protocol::Http1 => {
            let (mut sender, connection) = http1::handshake(io).await?;
            let connection = tokio::spawn(async move { drop(connection.await) });
            (sender.send_request(req).await?, connection)
        }
        Protocol::Http2 => {
            let mut builder = http2::Builder::new(TokioExecutor::new());
            builder
                .initial_stream_window_size(WINDOW)
                .initial_connection_window_size(WINDOW);
            let (mut sender, connection) = builder.handshake(io).await?;
            let connection = tokio::spawn(async move { drop(connection.await) });
            (sender.send_request(req).await?, connection)
        }
    };
    Ok(OpenResponse {
        response,
        _connection: AbortOnDropHandle::new(connection),
    })
}

/// Creates a request with a JSON body.
pub(crate) fn post(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Request<Full<Bytes>> {
    request("POST", to, path, headers, body)
}

/// Creates a request.
pub(crate) fn request(
    method: &str,
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"))
        .header("host", to.to_string());
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    builder
        .body(body)
        .expect("the test's request is well-formed")
}
