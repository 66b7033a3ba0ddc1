//! A small HTTP client for the harness's own requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use super::error::{CallSnafu, FleetError, RefusedSnafu};

/// Default timeout of a request.
const CALL_BOUND: Duration = Duration::from_secs(10);

/// The response to a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The body as text.
    pub text: String,
}

impl Reply {
    /// Returns the body parsed as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

/// An HTTP client that opens a new connection for each request, so that a connection cut by a fault
/// can't fail the next request.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    bound: Duration,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new(CALL_BOUND)
    }
}

impl HttpClient {
    /// Creates a client whose requests time out after `bound`.
    pub fn new(bound: Duration) -> Self {
        let inner = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { inner, bound }
    }

    /// Sends a request and returns the response regardless of its status.
    ///
    /// # Errors
    /// Returns an error if no complete response is received within the timeout.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Reply, FleetError> {
        let call = format!("{method} {path}");
        let failed = |problem: String| {
            CallSnafu {
                call: call.clone(),
                address,
                problem,
            }
            .build()
        };
        let exchange = self.exchange(method, address, path, body);
        match tokio::time::timeout(self.bound, exchange).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(problem)) => Err(failed(problem)),
            Err(_elapsed) => Err(failed(format!("no response within {:?}", self.bound))),
        }
    }

    /// Sends a request that must succeed, and returns the JSON body of the response.
    ///
    /// # Errors
    /// Returns an error if no complete response is received within the timeout, or if its status is
    /// not 2xx.
    pub async fn json(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, FleetError> {
        let call = format!("{method} {path}");
        let reply = self.call(method, address, path, body).await?;
        if reply.status.is_success() {
            return Ok(reply.json());
        }
        RefusedSnafu {
            call,
            address,
            status: reply.status,
            body: reply.text,
        }
        .fail()
    }

    async fn exchange(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Reply, String> {
        let text = body.map(Value::to_string).unwrap_or_default();
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(text))
            .map_err(|err| err.to_string())?;
        let response = self.inner.request(req).await.map_err(describe)?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(describe)?;
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        Ok(Reply { status, text })
    }
}

/// Formats an error with its chain of sources: hyper's messages describe only the outermost error.
fn describe(err: impl std::error::Error) -> String {
    let mut text = err.to_string();
    let mut cause = err.source();
    while let Some(err) = cause {
        text = format!("{text}: {err}");
        cause = err.source();
    }
    text
}
