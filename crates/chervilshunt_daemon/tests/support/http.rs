//! A caller that speaks HTTP/1.1 or HTTP/2 without an upgrade.

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

/// Bounds every wait, so that a fault fails a test in place of hanging it.
pub(crate) const BOUND: Duration = Duration::from_secs(20);

/// What a caller that speaks HTTP/2 takes without having read it, in bytes.
const WINDOW: u32 = 64 * 1024;

/// How a caller speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Speaks {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 by prior knowledge.
    Http2,
}

/// An answer as far as it came.
#[derive(Debug)]
pub(crate) struct Answered {
    /// Its status.
    pub(crate) status: StatusCode,
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// What came of its body.
    pub(crate) text: String,
    /// Whether the body ended as it should.
    pub(crate) whole: bool,
}

impl Answered {
    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Returns a header's text, or nothing.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// An open answer; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Open {
    /// The answer with its body still to be read.
    pub(crate) response: Response<Incoming>,
    _connection: AbortOnDropHandle<()>,
}

/// Sends a request over a connection of its own and returns as soon as the head of the answer is
/// there.
pub(crate) async fn open(to: SocketAddr, speaks: Speaks, req: Request<Full<Bytes>>) -> Open {
    tokio::time::timeout(BOUND, try_open(to, speaks, req))
        .await
        .expect("no head of an answer within the bound")
        .expect("no answer")
}

/// Sends a request and reads the whole answer.
pub(crate) async fn send(to: SocketAddr, speaks: Speaks, req: Request<Full<Bytes>>) -> Answered {
    let open = open(to, speaks, req).await;
    tokio::time::timeout(BOUND, read(open))
        .await
        .expect("no end of the answer within the bound")
}

/// Reads an answer to its end.
pub(crate) async fn read(open: Open) -> Answered {
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
    Answered {
        status: head.status,
        headers: head.headers,
        text: String::from_utf8_lossy(&bytes).into_owned(),
        whole,
    }
}

async fn try_open(
    to: SocketAddr,
    speaks: Speaks,
    req: Request<Full<Bytes>>,
) -> Result<Open, hyper::Error> {
    let stream = TcpStream::connect(to).await.expect("the port is open");
    let io = TokioIo::new(stream);
    let (response, connection) = match speaks {
        Speaks::Http1 => {
            let (mut sender, connection) = http1::handshake(io).await?;
            let connection = tokio::spawn(async move { drop(connection.await) });
            (sender.send_request(req).await?, connection)
        }
        Speaks::Http2 => {
            let mut builder = http2::Builder::new(TokioExecutor::new());
            builder
                .initial_stream_window_size(WINDOW)
                .initial_connection_window_size(WINDOW);
            let (mut sender, connection) = builder.handshake(io).await?;
            let connection = tokio::spawn(async move { drop(connection.await) });
            (sender.send_request(req).await?, connection)
        }
    };
    Ok(Open {
        response,
        _connection: AbortOnDropHandle::new(connection),
    })
}

/// Makes a request with a JSON body.
pub(crate) fn post(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Request<Full<Bytes>> {
    request("POST", to, path, headers, body)
}

/// Makes a request.
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
