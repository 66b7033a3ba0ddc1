//! Engines that can't be reached, as their owners and callers learn of it.

mod support;

use chervilshunt_standin::fleet::FleetOptions;
use rstest::rstest;
use serde_json::{Value, json};

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
