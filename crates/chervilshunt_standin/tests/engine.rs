//! Tests that the engine stand-in batches sequences, counts events and reports the serving model
//! correctly, which other tests rely on.

use std::time::Duration;

use bytes::Bytes;
use chervilshunt_engine::{Answer, Call, EngineClient, EngineError, ExpectedAnswer, Limits};
use chervilshunt_model::{AdapterVersion, AttemptId, Epoch, RequestId};
use chervilshunt_standin::engine::{
    EngineFaultChange, EngineStandin, EngineStandinConfig, PowerChange, peak_combined_power,
    start_engine,
};
use chervilshunt_standin::weights::{WeightsFaultChange, WeightsStandinConfig, start_weights};
use http::{HeaderMap, Method};
use http_body_util::BodyExt as _;
use rstest::rstest;

const EPOCH: Epoch = Epoch::new(1);
/// Only keeps a failing test from hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn start(cfg: EngineStandinConfig) -> (EngineStandin, EngineClient) {
    let engine = start_engine(cfg).await.expect("start");
    let client = EngineClient::new(engine.address);
    (engine, client)
}

fn model(name: &str) -> AdapterVersion {
    AdapterVersion::parse(name).expect("model")
}

fn call(model: &str, request: &str, tokens: u32, priority: i64) -> Call {
    let body = serde_json::json!({
        "model": model, "prompt": request, "max_tokens": tokens, "stream": true,
        "priority": priority,
    });
    Call {
        method: Method::POST,
        path: "/v1/completions".parse().expect("path"),
        headers: HeaderMap::new(),
        body: Bytes::from(body.to_string()),
        request: RequestId::new(request),
        attempt: AttemptId::random(),
        expect: ExpectedAnswer::Model(model.into()),
        idempotent: true,
        limits: Limits::default(),
    }
}

/// Reads a response to its end, which must come within [`TEST_TIMEOUT`].
async fn finish(mut answer: Answer) -> Result<(), EngineError> {
    let read = async {
        while let Some(frame) = answer.body.frame().await {
            frame?;
        }
        Ok(())
    };
    tokio::time::timeout(TEST_TIMEOUT, read)
        .await
        .expect("the answer ends in time")
}

/// Waits until a condition holds, which must happen within [`TEST_TIMEOUT`].
async fn until(mut holds: impl FnMut() -> bool) {
    let waited = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, waited)
        .await
        .expect("it comes to hold in time");
}

/// With eight sequences and a batch limit of three, at most three run at a time, they advance
/// together, and the power is bounded by the batch limit.
#[tokio::test]
async fn batch_and_power_are_bounded() {
    let cfg = EngineStandinConfig {
        max_batch: 3,
        step: Duration::from_millis(1),
        idle_watts: 100.0,
        watts_per_sequence: 10.0,
        ..EngineStandinConfig::default()
    };
    let (engine, client) = start(cfg).await;
    let calls = (0..8).map(|number| {
        let client = client.clone();
        tokio::spawn(async move {
            let call = call("base", &format!("r{number}"), 20, 0);
            finish(client.open(call).await.expect("opens"))
                .await
                .expect("whole");
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.expect("call");
    }

    until(|| engine.stats().running == 0).await;
    let stats = engine.stats();
    assert_eq!((stats.count.highest_batch, stats.count.tokens), (3, 160));
    assert!(
        stats.count.steps < 100,
        "{} steps: not run together",
        stats.count.steps
    );
    assert!((stats.highest_watts - 130.0).abs() < 1e-9 && (stats.watts - 100.0).abs() < 1e-9);
    assert!(stats.joules > 0.0);
    let highest = peak_combined_power(&[engine.power_changes()]);
    assert!((highest - 130.0).abs() < 1e-9);
}

/// The combined power of engines that peak at different times is below the sum of their peaks.
#[test]
fn combined_power_is_summed_at_each_time() {
    let changes = |list: &[(u64, f64)]| -> Vec<PowerChange> {
        let list = list.iter();
        list.map(|(unix_micros, watts)| PowerChange {
            unix_micros: *unix_micros,
            watts: *watts,
        })
        .collect()
    };
    let one = changes(&[(0, 10.0), (5, 50.0), (9, 10.0)]);
    let other = changes(&[(0, 10.0), (9, 40.0), (12, 10.0)]);
    assert!((peak_combined_power(&[one.clone(), other]) - 60.0).abs() < 1e-9);
    assert!((peak_combined_power(&[one.clone(), one]) - 100.0).abs() < 1e-9);
}

/// While one sequence fills the batch, queued ones are ordered by priority, then by arrival.
#[tokio::test]
async fn priorities_order_queued_sequences() {
    let cfg = EngineStandinConfig {
        max_batch: 1,
        step: Duration::from_millis(1),
        ..EngineStandinConfig::default()
    };
    let (engine, client) = start(cfg).await;
    let first = client
        .open(call("base", "first", 1_000_000, 0))
        .await
        .expect("opens");
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    for (place, (name, priority)) in [("last", 9), ("second", 5), ("third", 5), ("urgent", -1)]
        .into_iter()
        .enumerate()
    {
        let (client, tx) = (client.clone(), tx.clone());
        tokio::spawn(async move {
            finish(
                client
                    .open(call("base", name, 3, priority))
                    .await
                    .expect("opens"),
            )
            .await
            .expect("whole");
            tx.send(name).expect("receiver");
        });
        until(|| engine.stats().waiting == place + 1).await;
    }

    drop(first);

    let mut order = Vec::new();
    for _ in 0..4 {
        order.push(rx.recv().await.expect("ends"));
    }
    assert_eq!(order, ["urgent", "second", "third", "last"]);
}

/// An adapter is unloaded while it serves a sequence, as an owner would do that lost track of its
/// permits. The next token is served by the base model, and the response, the run record and the
/// counters all show it.
#[tokio::test]
async fn eviction_while_serving_is_visible() {
    let (engine, client) = start(EngineStandinConfig::default()).await;
    client.load(&model("a@1"), "s", EPOCH).await.expect("loads");
    let mut answer = client
        .open(call("a@1", "r", 1_000_000, 0))
        .await
        .expect("opens");
    answer.body.buffer_first_chunk().await.expect("comes");

    client.unload(&model("a@1"), EPOCH).await.expect("unloads");

    let error = finish(answer).await.expect_err("is noticed");
    assert!(matches!(&error, EngineError::WrongModel { served, .. } if &**served == "base"));
    let models: Vec<String> = engine
        .runs("r")
        .models
        .iter()
        .map(|model| model.to_string())
        .collect();
    assert_eq!(models, ["a@1", "base"]);
    assert_eq!(engine.stats().count.unloads_while_serving, 1);
}

/// A request id that is sent twice, as after a retry, is counted twice.
#[tokio::test]
async fn runs_are_counted_by_request() {
    let (engine, client) = start(EngineStandinConfig::default()).await;
    for request in ["r", "r", "other"] {
        finish(
            client
                .open(call("base", request, 2, 0))
                .await
                .expect("opens"),
        )
        .await
        .expect("whole");
    }
    assert_eq!((engine.runs("r").runs, engine.runs("other").runs), (2, 1));
    assert_eq!(engine.runs("never").runs, 0);
}

/// An engine with no free slot refuses a load; it never evicts an adapter on its own.
#[tokio::test]
async fn full_engine_refuses_to_load() {
    let (engine, client) = start(EngineStandinConfig {
        slots: 2,
        ..EngineStandinConfig::default()
    })
    .await;
    let (one, two, three) = (model("a@1"), model("b@1"), model("c@1"));
    let (first, second) =
        tokio::join!(client.load(&one, "s", EPOCH), client.load(&two, "s", EPOCH));
    first.expect("loads");
    second.expect("loads");

    let error = client.load(&three, "s", EPOCH).await.expect_err("is full");

    assert!(matches!(error, EngineError::Refused { .. }), "{error}");
    client.unload(&one, EPOCH).await.expect("unloads");
    client.load(&three, "s", EPOCH).await.expect("loads");
    assert_eq!(engine.stats().loaded.len(), 2);
}

/// Checks the outcome of a load order under each fault, and whether the adapter is loaded
/// afterwards.
#[rstest]
#[case::load_fails(
    EngineFaultChange { load_fails: Some(1.0), ..EngineFaultChange::default() }, "refused", false
)]
#[case::answer_lost(
    EngineFaultChange { lose_order_answers: Some(true), ..EngineFaultChange::default() },
    "unknown", true
)]
#[case::late(
    EngineFaultChange { load_slow_ms: Some(30), answer_late_ms: Some(30), ..EngineFaultChange::default() },
    "loaded", true
)]
#[tokio::test]
async fn load_fault(
    #[case] faults: EngineFaultChange,
    #[case] expected: &str,
    #[case] loaded: bool,
) {
    let (engine, client) = start(EngineStandinConfig::default()).await;
    engine.set_faults(&faults);

    let result = match client.load(&model("a@1"), "s", EPOCH).await {
        Ok(()) => "loaded",
        Err(EngineError::Refused { .. }) => "refused",
        Err(EngineError::OutcomeUnknown { .. }) => "unknown",
        Err(other) => panic!("{other}"),
    };

    assert_eq!(
        (result, engine.stats().loaded.len()),
        (expected, usize::from(loaded))
    );
}

/// A load continues after the client that ordered it disconnects, as in a real engine.
#[tokio::test]
async fn load_goes_on_without_its_client() {
    let (engine, client) = start(EngineStandinConfig::default()).await;
    engine.set_faults(&EngineFaultChange {
        load_slow_ms: Some(40),
        ..EngineFaultChange::default()
    });
    let (wanted, epoch) = (model("a@1"), EPOCH);
    let load = client.load(&wanted, "s", epoch);
    assert!(
        tokio::time::timeout(Duration::from_millis(10), load)
            .await
            .is_err()
    );

    until(|| engine.stats().loaded.len() == 1).await;
}

/// An outdated order of a former owner is counted, both by targets that check the fencing number
/// and by those that ignore it and carry the order out.
#[rstest]
#[case::checks(false, 1, 1)]
#[case::ignores(true, 1, 0)]
#[tokio::test]
async fn old_orders_are_counted(#[case] ignores: bool, #[case] stale: u64, #[case] fenced: u64) {
    let (engine, client) = start(EngineStandinConfig::default()).await;
    engine.set_faults(&EngineFaultChange {
        ignore_fencing: Some(ignores),
        ..EngineFaultChange::default()
    });
    client
        .load(&model("a@1"), "s", Epoch::new(5))
        .await
        .expect("loads");
    let unloaded = client.unload(&model("a@1"), Epoch::new(4)).await;

    let count = engine.stats().count;
    assert_eq!((count.stale_orders, count.fenced_orders), (stale, fenced));
    assert_eq!(unloaded.is_ok(), ignores);
}

/// A restart clears the adapters and the fencing number and cuts running sequences. A load in
/// progress at the restart must not fill a slot afterwards.
#[tokio::test]
async fn restart_forgets_everything() {
    let (engine, client) = start(EngineStandinConfig::default()).await;
    client
        .load(&model("a@1"), "s", Epoch::new(9))
        .await
        .expect("loads");
    let mut answer = client
        .open(call("a@1", "r", 1_000_000, 0))
        .await
        .expect("opens");
    answer.body.buffer_first_chunk().await.expect("comes");
    engine.set_faults(&EngineFaultChange {
        load_slow_ms: Some(40),
        ..EngineFaultChange::default()
    });
    let late = tokio::spawn({
        let client = client.clone();
        async move { client.load(&model("b@1"), "s", Epoch::new(9)).await }
    });
    until(|| engine.stats().count.load_orders == 2).await;

    engine.set_faults(&EngineFaultChange {
        restart: Some(true),
        ..EngineFaultChange::default()
    });

    assert!(matches!(
        finish(answer).await,
        Err(EngineError::Truncated { .. })
    ));
    late.await.expect("task").expect_err("is cut");
    until(|| engine.stats().count.failed_loads == 1).await;
    let stats = engine.stats();
    assert_eq!(
        (stats.loaded.len(), stats.running, stats.count.restarts),
        (0, 0, 1)
    );
    EngineClient::new(engine.address)
        .load(&model("a@1"), "s", EPOCH)
        .await
        .expect("loads");
}

/// Faults can be cleared through the control port while the main port refuses connections.
#[tokio::test]
async fn control_port_stays_open() {
    let (engine, client) = start(EngineStandinConfig::default()).await;
    let control = EngineClient::new(engine.control);
    let faults = |text: &'static str| Call {
        path: "/standin/faults".parse().expect("path"),
        body: Bytes::from_static(text.as_bytes()),
        expect: ExpectedAnswer::Any,
        ..call("base", "c", 1, 0)
    };

    control
        .open(faults(r#"{"down":true}"#))
        .await
        .expect("answers");
    while client.inventory().await.is_ok() {}
    let refused = client.inventory().await.expect_err("is down");
    assert!(matches!(refused, EngineError::NotSent { .. }), "{refused}");

    control
        .open(faults(r#"{"down":false}"#))
        .await
        .expect("answers");
    while client.inventory().await.is_err() {}
}

/// Dropped cache events leave a gap in the sequence numbers.
#[tokio::test]
async fn cache_events_have_gaps() {
    let cfg = EngineStandinConfig {
        report_lag: Duration::ZERO,
        ..EngineStandinConfig::default()
    };
    let (engine, client) = start(cfg).await;
    for (gaps, request) in [(0.0, "one"), (1.0, "two"), (0.0, "three")] {
        engine.set_faults(&EngineFaultChange {
            cache_event_gaps: Some(gaps),
            ..EngineFaultChange::default()
        });
        finish(
            client
                .open(call("base", request, 1, 0))
                .await
                .expect("opens"),
        )
        .await
        .expect("whole");
    }
    let events = client.cache_events(0).await.expect("lists");
    assert_eq!(
        events
            .iter()
            .map(|event| event.sequence)
            .collect::<Vec<_>>(),
        [1, 3]
    );
}

/// Loads use the weight store, which counts them; a failed load of the store fails the engine's
/// load.
#[tokio::test]
async fn loads_come_from_the_weight_store() {
    let cfg = WeightsStandinConfig {
        loads_per_second: 100.0,
        ..WeightsStandinConfig::default()
    };
    let store = start_weights(cfg).await.expect("start");
    let (engine, client) = start(EngineStandinConfig {
        weights: Some(store.address),
        ..EngineStandinConfig::default()
    })
    .await;
    let (one, two, three) = (model("a@1"), model("b@1"), model("c@1"));

    let (first, second) = tokio::join!(
        client.load(&one, "s/1", EPOCH),
        client.load(&two, "s/2", EPOCH)
    );
    first.expect("loads");
    second.expect("loads");
    assert_eq!((store.stats().loads, store.stats().highest_active), (2, 2));

    store.set_faults(&WeightsFaultChange {
        load_fails: Some(1.0),
        ..WeightsFaultChange::default()
    });
    client.load(&three, "s/3", EPOCH).await.expect_err("fails");
    assert_eq!(
        (store.stats().failed_loads, engine.stats().loaded.len()),
        (1, 2)
    );
}
