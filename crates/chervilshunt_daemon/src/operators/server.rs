//! The HTTP server of the operators' port.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use chervilshunt_model::RequestId;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use super::health::Health;
use super::statements::{Refusal, Statements};

/// The maximum body size of a statement request, in bytes; a script that creates 3,000 adapters
/// fits.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// The time limit for receiving a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The time limit for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// The state that the handlers of the operators' port use.
#[derive(Clone, Debug)]
pub(crate) struct Operators {
    /// Readiness and shutdown state.
    pub(crate) health: Health,
    /// Runs operators' statements.
    pub(crate) statements: Statements,
    /// Renders the metrics.
    pub(crate) metrics: PrometheusHandle,
    /// The logger.
    pub(crate) log: slog::Logger,
}

/// Serves the operators' port until `stop` is cancelled.
pub(crate) async fn serve_operators(
    listener: TcpListener,
    operators: Operators,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let operators = operators.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| {
                let operators = operators.clone();
                async move { Ok::<_, Infallible>(operators.serve(req).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            drop(connection.await);
        });
    }
}

impl Operators {
    async fn serve(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") if self.health.is_ready() => text(StatusCode::OK, "ready\n"),
            (&Method::GET, "/readyz") => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            (&Method::GET, "/metrics") => text(StatusCode::OK, self.metrics.render()),
            (&Method::POST, "/v1/statements") => self.statements(req).await,
            _ => text(
                StatusCode::NOT_FOUND,
                "not found; use POST /v1/statements or GET /metrics, /healthz, /readyz\n",
            ),
        }
    }

    async fn statements(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = Limited::new(req.into_body(), MAX_BODY_BYTES).collect();
        let body = match tokio::time::timeout(BODY_TIMEOUT, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) | Err(_) => {
                let detail = "the body was truncated, arrived too slowly, or is longer than 8 MiB";
                return refused(&Refusal::malformed(detail.to_owned()));
            }
        };
        let request = RequestId::new(Uuid::new_v4().simple().to_string());
        match self.statements.run(&body).await {
            Ok(answer) => json(StatusCode::OK, "application/json", &answer),
            Err(refusal) => {
                slog::info!(self.log, "statements refused";
                    "request" => %request, "status" => refusal.status, "detail" => &refusal.detail);
                refused(&refusal)
            }
        }
    }
}

fn refused(refusal: &Refusal) -> Response<Full<Bytes>> {
    let status = StatusCode::from_u16(refusal.status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut res = json(status, "application/problem+json", refusal);
    if let Some(after) = refusal.retry_after {
        // Whole seconds, rounded up: an earlier retry would be refused again.
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        res.headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds.max(1)));
    }
    res
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    respond(status, "text/plain; charset=utf-8", body.into())
}

fn json(
    status: StatusCode,
    media_type: &'static str,
    body: &impl serde::Serialize,
) -> Response<Full<Bytes>> {
    respond(
        status,
        media_type,
        serde_json::to_vec(body).unwrap_or_default().into(),
    )
}

fn respond(status: StatusCode, media_type: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
    res
}
