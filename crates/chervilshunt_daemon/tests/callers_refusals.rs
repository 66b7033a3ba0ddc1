//! Invalid requests: they are refused with a clear problem, and no target is called.

mod support;

use std::sync::Arc;
use std::time::Duration;

use chervilshunt_standin::fleet::{Fleet, FleetOptions};
use rstest::rstest;
use serde_json::{Value, json};

use support::http::{Protocol, ReceivedResponse, post, request, send};
use support::raw::RawConnection;
use support::shared;

/// The maximum request body size of the instance, in bytes.
const BODY_BYTES: usize = 4_096;

fn fleet() -> Arc<Fleet> {
    shared::fleet(|| FleetOptions {
        instances: 1,
        engines: 1,
        plains: 1,
        adapters: 2,
        settings: json!({"limits": {
            "body_bytes": BODY_BYTES,
            "header_bytes": 8_192,
            "header_timeout_ms": 400,
            "body_timeout_ms": 400,
        }}),
        ..FleetOptions::default()
    })
}

/// Fails the test if a target was called; no request of the tests in this file may reach one.
async fn assert_targets_untouched(fleet: &Fleet) {
    let engine = fleet.stats("engine-1").await.expect("the engine counts");
    assert_eq!(
        (&engine["completions"], &engine["load_orders"]),
        (&json!(0), &json!(0))
    );
    let plain = fleet.stats("desk-1").await.expect("the service counts");
    assert_eq!(plain["calls"], 0);
}

/// Checks the members of a problem document: those of RFC 9457 and those that this system adds.
fn assert_problem(answer: &ReceivedResponse, status: u16, reason: &str) -> Value {
    let document = answer.json();
    assert_eq!(answer.status, status, "{document}");
    assert_eq!(
        answer.header("content-type"),
        Some("application/problem+json")
    );
    assert_eq!(document["reason"], reason);
    assert_eq!(document["outcome"], "not_run");
    assert_eq!(document["status"], status);
    assert_eq!(document["type"], format!("/problems/{reason}"));
    assert_eq!(
        document["title"].as_str(),
        answer.status.canonical_reason(),
        "{document}"
    );
    let detail = document["detail"].as_str().expect("a detail");
    assert!(!detail.is_empty());
    assert_eq!(
        document["request_id"].as_str(),
        answer.header("x-request-id")
    );
    assert_eq!(answer.header("x-served-by"), Some("i1"));
    document
}

const COMPLETION: &str = r#"{"model":"adapter-0000@v1","prompt":"chairs","max_tokens":3}"#;

#[rstest]
#[case::no_such_path("GET", "/v2/completions", 404, "unknown_path")]
#[case::the_root("GET", "/", 404, "unknown_path")]
#[case::a_service_without_a_name("GET", "/services//status", 404, "unknown_path")]
#[case::a_completion_by_get("GET", "/v1/completions", 405, "bad_method")]
#[case::a_chat_by_put("PUT", "/v1/chat/completions", 405, "bad_method")]
#[case::no_such_service("POST", "/services/nobody/scores", 404, "unknown_service")]
#[case::an_engine_as_plain_service("POST", "/services/assistant/scores", 404, "unknown_service")]
fn a_wrong_path_or_method_is_refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
    #[case] reason: &str,
    #[values(Protocol::Http1, Protocol::Http2)] speaks: Protocol,
) {
    let fleet = fleet();
    shared::runtime().block_on(async {
        let to = fleet.instances()["i1"].callers();
        let answer = send(to, speaks, request(method, to, path, &[], COMPLETION)).await;
        assert_problem(&answer, status, reason);
        assert_targets_untouched(&fleet).await;
    });
}

#[rstest]
#[case::no_such_adapter(r#"{"model":"nobody@v1","prompt":"x"}"#, 404, "unknown_model")]
#[case::no_such_version(r#"{"model":"adapter-0000@v9","prompt":"x"}"#, 404, "unknown_model")]
#[case::an_adapter_without_version(r#"{"model":"adapter-0000","prompt":"x"}"#, 400, "bad_request")]
#[case::nothing("", 400, "bad_request")]
#[case::no_json("{\"model\":", 400, "bad_request")]
#[case::json_with_a_tail("{} {}", 400, "bad_request")]
#[case::no_object("[1]", 400, "bad_request")]
#[case::no_utf8_escape(r#"{"model":"\ud800","prompt":"x"}"#, 400, "bad_request")]
#[case::no_model(r#"{"prompt":"x"}"#, 400, "bad_request")]
#[case::model_is_a_number(r#"{"model":7,"prompt":"x"}"#, 400, "bad_request")]
#[case::stream_is_a_text(r#"{"model":"base","prompt":"x","stream":"yes"}"#, 400, "bad_request")]
#[case::max_tokens_is_a_text(
    r#"{"model":"base","prompt":"x","max_tokens":"9"}"#,
    400,
    "bad_request"
)]
#[case::max_tokens_is_zero(r#"{"model":"base","prompt":"x","max_tokens":0}"#, 400, "bad_request")]
#[case::max_tokens_is_negative(
    r#"{"model":"base","prompt":"x","max_tokens":-1}"#,
    400,
    "bad_request"
)]
#[case::max_tokens_is_huge(
    r#"{"model":"base","prompt":"x","max_tokens":4294967296}"#,
    400,
    "bad_request"
)]
#[case::no_prompt(r#"{"model":"base"}"#, 400, "bad_request")]
#[case::prompt_is_a_number(r#"{"model":"base","prompt":7}"#, 400, "bad_request")]
#[case::messages_is_an_object(r#"{"model":"base","messages":{}}"#, 400, "bad_request")]
fn a_wrong_body_is_refused(
    #[case] body: &str,
    #[case] status: u16,
    #[case] reason: &str,
    #[values("/v1/completions", "/v1/chat/completions")] path: &str,
) {
    let fleet = fleet();
    shared::runtime().block_on(async {
        let to = fleet.instances()["i1"].callers();
        let answer = send(to, Protocol::Http1, post(to, path, &[], body)).await;
        let document = assert_problem(&answer, status, reason);
        assert_eq!(answer.header("retry-after"), None, "{document}");
        assert_targets_untouched(&fleet).await;
    });
}

#[rstest]
#[case::key_without_quotes(&[("idempotency-key", "abc")])]
#[case::key_that_is_empty(&[("idempotency-key", "\"\"")])]
#[case::key_that_is_a_number(&[("idempotency-key", "7")])]
#[case::two_keys(&[("idempotency-key", "\"a\""), ("idempotency-key", "\"b\"")])]
#[case::wait_of_zero(&[("prefer", "wait=0")])]
#[case::wait_below_zero(&[("prefer", "wait=-5")])]
#[case::wait_that_is_a_fraction(&[("prefer", "wait=1.5")])]
#[case::wait_that_is_a_text(&[("prefer", "wait=soon")])]
#[case::wait_that_does_not_parse(&[("prefer", "wait=;5")])]
#[case::two_preferences_in_two_headers(&[("prefer", "wait=5"), ("prefer", "wait=6")])]
#[case::two_callers(&[("x-caller", "a"), ("x-caller", "b")])]
#[case::empty_caller(&[("x-caller", "")])]
fn a_wrong_header_is_refused(
    #[case] headers: &[(&str, &str)],
    #[values(Protocol::Http1, Protocol::Http2)] speaks: Protocol,
) {
    let fleet = fleet();
    shared::runtime().block_on(async {
        let to = fleet.instances()["i1"].callers();
        for path in ["/v1/completions", "/services/desk/scores"] {
            let answer = send(to, speaks, post(to, path, headers, COMPLETION)).await;
            assert_problem(&answer, 400, "bad_request");
        }
        assert_targets_untouched(&fleet).await;
    });
}

#[rstest]
fn a_body_over_the_limit_is_refused_whether_announced_or_not(
    #[values(Protocol::Http1, Protocol::Http2)] speaks: Protocol,
    #[values("/v1/completions", "/services/desk/scores")] path: &str,
) {
    let fleet = fleet();
    shared::runtime().block_on(async {
        let to = fleet.instances()["i1"].callers();
        let long = "x".repeat(BODY_BYTES + 1);
        let answer = send(to, speaks, post(to, path, &[], &long)).await;
        assert_problem(&answer, 413, "body_too_large");
        assert_targets_untouched(&fleet).await;
    });
}

// The caller sends an unbounded number of chunks without a length. The instance stops at its limit;
// without one, a single caller could exhaust its memory.
#[test]
fn a_chunked_body_over_the_limit_is_refused() {
    let fleet = fleet();
    shared::runtime().block_on(async {
        let mut raw = RawConnection::connect(fleet.instances()["i1"].callers()).await;
        raw.write(
            b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
              transfer-encoding: chunked\r\n\r\n",
        )
        .await;
        let chunk = format!("400\r\n{}\r\n", "x".repeat(0x400));
        for _ in 0..=BODY_BYTES / 0x400 {
            raw.write(chunk.as_bytes()).await;
        }
        let answer = raw.read_to_end().await;
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        assert!(answer.contains(r#""reason":"body_too_large""#), "{answer}");
        assert!(answer.contains(r#""outcome":"not_run""#), "{answer}");
        assert_targets_untouched(&fleet).await;
    });
}

// The caller announces a body and sends half of it. The instance refuses it after the configured
// time, or each such caller would hold an open request for ever.
#[test]
fn a_body_that_does_not_arrive_is_refused_in_time() {
    let fleet = fleet();
    shared::runtime().block_on(async {
        let mut raw = RawConnection::connect(fleet.instances()["i1"].callers()).await;
        raw.write(
            b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
              content-length: 100\r\n\r\n{\"model\":",
        )
        .await;
        let answer = raw.read_to_end().await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        assert!(answer.contains(r#""reason":"body_too_slow""#), "{answer}");
        assert!(answer.contains("\r\nretry-after: 1\r\n"), "{answer}");
        assert_targets_untouched(&fleet).await;
    });
}

// The caller sends a body with invalid chunk framing. No part of it may be used as a body.
#[test]
fn a_body_with_broken_chunks_is_refused() {
    let fleet = fleet();
    shared::runtime().block_on(async {
        let mut raw = RawConnection::connect(fleet.instances()["i1"].callers()).await;
        raw.write(
            b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
              transfer-encoding: chunked\r\n\r\nnot hexadecimal\r\n",
        )
        .await;
        let answer = raw.read_to_end().await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        assert!(answer.contains(r#""reason":"bad_request""#), "{answer}");
        assert_targets_untouched(&fleet).await;
    });
}

// hyper answers these itself, before there is a request with an id: the caller gets only the
// status, without a problem document. See docs/operators/callers.md.
#[rstest]
#[case::a_head_that_is_too_long(format!("x-long: {}\r\n", "x".repeat(20_000)), "431")]
#[case::too_many_headers("x-many: 1\r\n".repeat(200), "431")]
#[case::a_header_without_a_colon("no colon here\r\n".to_owned(), "400")]
#[case::two_lengths("content-length: 5\r\ncontent-length: 6\r\n".to_owned(), "400")]
fn a_malformed_head_is_refused_by_its_status(#[case] head: String, #[case] status: &str) {
    let fleet = fleet();
    shared::runtime().block_on(async {
        let mut raw = RawConnection::connect(fleet.instances()["i1"].callers()).await;
        let text = format!("POST /v1/completions HTTP/1.1\r\nhost: x\r\n{head}\r\n");
        raw.write(text.as_bytes()).await;
        let answer = raw.read_to_end().await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer}"
        );
        assert!(answer.ends_with("\r\n\r\n"), "{answer}");
        assert_targets_untouched(&fleet).await;
    });
}

// The caller sends part of a head and keeps the connection open. After the configured time the
// instance answers that nothing ran and closes the connection; without the answer, a caller on a
// slow connection could not distinguish that from a crash.
#[rstest]
#[case::the_start_of_a_method("PO")]
#[case::part_of_a_head("POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-slow: ")]
fn a_head_that_does_not_arrive_is_refused_in_time(#[case] head: &str) {
    let fleet = fleet();
    shared::runtime().block_on(async {
        let mut raw = RawConnection::connect(fleet.instances()["i1"].callers()).await;
        raw.write(head.as_bytes()).await;
        let answer = raw.read_to_end().await;
        assert!(
            answer.starts_with("HTTP/1.1 408 Request Timeout\r\n"),
            "{answer}"
        );
        assert!(answer.contains("\r\nretry-after: 1\r\n"), "{answer}");
        let (_, document) = answer.split_once("\r\n\r\n").expect("a whole head");
        let document: Value = serde_json::from_str(document).expect("a whole document");
        assert_eq!(document["reason"], "head_too_slow");
        assert_eq!(document["outcome"], "not_run");
        assert_targets_untouched(&fleet).await;
    });
}

// The caller sends part of a head, or nothing, and keeps the connection open. The instance closes
// the connection after the configured time, or such callers would exhaust its sockets.
#[rstest]
#[case::nothing("")]
#[case::the_start_of_a_method("PO")]
#[case::the_start_of_the_http2_preface("PRI * HT")]
#[case::part_of_a_head("POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-slow: ")]
#[case::the_http2_preface_alone("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")]
fn a_head_that_does_not_arrive_closes_the_connection(#[case] head: &str) {
    let fleet = fleet();
    shared::runtime().block_on(async {
        let mut raw = RawConnection::connect(fleet.instances()["i1"].callers()).await;
        raw.write(head.as_bytes()).await;
        let ended = raw.read_to_end_within(Duration::from_secs(10)).await;
        ended.expect("the connection is held open");
        assert_targets_untouched(&fleet).await;
    });
}
