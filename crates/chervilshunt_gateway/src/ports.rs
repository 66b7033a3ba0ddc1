//! The ports for the platform's readiness probe and for metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use crate::shared::Shared;

/// Timeout of a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const METRICS_PATH: &str = "/metrics";

/// Answers the readiness probe.
pub(crate) async fn serve_readiness(listener: TcpListener, shared: Arc<Shared>) {
    serve_port(listener, move |path| {
        if path != shared.dialect.readiness_path {
            return respond(StatusCode::NOT_FOUND, Bytes::new());
        }
        let status = if shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        respond(status, Bytes::new())
    })
    .await;
}

/// Serves the metrics.
pub(crate) async fn serve_metrics(listener: TcpListener, metrics: PrometheusHandle) {
    serve_port(listener, move |path| match path {
        METRICS_PATH => respond(StatusCode::OK, metrics.render().into()),
        _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
    })
    .await;
}

async fn serve_port(
    listener: TcpListener,
    answer: impl Fn(&str) -> Response<Full<Bytes>> + Clone + Send + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req: Request<Incoming>| {
                let res = answer(req.uri().path());
                async move { Ok::<_, Infallible>(res) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // The client sees a failed connection itself and tries again.
            drop(connection.await);
        });
    }
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body));
    *res.status_mut() = status;
    res
}
