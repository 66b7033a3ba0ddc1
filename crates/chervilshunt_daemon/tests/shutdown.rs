//! Shutdowns that don't wait for every request, and how they say so.

mod support;

use chervilshunt_standin::fleet::{Fleet, FleetOptions, model_name, wait_until};
use rstest::rstest;
use serde_json::{Value, json};

use support::http::{BOUND, Speaks, open, post};

/// Tokens of a stream that outlives the test.
const ENDLESS: u32 = 1_000_000;

async fn fleet(settings: Value) -> Fleet {
    let options = FleetOptions {
        instances: 1,
        engines: 1,
        plains: 0,
        adapters: 1,
        settings,
        ..FleetOptions::default()
    };
    let started = Fleet::start(options).await;
    started.unwrap_or_else(|error| panic!("{error}"))
}

// An instance is told to end while a stream runs that has no end. Without a bound, or a way to insist,
// it would never exit, and whoever runs it would kill it. It ends when `limits.shutdown_ms` has passed
// or at a second signal, and its exit code tells that a caller was cut off: 0 would call that graceful.
#[rstest]
#[case::the_bound_has_passed(json!({"limits": {"shutdown_ms": 300}}), false)]
#[case::a_second_signal_came(json!({}), true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shutdown_that_cuts_a_stream_exits_with_1(
    #[case] settings: Value,
    #[case] second_signal: bool,
) {
    let fleet = &mut fleet(settings).await;
    let to = fleet.instances()["i1"].callers();
    let body = json!({
        "model": model_name(0), "prompt": "x", "max_tokens": ENDLESS, "stream": true,
    });
    let stream = open(
        to,
        Speaks::Http1,
        post(to, "/v1/completions", &[], &body.to_string()),
    )
    .await;
    assert!(stream.response.status().is_success());
    fleet.terminate("i1").unwrap();
    if second_signal {
        let is_waiting = |line: &Value| line["step"] == "waiting for open requests";
        let process = &fleet.instances()["i1"].process;
        let waits = || async { process.log_lines().iter().any(is_waiting).then_some(()) };
        wait_until(BOUND, waits)
            .await
            .expect("it waits for the stream");
        fleet.terminate("i1").unwrap();
    }
    let status = fleet.wait_terminated("i1", 2 * BOUND).await.unwrap();
    assert_eq!(status.code(), Some(1), "{status}");
}
