//! Shutdown of an instance with open streams.

mod support;

use chervilshunt_standin::fleet::{Fleet, FleetOptions, model_name, wait_until};
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::json;

use support::http::{BOUND, Protocol, open, post, read};

async fn start(shutdown_ms: u64) -> Fleet {
    Fleet::start(FleetOptions {
        instances: 1,
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
    let mut fleet = start(shutdown_ms).await;
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
