//! Answers of targets that are broken off.

mod support;

use std::net::SocketAddr;

use chervilshunt_standin::fleet::{FleetOptions, wait_until};
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use support::http::BOUND;
use support::scripted::Scripted;
use support::serial::{ExclusiveFleet, run_exclusively};

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
    #[values(("text/event-stream", "Content-Length: 19\r\n", "data: one\n\ndata: tw", false, false))]
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
