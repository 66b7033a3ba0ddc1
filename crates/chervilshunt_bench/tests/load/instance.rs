//! A minimal instance that forwards each call to one engine stand-in.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use bytes::Bytes;
use chervilshunt_standin::engine::{EngineStandin, EngineStandinConfig, start_engine};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;

type Body = BoxBody<Bytes, hyper::Error>;

/// Guarantees that the instance deliberately violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Misbehavior {
    None,
    /// Every tenth request is refused as not run, although it ran.
    FalseNotRun,
    /// Every tenth request is sent to the engine twice.
    DoubleRun,
}

/// An engine stand-in with a minimal instance in front of it.
#[derive(Debug)]
pub(crate) struct Pair {
    pub(crate) engine: EngineStandin,
    pub(crate) instance: SocketAddr,
}

pub(crate) async fn pair(misbehavior: Misbehavior) -> Pair {
    let cfg = EngineStandinConfig {
        max_batch: 256,
        step: std::time::Duration::ZERO,
        ..EngineStandinConfig::default()
    };
    let engine = start_engine(cfg).await.expect("a free port");
    let listener = TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a free port");
    let instance = listener.local_addr().expect("it is bound");
    let target = engine.address;
    let calls = Arc::new(AtomicU64::new(0));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let calls = Arc::clone(&calls);
            let service =
                service_fn(move |req| forward(target, misbehavior, Arc::clone(&calls), req));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    Pair { engine, instance }
}

async fn forward(
    target: SocketAddr,
    misbehavior: Misbehavior,
    calls: Arc<AtomicU64>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let misbehaves = calls.fetch_add(1, Relaxed).is_multiple_of(10);
    let (mut head, body) = req.into_parts();
    let body = body
        .collect()
        .await
        .expect("the caller sends all")
        .to_bytes();
    let id = head.headers["x-request-id"].clone();
    head.uri = format!("http://{target}{}", head.uri.path())
        .parse()
        .expect("it is one");
    if misbehaves && misbehavior == Misbehavior::DoubleRun {
        let first = call(Request::from_parts(head.clone(), Full::new(body.clone()))).await;
        first
            .into_body()
            .collect()
            .await
            .expect("the engine answers");
    }
    let mut response = call(Request::from_parts(head, Full::new(body))).await;
    if misbehaves && misbehavior == Misbehavior::FalseNotRun {
        response
            .into_body()
            .collect()
            .await
            .expect("the engine answers");
        return Ok(refusal(&id));
    }
    for (name, value) in [("x-served-by", "i1"), ("x-target", "t1")] {
        response
            .headers_mut()
            .insert(name, HeaderValue::from_static(value));
    }
    Ok(response.map(BodyExt::boxed))
}

async fn call(req: Request<Full<Bytes>>) -> Response<Incoming> {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    client.request(req).await.expect("the engine is up")
}

fn refusal(id: &HeaderValue) -> Response<Body> {
    let id = id.to_str().expect("the tool's ids are ASCII");
    let body = format!(
        "{{\"type\":\"about:blank\",\"title\":\"no\",\"status\":503,\"detail\":\"\",\
        \"outcome\":\"not_run\",\"reason\":\"queue_full\",\"request_id\":\"{id}\"}}"
    );
    let body = Full::new(body.into())
        .map_err(|never| match never {})
        .boxed();
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header("content-type", "application/problem+json")
        .header("retry-after", "1")
        .body(body)
        .expect("it is well formed")
}
