//! Tests of the measurements of relayed and open streams.

use std::time::Duration;

use chervilshunt_bench::load::{LoadError, OpenStreamsPlan, RelayPlan, open_streams, relay};
use chervilshunt_standin::engine::EngineFaultChange;

use crate::instance::{Misbehavior, Pair, pair};

const TIMEOUT: Duration = Duration::from_secs(20);

fn relay_plan(pair: &Pair) -> RelayPlan {
    RelayPlan {
        entry: pair.instance,
        models: vec!["base".into()],
        streams: 5,
        tokens: 300,
        pid: Some(std::process::id()),
        timeout: TIMEOUT,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_event_is_counted() {
    let pair = pair(Misbehavior::None).await;
    let report = relay(relay_plan(&pair)).await.unwrap();
    assert_eq!(report.events, 5 * 301);
    assert!(report.instance_cpu_seconds.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_cut_fails_the_measurement() {
    let pair = pair(Misbehavior::None).await;
    pair.engine.set_faults(&EngineFaultChange {
        cut_after_tokens: Some(100),
        ..EngineFaultChange::default()
    });
    let error = relay(relay_plan(&pair)).await.unwrap_err();
    assert!(
        matches!(
            error,
            LoadError::Streams {
                failed: 5,
                streams: 5,
                ..
            }
        ),
        "{error}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_read_while_streams_are_open() {
    let pair = pair(Misbehavior::None).await;
    let plan = OpenStreamsPlan {
        entry: pair.instance,
        pid: std::process::id(),
        models: vec!["base".into()],
        streams: 20,
        tokens: 10_000_000,
        hold: Duration::from_millis(200),
        stalled: true,
        timeout: TIMEOUT,
    };
    let report = open_streams(plan.clone()).await.unwrap();
    assert!(
        report.peak_kib >= report.before_kib && report.before_kib > 0,
        "{report:?}"
    );
    let short = OpenStreamsPlan {
        tokens: 10,
        stalled: false,
        ..plan
    };
    let error = open_streams(short).await.unwrap_err();
    assert!(
        matches!(error, LoadError::Streams { failed: 20, .. }),
        "{error}"
    );
}
