//! Successful answers: validation, token counts, backpressure and cancellation.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use chervilshunt_engine::{EngineClient, ExpectedAnswer, Usage};
use chervilshunt_model::{AdapterVersion, Epoch};
use chervilshunt_standin::engine::{EngineStandin, EngineStandinConfig, start_engine};
use chervilshunt_standin::plain::{PlainStandinConfig, start_plain};
use common::{
    LIMITS, MODEL, SECOND_PART_DELAY, ScriptedTarget, Step, chunked, completion, completion_for,
    event, plain, read, response, run, until,
};
use http_body_util::BodyExt as _;
use rstest::rstest;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;

async fn engine_with_adapter(step_ms: u64) -> (EngineStandin, EngineClient) {
    let cfg = EngineStandinConfig {
        step: Duration::from_millis(step_ms),
        ..EngineStandinConfig::default()
    };
    let engine = start_engine(cfg).await.expect("start");
    let client = EngineClient::new(engine.address);
    let model = AdapterVersion::parse(MODEL).expect("model");
    client
        .load(&model, "s", Epoch::new(1))
        .await
        .expect("loads");
    (engine, client)
}

#[rstest]
#[tokio::test]
async fn answer_is_complete_and_counted(#[values(false, true)] stream: bool) {
    let (engine, client) = engine_with_adapter(1).await;

    let answer = client
        .open(completion("r", 5, stream))
        .await
        .expect("opens");
    assert_eq!(answer.headers["x-request-id"], "r");
    let (text, summary) = read(answer).await.expect("whole");

    assert!(
        text.contains("served=a@1 request=r") && text.contains("TOKEN_3"),
        "{text}"
    );
    assert!(summary.complete);
    assert_eq!(
        summary.usage,
        Some(Usage {
            prompt_tokens: 2,
            completion_tokens: 5
        })
    );
    assert_eq!(engine.runs("r").runs, 1);
}

#[tokio::test]
async fn base_model_answers() {
    let (_engine, client) = engine_with_adapter(1).await;
    let answer = client
        .open(completion_for("base", "r", 3, true))
        .await
        .expect("opens");
    assert_eq!(read(answer).await.expect("whole").1.tokens(), 3);
}

/// Guards against losing the first chunk when it is awaited before the caller gets the headers.
#[tokio::test]
async fn first_chunk_is_kept() {
    let (_engine, client) = engine_with_adapter(1).await;
    let mut answer = client.open(completion("r", 3, true)).await.expect("opens");

    answer.body.buffer_first_chunk().await.expect("comes");
    answer
        .body
        .buffer_first_chunk()
        .await
        .expect("is still there");

    let (text, summary) = read(answer).await.expect("whole");
    assert!(
        text.starts_with("data: {") && text.contains("served=a@1"),
        "{text}"
    );
    assert_eq!((summary.events, text.matches("data:").count()), (3, 4));
}

/// Guards against a timeout while a sequence is queued in an engine that sends the headers of a
/// stream immediately. The limit until the first token is that of the headers; the shorter one
/// between chunks applies only afterwards.
#[tokio::test]
async fn first_token_has_the_limit_of_the_headers() {
    let pieces = chunked(&[&event(MODEL, "x"), "data: [DONE]\n\n"], true);
    let (head, events) = pieces.split_at(pieces.find("\r\n\r\n").expect("head") + 4);
    let step = Step::AnswerInTwoParts(head.to_owned(), events.to_owned());
    let target = ScriptedTarget::start(vec![step]).await;
    let mut call = completion("r", 1, true);
    call.limits.idle = SECOND_PART_DELAY / 4;

    let answer = EngineClient::new(target.address)
        .open(call)
        .await
        .expect("opens");

    assert!(read(answer).await.expect("whole").1.complete);
}

/// Guards against a sequence that stays in the engine's batch after the caller disconnects during
/// the stream.
#[tokio::test]
async fn dropped_answer_cancels_the_call() {
    let (engine, client) = engine_with_adapter(2).await;
    let mut answer = client
        .open(completion("r", 1_000_000, true))
        .await
        .expect("opens");
    answer.body.frame().await.expect("comes").expect("is right");
    assert_eq!(engine.stats().running, 1);

    drop(answer);

    until(async || engine.stats().running == 0).await;
}

/// Guards against a sequence that stays in the engine's queue after the caller disconnects before
/// the headers.
#[tokio::test]
async fn dropped_call_leaves_the_engines_queue() {
    let (engine, client) = engine_with_adapter(2).await;
    let call = client.open(completion("r", 1_000_000, false));
    assert!(
        tokio::time::timeout(Duration::from_millis(50), call)
            .await
            .is_err()
    );

    until(async || engine.stats().running + engine.stats().waiting == 0).await;
}

/// Guards against unbounded buffering for a caller that stops reading: the target can send only
/// what the socket buffers hold.
#[tokio::test]
async fn slow_caller_applies_backpressure_to_the_target() {
    const TOTAL: usize = 64 * 1024 * 1024;
    const PIECE: usize = 64 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let written = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&written);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {TOTAL}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("head");
        for _ in 0..TOTAL / PIECE {
            stream.write_all(&[b'x'; PIECE]).await.expect("piece");
            counter.fetch_add(PIECE, Ordering::Relaxed);
        }
        std::future::pending::<()>().await;
    });
    let client = EngineClient::new(address);
    let answer = client.open(plain("r", false)).await.expect("opens");

    tokio::time::sleep(Duration::from_millis(300)).await;
    let held_back = written.load(Ordering::Relaxed);
    assert!(
        held_back < TOTAL / 2,
        "{held_back} bytes were taken for a caller that reads none"
    );

    let (text, summary) = read(answer).await.expect("whole");
    assert_eq!((text.len(), summary.complete), (TOTAL, true));
}

/// Guards against forwarding the caller's hop-by-hop headers to the target, or dropping others.
#[tokio::test]
async fn plain_call_forwards_end_to_end_headers() {
    let target = ScriptedTarget::start(vec![Step::Answer(response("200 OK", "", "done"))]).await;
    let mut call = plain("r", false);
    call.path = "/finish?boat=7".parse().expect("path");
    for (name, value) in [
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("content-length", "99"),
        ("expect", "100-continue"),
        ("x-fencing-token", "9"),
        ("x-club", "7"),
    ] {
        call.headers.insert(name, value.parse().expect("value"));
    }
    let attempt = call.attempt;

    let answer = EngineClient::new(target.address)
        .open(call)
        .await
        .expect("opens");
    read(answer).await.expect("whole");

    let request = &target.recorded().requests[0];
    let mut lines: Vec<&str> = request.lines().collect();
    lines.sort_unstable();
    let expected = [
        "".to_owned(),
        "POST /finish?boat=7 HTTP/1.1".to_owned(),
        "content-length: 5".to_owned(),
        "entry".to_owned(),
        format!("host: {}", target.address),
        format!("x-attempt-id: {attempt}"),
        "x-club: 7".to_owned(),
        "x-request-id: r".to_owned(),
    ];
    assert_eq!(lines, expected);
}

/// Guards against losing a connection for reuse if nobody polls for the end of an answer of known
/// length after its last byte.
#[tokio::test]
async fn answer_of_known_length_is_complete_at_its_last_byte() {
    let service = start_plain(PlainStandinConfig::default())
        .await
        .expect("start");
    let client = EngineClient::new(service.address);
    let mut answer = client.open(plain("r", false)).await.expect("opens");
    answer.body.frame().await.expect("comes").expect("is right");
    assert!(answer.body.summary().complete);
}

/// Guards against streams that depend on the control thread for their wake-ups. Control and traffic
/// have separate runtimes and share a client, so neither may use the other's connections.
#[test]
fn runtimes_do_not_share_connections() {
    let runtime = || {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("runtime")
    };
    let (targets, control, traffic) = (runtime(), runtime(), runtime());
    let done = Step::Answer(response("200 OK", "", "done"));
    let target = targets.block_on(ScriptedTarget::start(vec![done; 4]));
    let client = EngineClient::new(target.address);
    for runtime in [&control, &traffic, &control, &traffic] {
        runtime
            .block_on(run(&client, plain("r", true)))
            .expect("answers");
    }

    assert_eq!(
        (
            target.recorded().connections,
            target.recorded().requests.len()
        ),
        (2, 4)
    );
}

#[tokio::test]
async fn orders_can_be_repeated() {
    let (engine, client) = engine_with_adapter(1).await;
    let model = AdapterVersion::parse(MODEL).expect("model");
    let epoch = Epoch::new(1);

    client
        .load(&model, "s", epoch)
        .await
        .expect("is there already");
    assert_eq!(
        client.inventory().await.expect("lists"),
        std::slice::from_ref(&model)
    );
    client.unload(&model, epoch).await.expect("unloads");
    client.unload(&model, epoch).await.expect("is gone already");

    assert_eq!(client.inventory().await.expect("lists"), []);
    assert_eq!(
        (engine.stats().count.loads, engine.stats().count.unloads),
        (1, 1)
    );
}

/// Guards against orders from a former owner: the engine rejects the older epoch.
#[tokio::test]
async fn old_epoch_is_fenced() {
    let (engine, client) = engine_with_adapter(1).await;
    let model = AdapterVersion::parse("b@1").expect("model");
    client
        .load(&model, "s", Epoch::new(7))
        .await
        .expect("loads");

    let error = client
        .unload(&model, Epoch::new(6))
        .await
        .expect_err("is fenced");

    assert!(
        matches!(error, chervilshunt_engine::EngineError::Fenced { .. }),
        "{error}"
    );
    assert_eq!(engine.stats().loaded.len(), 2);
}

/// Load reports and cache events are delayed, and correct once they arrive.
#[tokio::test]
async fn load_reports_are_delayed() {
    let (_engine, client) = engine_with_adapter(2).await;
    let answer = client
        .open(completion("r", 1_000_000, true))
        .await
        .expect("opens");
    assert_eq!(client.load_report().await.expect("reports").running, 0);
    assert_eq!(client.cache_events(0).await.expect("lists"), []);

    until(async || client.load_report().await.expect("reports").running > 0).await;
    let report = client.load_report().await.expect("reports");
    let prefix = chervilshunt_model::prefix_hash(MODEL, b"one two");
    let events = client.cache_events(0).await.expect("lists");
    drop(answer);

    assert_eq!((report.running, report.waiting), (1, 0));
    assert_eq!(report.running_adapters, [MODEL]);
    assert!(
        report
            .age
            .is_some_and(|age| age >= Duration::from_millis(200))
    );
    assert_eq!(
        events.iter().map(|event| event.prefix).collect::<Vec<_>>(),
        [prefix]
    );
    assert_eq!(
        client
            .cache_events(events[0].sequence)
            .await
            .expect("lists"),
        []
    );
}

/// Guards against answers that reach another call when many calls share one client.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_reach_their_own_calls() {
    let (engine, client) = engine_with_adapter(1).await;
    let calls = (0..60u32).map(|number| {
        let client = client.clone();
        tokio::spawn(async move {
            let id = format!("r{number}");
            let call = completion(&id, 2 + number % 7, number % 2 == 0);
            assert_eq!(call.expect, ExpectedAnswer::Model(MODEL.into()));
            let call = chervilshunt_engine::Call {
                limits: chervilshunt_engine::Limits {
                    head: LIMITS.head * 20,
                    ..LIMITS
                },
                ..call
            };
            let answer = client.open(call).await.expect("opens");
            let (text, summary) = read(answer).await.expect("whole");
            assert!(
                text.contains(&format!("request={id}\""))
                    || text.contains(&format!("request={id} "))
            );
            assert_eq!(summary.tokens(), 2 + number % 7);
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.expect("call");
    }
    assert_eq!(
        engine
            .all_runs()
            .all()
            .values()
            .map(|record| record.runs)
            .sum::<u32>(),
        60
    );
}

/// Guards against an empty response with a content length. The daemon buffers the first chunk
/// before it answers, and hyper then asks for the size hint. If the hint does not include the
/// buffered chunk, hyper writes no body.
#[tokio::test]
async fn size_hint_includes_buffered_chunk() {
    let target = start_plain(PlainStandinConfig::default())
        .await
        .expect("start");
    let client = EngineClient::new(target.address);

    let mut answer = client.open(plain("r", true)).await.expect("opens");
    answer.body.buffer_first_chunk().await.expect("first piece");
    let announced = http_body::Body::size_hint(&answer.body).exact();
    let body = answer.body.collect().await.expect("whole").to_bytes();

    assert!(!body.is_empty());
    assert_eq!(announced, Some(body.len() as u64));
}
