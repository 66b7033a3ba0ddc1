//! The answers to accepted requests: complete answers from the requested model, or a problem that
//! states correctly whether the request ran.

mod support;

use std::time::Duration;

use chervilshunt_standin::fleet::{FleetOptions, model_name, wait_until};
use futures_util::future::join_all;
use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};

use support::endless::{ENDLESS, Endless};
use support::http::{BOUND, OpenResponse, Protocol, ReceivedResponse, open, post, request, send};
use support::serial::{ExclusiveFleet, run_exclusively};

fn options() -> FleetOptions {
    FleetOptions {
        instances: 2,
        engines: 2,
        plains: 1,
        adapters: 4,
        // Tests that make engines fail must not exhaust the retry budget for each other.
        settings: json!({"limits": {"retry_budget_ratio": 1.0}}),
        ..FleetOptions::default()
    }
}

fn completion(model: &str, tokens: u32, stream: bool) -> String {
    json!({"model": model, "prompt": "chairs", "max_tokens": tokens, "stream": stream}).to_string()
}

/// Returns the text of a completion, streamed or not.
fn text_of(answer: &ReceivedResponse) -> String {
    let text = |document: &Value| {
        let choice = &document["choices"][0];
        let places = [
            &choice["text"],
            &choice["message"]["content"],
            &choice["delta"]["content"],
        ];
        places
            .iter()
            .find_map(|place| place.as_str())
            .unwrap_or_default()
            .to_owned()
    };
    if answer
        .header("content-type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"))
    {
        let events = data_of(answer);
        return events.iter().map(text).collect();
    }
    text(&answer.json())
}

/// Returns the JSON values of a stream's `data` lines.
fn data_of(answer: &ReceivedResponse) -> Vec<Value> {
    let data = answer
        .text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|data| serde_json::from_str(data).ok())
        .collect()
}

fn tokens(model: &str, request: &str, count: u32) -> String {
    let numbered: String = (0..count - 1)
        .map(|number| format!(" TOKEN_{number}"))
        .collect();
    format!("served={model} request={request}{numbered}")
}

#[rstest]
fn a_completion_is_complete_and_from_the_requested_model(
    #[values(Protocol::Http1, Protocol::Http2)] speaks: Protocol,
    #[values("i1", "i2")] entry: &str,
    #[values(false, true)] stream: bool,
) {
    run_exclusively(options, async |test| {
        let to = test.fleet.instances()[entry].callers();
        for number in 0..2 {
            let model = model_name(number);
            let id = format!("whole-{speaks:?}-{entry}-{stream}-{number}");
            let body = completion(&model, 5, stream);
            let headers = [("x-request-id", id.as_str())];
            let answer = send(to, speaks, post(to, "/v1/completions", &headers, &body)).await;
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
            assert!(answer.whole);
            assert_eq!(text_of(&answer), tokens(&model, &id, 5));
            assert_eq!(answer.text.ends_with("data: [DONE]\n\n"), stream);
            assert_eq!(answer.header("x-request-id"), Some(id.as_str()));
            assert_eq!(answer.header("x-served-by"), Some(entry));
            assert_eq!(answer.header("x-adapter-version"), Some(model.as_str()));
            let target = answer.header("x-target").expect("a target");
            assert!(test.fleet.targets().contains_key(target));
            assert_eq!(test.runs(&id).await, 1);
        }
    });
}

#[rstest]
fn a_chat_completion_is_complete(#[values(false, true)] stream: bool) {
    run_exclusively(options, async |test| {
        let to = test.fleet.instances()["i1"].callers();
        let id = format!("chat-{stream}");
        let body = json!({
            "model": model_name(0), "max_tokens": 3, "stream": stream,
            "messages": [{"role": "user", "content": "who has the sofa?"}],
        });
        let headers = [("x-request-id", id.as_str())];
        let req = post(to, "/v1/chat/completions", &headers, &body.to_string());
        let answer = send(to, Protocol::Http1, req).await;
        assert_eq!(text_of(&answer), tokens(&model_name(0), &id, 3));
    });
}

#[rstest]
fn a_plain_service_gets_method_path_query_and_body(
    #[values(Protocol::Http1, Protocol::Http2)] speaks: Protocol,
    #[values("GET", "POST", "PUT", "DELETE")] method: &str,
) {
    run_exclusively(options, async |test| {
        let to = test.fleet.instances()["i2"].callers();
        let path = "/services/desk/slips/7?late=yes";
        let answer = send(to, speaks, request(method, to, path, &[], "two wardrobes")).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
        let seen = answer.json();
        assert_eq!(seen["method"], method);
        assert_eq!(seen["path"], "/slips/7?late=yes");
        assert_eq!(seen["body"], "two wardrobes");
        assert_eq!(seen["request"].as_str(), answer.header("x-request-id"));
    });
}

// The engine's connection breaks after the stream has begun. The relayed part can't be taken back,
// so the caller gets an error event, and neither a `[DONE]` nor a restarted stream.
#[rstest]
fn an_interrupted_stream_ends_with_an_error_event(
    #[values(Protocol::Http1, Protocol::Http2)] speaks: Protocol,
) {
    run_exclusively(options, async |test| {
        test.fault_engines(json!({"cut_after_tokens": 3})).await;
        let to = test.fleet.instances()["i1"].callers();
        let id = format!("cut-{speaks:?}");
        let body = completion(&model_name(0), 9, true);
        let headers = [("x-request-id", id.as_str())];
        let answer = send(to, speaks, post(to, "/v1/completions", &headers, &body)).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(
            answer.whole,
            "the error event ends the response without a connection error"
        );
        assert!(!answer.text.contains("[DONE]"));
        let error = answer
            .text
            .split("event: error\ndata: ")
            .nth(1)
            .expect("an error event");
        let problem: Value = serde_json::from_str(error.trim_end()).expect("a problem document");
        assert_eq!(problem["outcome"], "cut_short");
        assert_eq!(problem["reason"], "broken_off");
        assert_eq!(problem["request_id"], id.as_str());
        assert!(text_of(&answer).starts_with(&tokens(&model_name(0), &id, 3)));
        assert_eq!(
            test.runs(&id).await,
            1,
            "a stream that has begun is never repeated"
        );
        test.wait_for_none("show permits").await;
    });
}

// Both engines interrupt each answer half-way. The request is idempotent, so the instance retries
// it a limited number of times and then reports an unknown outcome, because it did run.
#[test]
fn an_interrupted_answer_is_retried_and_then_reported_as_unknown() {
    run_exclusively(options, async |test| {
        test.fault_engines(json!({"cut_after_tokens": 2})).await;
        let to = test.fleet.instances()["i1"].callers();
        let body = completion(&model_name(1), 4, false);
        let headers = [("x-request-id", "half")];
        let req = post(to, "/v1/completions", &headers, &body);
        let answer = send(to, Protocol::Http1, req).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{}", answer.text);
        let problem = answer.json();
        assert_eq!(problem["outcome"], "unknown");
        assert!(answer.header("retry-after").is_some());
        let runs = test.runs("half").await;
        assert!((2..=4).contains(&runs), "{runs} runs");
        test.wait_for_none("show permits").await;
    });
}

// One engine interrupts its answers, the other does not. The retry hides that from the caller.
#[test]
fn an_interrupted_answer_is_replaced_by_another_engines() {
    run_exclusively(options, async |test| {
        test.fault("engine-1", json!({"cut_after_tokens": 2})).await;
        let to = test.fleet.instances()["i1"].callers();
        for number in 0..4 {
            let body = completion(&model_name(number), 4, false);
            let id = format!("other-{number}");
            let headers = [("x-request-id", id.as_str())];
            let req = post(to, "/v1/completions", &headers, &body);
            let answer = send(to, Protocol::Http1, req).await;
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
            assert_eq!(text_of(&answer), tokens(&model_name(number), &id, 4));
        }
    });
}

// One engine interrupts its answers. The other has restarted without adapters and fails its loads,
// so it refuses the retry before anything runs. The answer must not be "not run", because the first
// engine ran the request.
#[test]
fn a_refused_retry_does_not_hide_that_the_first_attempt_ran() {
    run_exclusively(options, async |test| {
        wait_until_healthy(&test).await;
        test.fault("engine-1", json!({"cut_after_tokens": 2})).await;
        let broken = json!({"restart": true, "load_fails": 1.0});
        test.fault("engine-2", broken).await;
        let to = test.fleet.instances()["i1"].callers();
        let mut ran_and_failed = 0;
        for number in 0..4 {
            let id = format!("hidden-{number}");
            let body = completion(&model_name(number), 4, false);
            let headers = [("x-request-id", id.as_str()), ("prefer", "wait=8")];
            let req = post(to, "/v1/completions", &headers, &body);
            let answer = send(to, Protocol::Http1, req).await;
            let runs = test.runs(&id).await;
            if answer.status == StatusCode::OK {
                continue;
            }
            if runs > 0 {
                ran_and_failed += 1;
                assert_eq!(
                    answer.json()["outcome"],
                    "unknown",
                    "{runs} runs: {}",
                    answer.text
                );
            }
            assert!(answer.header("retry-after").is_some(), "{}", answer.text);
        }
        assert!(
            ran_and_failed > 0,
            "no request was interrupted at the first engine"
        );
        test.fault("engine-1", json!({"cut_after_tokens": -1}))
            .await;
        test.fault("engine-2", json!({"load_fails": 0.0})).await;
        // The owner retries failed loads only after a delay.
        wait_until_healthy(&test).await;
    });
}

// One engine interrupts every answer half-way but passes its health checks. Callers get their
// answers from the other one. The failing engine gets calls until its owner's circuit breaker
// opens, and only single ones after that; otherwise each request that ranks it first would fail
// there and be sent twice.
#[test]
fn an_engine_that_fails_its_calls_gets_few_more() {
    const ROUNDS: u32 = 12;
    /// Calls until the breaker opens, those in flight at that time, and the single ones after it.
    const MOST_FAILED: f64 = 40.0;
    /// The time after which a breaker no longer counts earlier calls.
    const WINDOW: Duration = Duration::from_secs(11);
    run_exclusively(options, async |test| {
        wait_until_healthy(&test).await;
        tokio::time::sleep(WINDOW).await;
        test.fault("engine-1", json!({"cut_after_tokens": 2})).await;
        let failed = "chervilshunt_retries_total{reason=\"broken_off\"}";
        let before = test.metric("i1", failed).await;
        for round in 0..ROUNDS {
            for (id, model, answer) in send_concurrently(&test, &format!("grey-{round}")).await {
                assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
                assert_eq!(text_of(&answer), tokens(&model, &id, 4));
            }
        }
        let retried = test.metric("i1", failed).await - before;
        assert!(retried > 0.0, "the engine got no call");
        assert!(retried <= MOST_FAILED, "{retried} calls failed");
        test.fault("engine-1", json!({"cut_after_tokens": -1}))
            .await;
        wait_until_healthy(&test).await;
    });
}

/// Waits until both engines get and answer calls again, because earlier tests may have opened their
/// breakers.
async fn wait_until_healthy(test: &ExclusiveFleet) {
    /// The number of calls to each engine that a breaker evaluates before it opens.
    const SOUND_ROUNDS: u32 = 4;
    const ENGINES: [&str; 2] = ["engine-1", "engine-2"];
    let mut sound = 0;
    let mut round = 0;
    for _ in 0..200 {
        round += 1;
        let answers = send_concurrently(test, &format!("sound-{round}")).await;
        let from = |engine: &str| {
            let served = |answer: &ReceivedResponse| {
                answer.status == StatusCode::OK && answer.header("x-target") == Some(engine)
            };
            answers.iter().filter(|(.., it)| served(it)).count()
        };
        let all = ENGINES.iter().map(|engine| from(engine)).sum::<usize>() == answers.len();
        let both = ENGINES.iter().all(|engine| from(engine) > 0);
        sound = if all && both { sound + 1 } else { 0 };
        if sound == SOUND_ROUNDS {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("an engine gets no calls any more");
}

/// Sends ten concurrent requests over all models; returns the id, model and answer of each.
async fn send_concurrently(
    test: &ExclusiveFleet,
    name: &str,
) -> Vec<(String, String, ReceivedResponse)> {
    const AT_A_TIME: usize = 10;
    let to = test.fleet.instances()["i1"].callers();
    let calls = (0..AT_A_TIME).map(async |call| {
        let model = model_name(call % 4);
        let id = format!("{name}-{call}");
        let body = completion(&model, 4, false);
        let headers = [("x-request-id", id.as_str())];
        let req = post(to, "/v1/completions", &headers, &body);
        let answer = send(to, Protocol::Http1, req).await;
        (id, model, answer)
    });
    join_all(calls).await
}

// An engine serves a request with another adapter, as after an unreported eviction. The instance
// checks the model name in the answer before it relays anything.
#[rstest]
fn an_answer_from_another_model_is_never_relayed(#[values(false, true)] stream: bool) {
    run_exclusively(options, async |test| {
        let to = test.fleet.instances()["i1"].callers();
        for number in 0..4 {
            let model = model_name(number);
            test.fault_engines(json!({"wrong_model": true})).await;
            let id = format!("wrong-{stream}-{number}");
            let headers = [("x-request-id", id.as_str())];
            let body = completion(&model, 3, stream);
            let req = post(to, "/v1/completions", &headers, &body);
            let answer = send(to, Protocol::Http1, req).await;
            if answer.status == StatusCode::OK {
                assert_eq!(text_of(&answer), tokens(&model, &id, 3));
            } else {
                assert_eq!(answer.json()["reason"], "wrong_model");
                assert_eq!(answer.json()["outcome"], "unknown");
            }
        }
        assert!(
            test.metric("i1", "chervilshunt_retries_total{reason=\"wrong_model\"}")
                .await
                > 0.0
        );
    });
}

// The plain service closes the connection during a call that is not idempotent. Whether the call
// ran is not known and is reported as such; a second call could run it twice.
#[rstest]
#[case::before_it_ran("cut_before_run", 0)]
#[case::after_it_ran("lose_answers", 1)]
fn a_call_that_may_have_run_is_not_retried(#[case] fault: &str, #[case] runs: u64) {
    run_exclusively(options, async |test| {
        test.fault("desk-1", json!({fault: 1})).await;
        let to = test.fleet.instances()["i1"].callers();
        let calls = test.stat("desk-1", "calls").await;
        let headers = [("x-request-id", fault)];
        let req = post(to, "/services/desk/finish", &headers, "boat 7, 14:03");
        let answer = send(to, Protocol::Http1, req).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{}", answer.text);
        assert_eq!(answer.json()["outcome"], "unknown");
        assert_eq!(test.stat("desk-1", "calls").await, calls + 1);
        assert_eq!(test.runs(fault).await, runs);
    });
}

// The caller disconnects in the middle of a stream. The engine must stop generating, and the permit
// must be released, or the adapter would stay pinned in its slot.
#[rstest]
fn a_caller_that_disconnects_cancels_its_stream(
    #[values(Protocol::Http1, Protocol::Http2)] speaks: Protocol,
    #[values("i1", "i2")] entry: &str,
) {
    run_exclusively(options, async |test| {
        let to = test.fleet.instances()[entry].callers();
        let body = completion(&model_name(2), 100_000, true);
        let stream = open(to, speaks, post(to, "/v1/completions", &[], &body)).await;
        assert_eq!(stream.response.status(), StatusCode::OK);
        test.wait_for_rows("show permits", 1).await;
        drop(stream);
        test.wait_for_none("show permits").await;
        let idle = || async {
            let running =
                test.stat("engine-1", "running").await + test.stat("engine-2", "running").await;
            (running == 0).then_some(())
        };
        wait_until(BOUND, idle).await.expect("an engine goes on");
        assert!(test.metric(entry, "chervilshunt_open_requests").await.abs() < 0.5);
    });
}

// Callers open endless streams and do not read them. Unread data must not accumulate: the instance
// stops reading from the engine, which pauses its sequences, and the instance's memory stays within
// a bound per stream. When the callers disconnect, all permits are released.
#[rstest]
fn callers_that_do_not_read_apply_back_pressure_to_the_engine(
    #[values(Protocol::Http1, Protocol::Http2)] speaks: Protocol,
) {
    const STREAMS: usize = 100;
    /// The maximum resident memory per stream, in KiB.
    const KIB_A_STREAM: u64 = 256;
    /// The maximum number of bytes between the engine and the caller, in the buffers of the kernel,
    /// the instance and the caller.
    const BYTES_A_STREAM: u64 = 1024 * 1024;
    run_exclusively(options, async |test| {
        let engine = Endless::start().await;
        create_endless(&test, &engine).await;
        let to = test.fleet.instances()["i1"].callers();
        let body = completion(ENDLESS, 1_000_000, true);
        // The first streams allocate pools and threads that are kept.
        let first = open_streams(to, speaks, &body, 10).await;
        wait_until_stalled(&engine).await;
        let before = resident_kib(&test);
        let bytes_before = engine.bytes();
        let streams = open_streams(to, speaks, &body, STREAMS).await;
        wait_until_stalled(&engine).await;
        let grown = resident_kib(&test).saturating_sub(before);
        let taken = (engine.bytes() - bytes_before) / STREAMS as u64;
        println!("{speaks:?}: {grown} KiB for {STREAMS} streams, {taken} bytes taken of each");
        assert!(grown < KIB_A_STREAM * STREAMS as u64, "{grown} KiB");
        assert!(taken < BYTES_A_STREAM, "{taken} bytes of each stream");
        drop((first, streams));
        let ended = || async { (engine.open() == 0).then_some(()) };
        wait_until(BOUND, ended)
            .await
            .expect("streams stay open at the engine");
        test.wait_for_none("show permits").await;
        delete_endless(&test).await;
    });
}

async fn open_streams(
    to: std::net::SocketAddr,
    speaks: Protocol,
    body: &str,
    count: usize,
) -> Vec<OpenResponse> {
    let mut streams = Vec::new();
    for _ in 0..count {
        let stream = open(to, speaks, post(to, "/v1/completions", &[], body)).await;
        assert_eq!(stream.response.status(), StatusCode::OK);
        streams.push(stream);
    }
    streams
}

/// Waits until nothing more is read from the engine's streams.
async fn wait_until_stalled(engine: &Endless) {
    let still = || async {
        let before = engine.bytes();
        tokio::time::sleep(Duration::from_millis(300)).await;
        (engine.bytes() == before).then_some(())
    };
    wait_until(BOUND, still)
        .await
        .expect("the engine is not held back");
}

fn resident_kib(test: &ExclusiveFleet) -> u64 {
    let pid = test.fleet.instances()["i1"].process.id().expect("it runs");
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().next());
    digits
        .and_then(|digits| digits.parse().ok())
        .expect("a number")
}

async fn create_endless(test: &ExclusiveFleet, engine: &Endless) {
    let text = format!(
        "{{ create service {ENDLESS} kind=engine base_model={ENDLESS} priority=prompt \
         deadline_ms=20000; create target {ENDLESS} service={ENDLESS} address={} zone=zone-a \
         site=hall store=shelf slots=1 max_batch=256 idle_watts=1 watts_per_sequence=1 }}",
        engine.address,
    );
    change(test, &text).await;
    let owned = || async {
        let rows = test
            .show(&format!("show targets where name = {ENDLESS}"))
            .await;
        rows.first()?["owner"].as_str().map(drop)
    };
    wait_until(BOUND, owned)
        .await
        .expect("nobody owns the target");
}

async fn delete_endless(test: &ExclusiveFleet) {
    change(
        test,
        &format!("{{ delete target {ENDLESS}; delete service {ENDLESS} }}"),
    )
    .await;
}

async fn change(test: &ExclusiveFleet, text: &str) {
    let statements = test.fleet.statements().expect("an instance is ready");
    statements
        .run(text)
        .await
        .unwrap_or_else(|error| panic!("{error}"));
}
