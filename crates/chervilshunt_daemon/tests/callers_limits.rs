//! The answers when no capacity, no time or no target is left: an immediate problem that states
//! whether the request ran and when to retry.

mod support;

use std::net::SocketAddr;

use chervilshunt_standin::fleet::{FleetOptions, model_name, wait_until};
use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use tokio_util::task::AbortOnDropHandle;

use support::http::{BOUND, OpenResponse, Protocol, ReceivedResponse, open, post, send};
use support::serial::{ExclusiveFleet, run_exclusively};

const OPEN_REQUESTS: usize = 5;
const QUEUE_LIVE: usize = 1;
const QUEUE_DEFERRABLE: usize = 3;

/// One instance with one engine that runs a single sequence at a time.
fn options() -> FleetOptions {
    FleetOptions {
        instances: 1,
        engines: 1,
        plains: 1,
        adapters: 1,
        max_batch: 1,
        settings: json!({"limits": {
            "open_requests": OPEN_REQUESTS,
            "queue_live": QUEUE_LIVE,
            "queue_deferrable": QUEUE_DEFERRABLE,
        }}),
        ..FleetOptions::default()
    }
}

/// Returns the body of a request whose stream outlasts the test.
fn long() -> String {
    json!({"model": model_name(0), "prompt": "x", "max_tokens": 1_000_000, "stream": true})
        .to_string()
}

fn entry(test: &ExclusiveFleet) -> SocketAddr {
    test.fleet.instances()["i1"].callers()
}

async fn fill_the_batch(test: &ExclusiveFleet) -> OpenResponse {
    let to = entry(test);
    let running = open(
        to,
        Protocol::Http1,
        post(to, "/v1/completions", &[], &long()),
    )
    .await;
    assert_eq!(running.response.status(), StatusCode::OK);
    running
}

/// Sends a request that waits in the queue.
fn wait_in_queue(
    test: &ExclusiveFleet,
    priority: &'static str,
) -> AbortOnDropHandle<ReceivedResponse> {
    let to = entry(test);
    let req = post(to, "/v1/completions", &[("priority", priority)], &long());
    AbortOnDropHandle::new(tokio::spawn(send(to, Protocol::Http1, req)))
}

async fn wait_for_waiting(test: &ExclusiveFleet, count: usize) {
    let waiting = || async {
        let rows = test.show("show targets where name = engine-1").await;
        (rows.first()?["waiting"].as_str()?.parse() == Ok(count)).then_some(())
    };
    let seen = wait_until(BOUND, waiting).await;
    assert!(seen.is_some(), "{:?}", test.show("show targets").await);
}

/// Waits until the requests of a test have ended.
async fn wait_for_nothing(test: &ExclusiveFleet) {
    test.wait_for_none("show permits").await;
    wait_for_waiting(test, 0).await;
}

fn assert_refused(answer: &ReceivedResponse, status: u16, reason: &str, outcome: &str) {
    assert_eq!(answer.status, status, "{}", answer.text);
    let problem = answer.json();
    assert_eq!(problem["reason"], reason);
    assert_eq!(problem["outcome"], outcome);
    let retry_after = answer.header("retry-after").expect("when to come back");
    assert!(retry_after.parse::<u64>().is_ok_and(|seconds| seconds > 0));
}

// One request runs and the queue is full. The next request is refused at once instead of being held
// until its deadline, when it could only fail later and tell its caller less. Live and deferrable
// requests have separate limits, so that a backlog of deferrable work leaves room for live work.
#[rstest]
#[case::live("u=1", QUEUE_LIVE)]
#[case::deferrable("u=6", QUEUE_DEFERRABLE)]
fn a_full_queue_refuses_at_once(#[case] priority: &'static str, #[case] bound: usize) {
    run_exclusively(options, async |test| {
        let running = fill_the_batch(&test).await;
        let mut waiting = Vec::new();
        for count in 1..=bound {
            waiting.push(wait_in_queue(&test, priority));
            wait_for_waiting(&test, count).await;
        }
        let to = entry(&test);
        let headers = [("priority", priority), ("prefer", "wait=1")];
        let body = long();
        let refused = send(
            to,
            Protocol::Http1,
            post(to, "/v1/completions", &headers, &body),
        )
        .await;
        assert_refused(&refused, 429, "queue_full", "not_run");
        drop((waiting, running));
        wait_for_nothing(&test).await;
    });
}

// The limit of open requests is reached. One more is refused before its body is read.
#[rstest]
fn one_open_request_too_many_is_refused_at_once(
    #[values(Protocol::Http1, Protocol::Http2)] speaks: Protocol,
) {
    run_exclusively(options, async |test| {
        let running = fill_the_batch(&test).await;
        let mut waiting = Vec::new();
        waiting.push(wait_in_queue(&test, "u=1"));
        wait_for_waiting(&test, 1).await;
        for count in 2..OPEN_REQUESTS {
            waiting.push(wait_in_queue(&test, "u=6"));
            wait_for_waiting(&test, count).await;
        }
        let to = entry(&test);
        let refused = send(to, speaks, post(to, "/services/desk/slips", &[], "x")).await;
        assert_refused(&refused, 429, "too_many_requests", "not_run");
        drop((waiting, running));
        wait_for_nothing(&test).await;
        let taken = send(to, speaks, post(to, "/services/desk/slips", &[], "x")).await;
        assert_eq!(taken.status, StatusCode::OK);
    });
}

// The request waits for capacity that does not become free. At its deadline, or as soon as it is
// clear that it can't be met, the caller is told that nothing ran.
#[test]
fn a_deadline_that_passes_in_the_queue_is_reported_at_once() {
    run_exclusively(options, async |test| {
        let running = fill_the_batch(&test).await;
        let to = entry(&test);
        let headers = [("prefer", "wait=1"), ("x-request-id", "late")];
        let late = send(
            to,
            Protocol::Http1,
            post(to, "/v1/completions", &headers, &long()),
        )
        .await;
        assert_refused(&late, 504, "deadline", "not_run");
        drop(running);
        wait_for_nothing(&test).await;
        assert_eq!(
            test.runs("late").await,
            0,
            "a refusal that says \"not run\" is true"
        );
    });
}

// The target accepts the call and hangs. At the deadline the outcome is reported as unknown,
// because the call may still run when the target recovers.
#[rstest]
#[case::an_engine("engine-1", "/v1/completions")]
#[case::a_plain_service("desk-1", "/services/desk/slips")]
fn a_deadline_that_passes_at_the_target_is_an_unknown_outcome(
    #[case] target: &str,
    #[case] path: &str,
) {
    run_exclusively(options, async |test| {
        // The engine has loaded the adapter by then, so that only the call itself hangs.
        drop(fill_the_batch(&test).await);
        wait_for_nothing(&test).await;
        test.fault(target, json!({"freeze": true})).await;
        let to = entry(&test);
        let headers = [("prefer", "wait=1")];
        let hung = send(to, Protocol::Http1, post(to, path, &headers, &long())).await;
        assert_refused(&hung, 504, "target_timeout", "unknown");
        test.fault(target, json!({"freeze": false})).await;
        wait_for_nothing(&test).await;
    });
}

// The caller disconnects while its request waits in the queue. The request has to leave the queue,
// or an engine would run it although nobody reads the answer.
#[test]
fn a_caller_that_disconnects_while_waiting_leaves_the_queue() {
    run_exclusively(options, async |test| {
        let running = fill_the_batch(&test).await;
        let waiting = wait_in_queue(&test, "u=1");
        wait_for_waiting(&test, 1).await;
        drop(waiting);
        wait_for_waiting(&test, 0).await;
        drop(running);
        wait_for_nothing(&test).await;
    });
}

// All targets of a service are drained. New requests are refused with "not run" and a retry time in
// about two seconds, not at their deadlines.
#[test]
fn a_service_without_targets_refuses() {
    run_exclusively(options, async |test| {
        let statements = test.fleet.statements().expect("an instance is ready");
        statements
            .run("drain target desk-1")
            .await
            .expect("it is accepted");
        let to = entry(&test);
        let req = post(to, "/services/desk/slips", &[], "x");
        let refused = send(to, Protocol::Http1, req).await;
        statements
            .run("resume target desk-1")
            .await
            .expect("it is accepted");
        assert_refused(&refused, 503, "no_target", "not_run");
    });
}
