//! What callers get when there is no room, no time or no target left: an answer at once that says
//! whether the request ran and when to come back.

mod support;

use std::net::SocketAddr;

use chervilshunt_standin::fleet::{FleetOptions, model_name, wait_until};
use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use tokio_util::task::AbortOnDropHandle;

use support::http::{Answered, BOUND, Open, Speaks, open, post, send};
use support::serial::{Alone, alone};

const OPEN_REQUESTS: usize = 5;
const QUEUE_LIVE: usize = 1;
const QUEUE_DEFERRABLE: usize = 3;

/// One instance before one engine that runs a single sequence.
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

/// A stream that outlasts its test.
fn long() -> String {
    json!({"model": model_name(0), "prompt": "x", "max_tokens": 1_000_000, "stream": true})
        .to_string()
}

fn entry(test: &Alone) -> SocketAddr {
    test.fleet.instances()["i1"].callers()
}

async fn fill_the_batch(test: &Alone) -> Open {
    let to = entry(test);
    let running = open(to, Speaks::Http1, post(to, "/v1/completions", &[], &long())).await;
    assert_eq!(running.response.status(), StatusCode::OK);
    running
}

/// Sends a request that will wait for room.
fn wait_in_queue(test: &Alone, priority: &'static str) -> AbortOnDropHandle<Answered> {
    let to = entry(test);
    let req = post(to, "/v1/completions", &[("priority", priority)], &long());
    AbortOnDropHandle::new(tokio::spawn(send(to, Speaks::Http1, req)))
}

async fn wait_for_waiting(test: &Alone, count: usize) {
    let waiting = || async {
        let rows = test.show("show targets where name = engine-1").await;
        (rows.first()?["waiting"].as_str()?.parse() == Ok(count)).then_some(())
    };
    let seen = wait_until(BOUND, waiting).await;
    assert!(seen.is_some(), "{:?}", test.show("show targets").await);
}

/// Waits until nothing is left of a test.
async fn wait_for_nothing(test: &Alone) {
    test.wait_for_none("show permits").await;
    wait_for_waiting(test, 0).await;
}

fn assert_refused(answer: &Answered, status: u16, reason: &str, outcome: &str) {
    assert_eq!(answer.status, status, "{}", answer.text);
    let problem = answer.json();
    assert_eq!(problem["reason"], reason);
    assert_eq!(problem["outcome"], outcome);
    let retry_after = answer.header("retry-after").expect("when to come back");
    assert!(retry_after.parse::<u64>().is_ok_and(|seconds| seconds > 0));
}

// One request runs and as many wait as may. The next one is told at once that the queue is full,
// not held until its deadline: it could only fail later, and its caller would know less. Live and
// deferrable requests have bounds of their own, so that a backlog of reviews leaves room for live
// work.
#[rstest]
#[case::live("u=1", QUEUE_LIVE)]
#[case::deferrable("u=6", QUEUE_DEFERRABLE)]
fn a_full_queue_refuses_at_once(#[case] priority: &'static str, #[case] bound: usize) {
    alone(options, async |test| {
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
            Speaks::Http1,
            post(to, "/v1/completions", &headers, &body),
        )
        .await;
        assert_refused(&refused, 429, "queue_full", "not_run");
        drop((waiting, running));
        wait_for_nothing(&test).await;
    });
}

// As many requests are open as may be. One more gets its answer before its body is even read.
#[rstest]
fn one_open_request_too_many_is_refused_at_once(
    #[values(Speaks::Http1, Speaks::Http2)] speaks: Speaks,
) {
    alone(options, async |test| {
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

// The request waits for a seat that does not come free. At its deadline, or as soon as it is plain
// that it can't be kept, the caller is told that nothing ran.
#[test]
fn a_deadline_that_passes_in_the_queue_is_told_at_once() {
    alone(options, async |test| {
        let running = fill_the_batch(&test).await;
        let to = entry(&test);
        let headers = [("prefer", "wait=1"), ("x-request-id", "late")];
        let late = send(
            to,
            Speaks::Http1,
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

// The target took the call and hangs. At the deadline the caller is told that the outcome is not
// known: the call may still run when the target comes back.
#[rstest]
#[case::an_engine("engine-1", "/v1/completions")]
#[case::a_plain_service("desk-1", "/services/desk/slips")]
fn a_deadline_that_passes_at_the_target_is_an_unknown_outcome(
    #[case] target: &str,
    #[case] path: &str,
) {
    alone(options, async |test| {
        // The engine has the adapter by then, so that only the call itself hangs.
        drop(fill_the_batch(&test).await);
        wait_for_nothing(&test).await;
        test.fault(target, json!({"freeze": true})).await;
        let to = entry(&test);
        let headers = [("prefer", "wait=1")];
        let hung = send(to, Speaks::Http1, post(to, path, &headers, &long())).await;
        assert_refused(&hung, 504, "target_timeout", "unknown");
        test.fault(target, json!({"freeze": false})).await;
        wait_for_nothing(&test).await;
    });
}

// The caller hangs up while its request waits for room. The request has to leave the queue too: it
// would get a seat, and an engine would generate for nobody.
#[test]
fn a_caller_that_goes_away_while_it_waits_leaves_the_queue() {
    alone(options, async |test| {
        let running = fill_the_batch(&test).await;
        let waiting = wait_in_queue(&test, "u=1");
        wait_for_waiting(&test, 1).await;
        drop(waiting);
        wait_for_waiting(&test, 0).await;
        drop(running);
        wait_for_nothing(&test).await;
    });
}

// All targets of a service are drained. New requests are told that nothing ran and when to come
// back, in about two seconds and not at their deadlines.
#[test]
fn a_service_without_targets_refuses() {
    alone(options, async |test| {
        let statements = test.fleet.statements().expect("an instance is ready");
        statements
            .run("drain target desk-1")
            .await
            .expect("it is accepted");
        let to = entry(&test);
        let req = post(to, "/services/desk/slips", &[], "x");
        let refused = send(to, Speaks::Http1, req).await;
        statements
            .run("resume target desk-1")
            .await
            .expect("it is accepted");
        assert_refused(&refused, 503, "no_target", "not_run");
    });
}
