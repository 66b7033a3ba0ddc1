//! Answers of targets with neither a length nor chunks, and answers that are broken off.

mod support;

use std::net::SocketAddr;

use chervilshunt_standin::fleet::{FleetOptions, model_name, wait_until};
use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use support::http::{BOUND, Protocol, post, request, send};
use support::scripted::Scripted;
use support::serial::{ExclusiveFleet, run_exclusively};

const EVENTS: &str = "data: one\n\ndata: two\n\n";

fn options() -> FleetOptions {
    FleetOptions {
        instances: 2,
        engines: 2,
        plains: 1,
        adapters: 4,
        settings: json!({"limits": {"retry_budget_ratio": 1.0}}),
        ..FleetOptions::default()
    }
}

/// Guards against loads, questions and completions that fail because an answer has neither a length
/// nor chunks.
#[rstest]
fn answers_that_end_with_their_connection_are_ordinary(
    #[values(Protocol::Http1, Protocol::Http2)] speaks: Protocol,
    #[values(false, true)] stream: bool,
) {
    run_exclusively(options, async |test| {
        test.fault_engines(json!({"unframed": true})).await;
        test.fault("desk-1", json!({"unframed": true})).await;
        let to = test.fleet.instances()["i1"].callers();
        for number in 0..4 {
            let id = format!("unframed-{speaks:?}-{stream}-{number}");
            let headers = [("x-request-id", id.as_str())];
            let body = json!({
                "model": model_name(number), "prompt": "x", "max_tokens": 4, "stream": stream,
            });
            let req = post(to, "/v1/completions", &headers, &body.to_string());
            let answer = send(to, speaks, req).await;
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
            assert!(answer.whole && answer.text.contains("TOKEN_2"));
            assert_eq!(answer.text.ends_with("data: [DONE]\n\n"), stream);
            assert_eq!(test.runs(&id).await, 1);
        }
        let req = request("POST", to, "/services/desk/slips", &[], "two");
        let answer = send(to, speaks, req).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
        assert!(answer.whole && answer.json()["body"] == "two");
        test.wait_for_rows("show targets where reachable = true", 3)
            .await;
    });
}

/// Guards against streams that look complete because their engine ended inside an event, in order.
#[rstest]
fn a_stream_that_ends_inside_an_event_ends_with_an_error_event(
    #[values(Protocol::Http1, Protocol::Http2)] speaks: Protocol,
    #[values(false, true)] unframed: bool,
) {
    run_exclusively(options, async |test| {
        let faults = json!({"cut_after_tokens": 2, "cut_inside_event": true, "unframed": unframed});
        test.fault_engines(faults).await;
        let to = test.fleet.instances()["i1"].callers();
        let body = json!({
            "model": model_name(0), "prompt": "x", "max_tokens": 5, "stream": true,
        });
        let req = post(to, "/v1/completions", &[], &body.to_string());
        let answer = send(to, speaks, req).await;
        let (events, error) = answer
            .text
            .split_once("event: error\ndata: ")
            .expect("an error event");
        assert!(error.contains("cut_short"), "{error}");
        assert!(events.is_empty() || events.ends_with("\n\n"), "{events}");
        assert_eq!(events.matches("data: ").count(), 2);
    });
}

/// An answer as it looks to a caller of HTTP/1.1 or 1.0.
#[derive(Debug)]
struct RawAnswer {
    text: String,
    is_complete: bool,
}

/// Calls a service and closes the connection after the answer.
async fn raw_call(to: SocketAddr, version: &str, path: &str) -> RawAnswer {
    let mut stream = TcpStream::connect(to).await.expect("the port is open");
    let head = format!("GET {path} HTTP/{version}\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(BOUND, stream.read_to_end(&mut bytes)).await;
    let is_orderly = read.expect("an end in time").is_ok();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let head = text.split("\r\n\r\n").next().unwrap_or_default();
    let head = head.to_ascii_lowercase();
    let is_complete = if head.contains("transfer-encoding: chunked") {
        text.ends_with("\r\n0\r\n\r\n")
    } else {
        is_orderly
    };
    RawAnswer { text, is_complete }
}

async fn create(test: &ExclusiveFleet, service: &Scripted) {
    let statements = test.fleet.statements().expect("an instance is ready");
    let text = format!(
        "{{ create service scripted kind=plain priority=prompt; create target scripted \
         service=scripted address={} zone=zone-a site=hall \
         max_batch=8 }}",
        service.address,
    );
    let created = statements.run(&text).await;
    created.unwrap_or_else(|error| panic!("{error}"));
    let owned = || async {
        let rows = test.show("show targets where name = scripted").await;
        rows.first()?["owner"].as_str().map(drop)
    };
    let owned = wait_until(BOUND, owned).await;
    owned.expect("nobody owns the target");
}

async fn delete(test: &ExclusiveFleet) {
    let statements = test.fleet.statements().expect("an instance is ready");
    let deleted = statements.run("{ delete target scripted; delete service scripted }");
    deleted.await.unwrap_or_else(|error| panic!("{error}"));
}

fn head(content_type: &str, more: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n{more}\r\n")
}

/// Guards against answers of plain services that are broken off and look complete, and against whole
/// ones that are refused for their framing.
#[rstest]
fn an_answer_of_a_plain_service_is_as_complete_as_it_was(
    #[values("1.1", "1.0")] version: &str,
    #[values(
        ("text/event-stream", "", EVENTS, false, true),
        ("text/event-stream", "", "data: one\n\ndata: tw", false, false),
        ("text/event-stream", "Content-Length: 19\r\n", "data: one\n\ndata: tw", false, false),
        ("text/event-stream", "", EVENTS, true, false),
        ("application/json", "", "{\"a\": 1}", false, true),
        ("application/json", "", "{\"a\": 1}", true, false)
    )]
    script: (&str, &str, &str, bool, bool),
) {
    run_exclusively(options, async |test| {
        let (content_type, more, body, resets, is_complete) = script;
        let service = Scripted::start(head(content_type, more) + body, resets).await;
        create(&test, &service).await;
        let to = test.fleet.instances()["i1"].callers();
        let answer = raw_call(to, version, "/services/scripted/x").await;
        delete(&test).await;
        assert!(answer.text.contains("200 OK"), "{answer:?}");
        assert_eq!(answer.is_complete, is_complete, "{answer:?}");
        assert!(!is_complete || answer.text.contains(body), "{answer:?}");
    });
}
