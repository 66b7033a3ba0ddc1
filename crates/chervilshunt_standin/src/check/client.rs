//! HTTP client that sends planned requests and verifies the responses.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chervilshunt_model::Class;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::{Value, json};

use super::exchange::{Exchange, Failure, with_sources};
use super::verdict::{Record, Timing, Verdict, Violation, ViolationKind};
use super::{Api, Call, CompletionCall, RequestPlan, Route};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Values of the `priority` header (RFC 9218 urgency) for the two classes.
const LIVE_PRIORITY: &str = "u=2";
const DEFERRABLE_PRIORITY: &str = "u=6";

/// Connection options of a [`Client`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientOptions {
    /// Whether to use HTTP/2 instead of HTTP/1.1.
    pub http2: bool,
    /// Whether to open a new connection for each request.
    pub fresh_connections: bool,
}

/// A client that verifies every response.
#[derive(Clone, Debug)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new(ClientOptions::default())
    }
}

impl Client {
    /// Creates a client. Clones share its connection pool.
    pub fn new(options: ClientOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut builder = HyperClient::builder(TokioExecutor::new());
        builder
            .pool_timer(TokioTimer::new())
            .http2_only(options.http2);
        if options.fresh_connections {
            builder.pool_max_idle_per_host(0);
        }
        Self {
            inner: builder.build(connector),
        }
    }

    /// Sends one request and returns the response unread and unchecked, for measurements.
    ///
    /// # Errors
    /// Returns a description of the failure if no response head was received.
    pub async fn open(&self, plan: &RequestPlan) -> Result<Response<Incoming>, String> {
        let response = self.inner.request(request(plan)).await;
        response.map_err(|error| with_sources(&error))
    }

    /// Sends one request and verifies the response.
    pub async fn send(&self, plan: RequestPlan) -> Record {
        let start = Instant::now();
        let mut timing = Timing::default();
        let exchange = Exchange {
            plan: &plan,
            start,
            timing: &mut timing,
        };
        let checked = exchange.run(&self.inner, request(&plan));
        let verdict = match tokio::time::timeout(plan.timeout, checked).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(Failure::Violation(violation))) => Verdict::Violated(violation),
            Ok(Err(Failure::Disconnected { sent, detail })) => {
                Verdict::Disconnected { sent, detail }
            }
            Err(_) => Verdict::Violated(Violation::new(
                ViolationKind::Overdue,
                format!("response not complete within {:?}", plan.timeout),
            )),
        };
        timing.total = start.elapsed();
        Record {
            plan,
            verdict,
            timing,
        }
    }
}

fn request(plan: &RequestPlan) -> Request<Full<Bytes>> {
    let (path, body) = match &plan.call {
        Call::Completion(call) => completion(call),
        Call::Plain(call) => (
            format!("/services/{}{}", call.service, call.path),
            Bytes::copy_from_slice(call.body.as_bytes()),
        ),
    };
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{path}", plan.to))
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
        .header("x-request-id", &*plan.request_id);
    if plan.route == Route::System {
        let priority = match plan.class {
            Class::Live => LIVE_PRIORITY,
            Class::Deferrable => DEFERRABLE_PRIORITY,
        };
        builder = builder.header("priority", priority);
        if let Some(key) = &plan.key {
            builder = builder.header("idempotency-key", format!("\"{key}\""));
        }
        if let Some(deadline) = plan.deadline {
            builder = builder.header("prefer", format!("wait={}", deadline.as_secs()));
        }
    }
    builder
        .body(Full::new(body))
        .expect("a plan contains only valid URI and header values")
}

fn completion(call: &CompletionCall) -> (String, Bytes) {
    let mut body = json!({
        "model": &*call.model,
        "max_tokens": call.max_tokens,
        "stream": call.stream,
    });
    let path = match call.api {
        Api::Text => {
            body["prompt"] = Value::from(&*call.prompt);
            "/v1/completions"
        }
        Api::Chat => {
            body["messages"] = json!([{"role": "user", "content": &*call.prompt}]);
            "/v1/chat/completions"
        }
    };
    (path.to_owned(), body.to_string().into())
}
