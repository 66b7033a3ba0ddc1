//! Engines that can't be reached, as their owners and callers learn of it.

mod support;

use chervilshunt_standin::fleet::{FleetOptions, model_name};
use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};

use support::http::{Speaks, post, send};
use support::serial::{Alone, alone};

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

async fn wait_for_reachable(test: &Alone, reachable: bool, count: usize) {
    let question = format!("show targets where reachable = {reachable}");
    test.wait_for_rows(&question, count).await;
}

// The operator sees an engine as reachable that is gone. It refuses connections, or hangs, while
// nobody asks it for anything and no order is given, so that neither a call nor an order can fail.
// Its owner has to find out by itself, or the first callers pay for it, each with a try or, where the
// engine hangs, with its whole deadline. Once the engine answers again it is used again.
#[rstest]
#[case::refuses_connections(json!({"down": true}), json!({"down": false}))]
#[case::hangs(json!({"freeze": true}), json!({"freeze": false}))]
fn an_engine_that_is_lost_is_noticed_without_calls(#[case] lost: Value, #[case] back: Value) {
    alone(options, async |test| {
        wait_for_reachable(&test, true, ENGINES).await;
        test.fault("engine-1", lost).await;
        wait_for_reachable(&test, false, 1).await;
        test.fault("engine-1", back).await;
        wait_for_reachable(&test, true, ENGINES).await;
    });
}

// The caller is told that no owner can be reached, and the operator looks for a fault of the
// instances, while it is the engines that are gone. Each owner knows that its engine is gone and sends
// the request to the other's, whose owner sends it back, until the request has no hops left.
#[test]
fn callers_hear_that_no_engine_takes_the_request() {
    alone(options, async |test| {
        wait_for_reachable(&test, true, ENGINES).await;
        test.fault_engines(json!({"down": true})).await;
        wait_for_reachable(&test, false, ENGINES).await;
        for id in ["i1", "i2"] {
            let to = test.fleet.instances()[id].callers();
            let body = json!({"model": model_name(0), "prompt": "x", "max_tokens": 5});
            let req = post(to, "/v1/completions", &[], &body.to_string());
            let answer = send(to, Speaks::Http1, req).await;
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
