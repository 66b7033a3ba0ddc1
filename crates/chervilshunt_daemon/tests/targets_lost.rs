//! Unreachable engines: how their owners detect them and what callers get.

mod support;

use chervilshunt_standin::fleet::{FleetOptions, model_name};
use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};

use support::http::{Protocol, post, send};
use support::serial::{ExclusiveFleet, run_exclusively};

const ENGINES: usize = 2;

fn options() -> FleetOptions {
    FleetOptions {
        instances: 2,
        engines: ENGINES,
        plains: 0,
        adapters: 2,
        ..FleetOptions::default()
    }
}

async fn wait_for_reachable(test: &ExclusiveFleet, reachable: bool, count: usize) {
    let question = format!("show targets where reachable = {reachable}");
    test.wait_for_rows(&question, count).await;
}

// An engine refuses connections or hangs while it gets no calls and no orders, so that none of them
// can fail. Its owner has to detect this on its own polling: otherwise operators would see the
// engine as reachable, and each of the first callers would lose an attempt or, if the engine hangs,
// its whole deadline. Once the engine answers again, it is used again.
#[rstest]
#[case::refuses_connections(json!({"down": true}), json!({"down": false}))]
#[case::hangs(json!({"freeze": true}), json!({"freeze": false}))]
fn a_lost_engine_is_detected_without_calls(#[case] lost: Value, #[case] back: Value) {
    run_exclusively(options, async |test| {
        wait_for_reachable(&test, true, ENGINES).await;
        test.fault("engine-1", lost).await;
        wait_for_reachable(&test, false, 1).await;
        test.fault("engine-1", back).await;
        wait_for_reachable(&test, true, ENGINES).await;
    });
}

// Both engines are unreachable, and each owner redirects the request to the other's engine until
// the request has no hops left. The answer must not be that no owner can be reached, because
// operators would then look for a fault of the instances.
#[test]
fn callers_are_told_that_no_engine_accepts_the_request() {
    run_exclusively(options, async |test| {
        wait_for_reachable(&test, true, ENGINES).await;
        test.fault_engines(json!({"down": true})).await;
        wait_for_reachable(&test, false, ENGINES).await;
        for id in ["i1", "i2"] {
            let to = test.fleet.instances()[id].callers();
            let body = json!({"model": model_name(0), "prompt": "x", "max_tokens": 5});
            let req = post(to, "/v1/completions", &[], &body.to_string());
            let answer = send(to, Protocol::Http1, req).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            let problem = answer.json();
            assert_eq!(problem["outcome"], "not_run", "{problem}");
            assert!(
                ["no_target", "target_down"].contains(&problem["reason"].as_str().unwrap()),
                "{problem}"
            );
            assert!(answer.header("retry-after").is_some());
        }
        test.fault_engines(json!({"down": false})).await;
        wait_for_reachable(&test, true, ENGINES).await;
    });
}
