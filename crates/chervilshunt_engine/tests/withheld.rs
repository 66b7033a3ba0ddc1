//! Requests that expire before a connection is ready for them.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use chervilshunt_engine::{ConnectionUse, EngineClient, EngineError, Outcome};
use common::{LIMITS, response};
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Starts a target that answers every request, and counts what it reads.
async fn start(received: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let received = Arc::clone(&received);
            tokio::spawn(async move {
                let mut buf = [0; 4_096];
                while let Ok(1..) = stream.read(&mut buf).await {
                    received.fetch_add(1, Ordering::Relaxed);
                    if stream
                        .write_all(response("200 OK", "", "x").as_bytes())
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn request() -> Request<Full<Bytes>> {
    let req = Request::post("/x").header("host", "h");
    req.body(Full::new(Bytes::new())).expect("a request")
}

/// Guards against a request that is written although it expired while its connection was opened.
#[rstest]
#[case::new_connection(ConnectionUse::NEW)]
#[case::pooled_connection(ConnectionUse::POOLED)]
#[tokio::test]
async fn an_expired_request_is_not_written(#[case] using: ConnectionUse) {
    let received = Arc::new(AtomicUsize::new(0));
    let client = EngineClient::new(start(Arc::clone(&received)).await);
    let sent = client
        .forward(request(), ConnectionUse::POOLED, LIMITS)
        .await;
    let (_, body) = sent.expect("an answer");
    body.read_whole(16).await.expect("a body");
    let sent = client.forward_if(request(), using, LIMITS, || false).await;
    let error = sent.map(|_| ()).expect_err("a withheld request");
    assert!(matches!(error, EngineError::Withheld { .. }), "{error}");
    assert_eq!(error.outcome(), Outcome::NotRun);
    assert!(!error.is_connect_failure(), "the target is reachable");
    let sent = client.forward_if(request(), using, LIMITS, || true).await;
    sent.expect("an answer");
    assert_eq!(received.load(Ordering::Relaxed), 2);
}
