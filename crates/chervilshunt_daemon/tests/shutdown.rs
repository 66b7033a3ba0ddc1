//! Shutdown of an instance with open streams.

mod support;

use chervilshunt_standin::fleet::{Fleet, FleetOptions, model_name, wait_until};
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::json;

use std::net::SocketAddr;
use std::time::Duration;

use support::http::{BOUND, Protocol, open, post, read};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

async fn start(instances: usize, shutdown_ms: u64) -> Fleet {
    Fleet::start(FleetOptions {
        instances,
        engines: 1,
        plains: 0,
        adapters: 1,
        settings: json!({"limits": {"shutdown_ms": shutdown_ms}}),
        ..FleetOptions::default()
    })
    .await
    .expect("the fleet starts")
}

/// Waits until the instance reports that it is not ready.
async fn unready(fleet: &Fleet) {
    let operators = fleet.instances()["i1"].operators();
    let client = chervilshunt_standin::fleet::HttpClient::default();
    let refused = || async {
        let reply = client.call(Method::GET, operators, "/readyz", None).await;
        (reply.ok()?.status == StatusCode::SERVICE_UNAVAILABLE).then_some(())
    };
    wait_until(BOUND, refused).await.expect("it stays ready");
}

/// What a caller has sent of its request before the signal.
#[derive(Clone, Copy, Debug)]
enum SentBefore {
    PartOfHead,
    Head,
}

/// Sends the first part of a request again and again until the instance takes no new connection, and returns the
/// last connection that it took.
async fn begin_last(to: SocketAddr, first: &str) -> TcpStream {
    let mut last = None;
    while let Ok(mut stream) = TcpStream::connect(to).await {
        stream.write_all(first.as_bytes()).await.expect("sent");
        last = Some(stream);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    last.expect("a connection")
}

/// Guards against requests that are complete late in a shutdown, begin, and are aborted with the process.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_is_complete_late_is_refused(
    #[values(SentBefore::PartOfHead, SentBefore::Head)] before: SentBefore,
) {
    let mut fleet = start(2, 4_000).await;
    let to = fleet.instances()["i1"].callers();
    let endless =
        json!({"model": model_name(0), "prompt": "x", "max_tokens": 1_000_000, "stream": true});
    let body = endless.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let sent = match before {
        SentBefore::PartOfHead => 5,
        SentBefore::Head => head.len(),
    };
    fleet.terminate("i1").expect("it runs");
    let mut stream = begin_last(to, &head[..sent]).await;
    let rest = head[sent..].to_owned() + &body;
    stream.write_all(rest.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    drop(tokio::time::timeout(BOUND, read).await.expect("an end"));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(answer.contains("not_ready"), "{answer:?}");
    let status = fleet.wait_terminated("i1", 3 * BOUND).await;
    assert_eq!(status.expect("it ends").code(), Some(0));
}

// The instance is asked to shut down while an endless stream is open. It waits for the stream until
// a second signal arrives or the configured limit expires. It then aborts the stream, and the exit
// code reports that the shutdown was not graceful.
#[rstest]
#[case::a_second_signal(600_000, true)]
#[case::the_bound_has_passed(200, false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_forced_shutdown_aborts_streams_and_reports_it(
    #[case] shutdown_ms: u64,
    #[case] second_signal: bool,
) {
    let mut fleet = start(1, shutdown_ms).await;
    let to = fleet.instances()["i1"].callers();
    let endless =
        json!({"model": model_name(0), "prompt": "x", "max_tokens": 1_000_000, "stream": true});
    let req = post(to, "/v1/completions", &[], &endless.to_string());
    let stream = open(to, Protocol::Http1, req).await;
    assert_eq!(stream.response.status(), StatusCode::OK);
    let reading = tokio::spawn(read(stream));

    fleet.terminate("i1").expect("it runs");
    unready(&fleet).await;
    if second_signal {
        fleet.terminate("i1").expect("it runs");
    }

    let status = fleet
        .wait_terminated("i1", 3 * BOUND)
        .await
        .expect("it ends");
    assert_eq!(status.code(), Some(1));
    let answer = reading.await.expect("the caller does not panic");
    assert!(!answer.whole, "an aborted stream looks complete");
    assert!(!answer.text.contains("[DONE]"));
}
