//! Answers with neither a length nor chunks, which end with their connection.

mod common;

use chervilshunt_engine::{CacheEventKind, EngineClient, EngineError};
use chervilshunt_model::{AdapterVersion, Epoch};
use common::{MODEL, ScriptedTarget, Step, completion, event, plain, run, unframed};
use rstest::rstest;

const JSON: &str = "content-type: application/json\r\n";
const STREAM: &str = "content-type: text/event-stream\r\n";

async fn client_of(steps: Vec<Step>) -> EngineClient {
    let target = ScriptedTarget::start(steps).await;
    EngineClient::new(target.address)
}

fn answer(status: &str, headers: &str, body: &str) -> Step {
    Step::AnswerAndClose(unframed(status, headers, body))
}

fn stream(events: &[&str]) -> String {
    unframed("200 OK", STREAM, &events.concat())
}

/// Guards against whole answers that are refused for their framing, and against broken-off ones that
/// are taken for whole.
#[rstest]
#[case::stream(Step::AnswerAndClose(stream(&[&event(MODEL, "x"), "data: [DONE]\n\n"])), true)]
#[case::stream_inside_event(Step::AnswerAndClose(stream(&[&event(MODEL, "x"), "data: [DO"])), false)]
#[case::stream_inside_event_after_its_last(
    Step::AnswerAndClose(stream(&[&event(MODEL, "x"), "data: [DONE]\n\nda"])),
    false
)]
#[case::stream_without_its_last(Step::AnswerAndClose(stream(&[&event(MODEL, "x")])), false)]
#[case::stream_reset(
    Step::AnswerAndReset(stream(&[&event(MODEL, "x"), "data: [DONE]\n\n"])),
    false
)]
#[case::whole(answer("200 OK", JSON, r#"{"model":"a@1"}"#), true)]
#[case::whole_cut(answer("200 OK", JSON, r#"{"model":"a@"#), false)]
#[case::whole_reset(
    Step::AnswerAndReset(unframed("200 OK", JSON, r#"{"model":"a@1"}"#)),
    false
)]
#[tokio::test]
async fn completion_is_as_complete_as_it_was(#[case] step: Step, #[case] is_complete: bool) {
    let client = client_of(vec![step]).await;
    let result = run(&client, completion("r", 1, true)).await;
    assert_eq!(result.is_ok(), is_complete, "{result:?}");
}

/// The same of plain services, whose JSON is not read.
#[rstest]
#[case::text(answer("200 OK", "", "whole"), true)]
#[case::failure(answer("500 Internal Server Error", "", "failed"), true)]
#[case::no_body(answer("204 No Content", "", ""), true)]
#[case::reset(Step::AnswerAndReset(unframed("200 OK", "", "whole")), false)]
#[case::events(answer("200 OK", STREAM, "data: x\n\n"), true)]
#[case::events_and_comment(answer("200 OK", STREAM, "data: x\n\n: bye\n"), true)]
#[case::inside_event(answer("200 OK", STREAM, "data: x\n\ndata"), false)]
#[case::no_event(answer("200 OK", STREAM, ""), false)]
#[case::failure_of_that_type(answer("500 Internal Server Error", STREAM, "failed"), true)]
#[tokio::test]
async fn plain_answer_is_as_complete_as_it_was(#[case] step: Step, #[case] is_complete: bool) {
    let client = client_of(vec![step]).await;
    let result = run(&client, plain("r", false)).await;
    assert_eq!(result.is_ok(), is_complete, "{result:?}");
}

/// Guards against orders that count as failed although they were carried out.
#[tokio::test]
async fn orders_are_answered() {
    let refused = r#"{"message":"has already been loaded"}"#;
    let client = client_of(vec![
        answer("200 OK", "", "Success"),
        answer("400 Bad Request", JSON, refused),
        answer("200 OK", "", "Success"),
        answer("412 Precondition Failed", "", "old"),
    ])
    .await;
    let model = AdapterVersion::parse(MODEL).expect("a model");
    let epoch = Epoch::new(1);
    client.load(&model, "s", epoch).await.expect("loads");
    client.load(&model, "s", epoch).await.expect("is loaded");
    client.unload(&model, epoch).await.expect("unloads");
    let fenced = client.unload(&model, epoch).await;
    assert!(matches!(fenced, Err(EngineError::Fenced { .. })));
}

/// Guards against engines that count as unreachable because of the framing of their reports.
#[tokio::test]
async fn questions_are_answered() {
    let client = client_of(vec![
        answer("200 OK", JSON, r#"{"data":[{"id":"a@1","parent":"base"}]}"#),
        answer("200 OK", "", "vllm:num_requests_running 3\n"),
        answer(
            "200 OK",
            JSON,
            r#"{"events":[{"sequence":1,"kind":"stored","prefix":7}]}"#,
        ),
    ])
    .await;
    let held = client.inventory().await.expect("an inventory");
    assert_eq!(held, [AdapterVersion::parse(MODEL).expect("a model")]);
    assert_eq!(client.load_report().await.expect("a report").running, 3);
    let events = client.cache_events(0).await.expect("events");
    assert_eq!(events[0].kind, CacheEventKind::Stored);
}
