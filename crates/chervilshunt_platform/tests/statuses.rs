//! Tests of responses whose status is none.

mod support;

use chervilshunt_model::InstanceId;
use chervilshunt_platform::{CONFIG_HEADS, Object, Platform, PlatformConfig, PlatformError};
use rstest::rstest;
use slog::{Discard, Logger, o};
use support::{Spec, within};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Starts a service that gives each request a response with this status, and returns its client.
async fn platform(status: u16) -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4_096];
                drop(stream.read(&mut buf).await);
                let body = r#"{"metadata":{"name":"a","resourceVersion":"1"},"spec":{"value":1}}"#;
                let text = format!(
                    "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                drop(stream.write_all(text.as_bytes()).await);
            });
        }
    });
    let cfg = PlatformConfig::new(address, "test", InstanceId::from("i1"));
    Platform::new(cfg, Logger::root(Discard, o!()))
}

/// Guards against a write that counts as refused, so that it is forgotten, because its response has a status that
/// HTTP does not have.
#[rstest]
#[tokio::test]
async fn a_status_that_is_none_tells_nothing_of_a_write(#[values(101, 600, 999)] status: u16) {
    let platform = platform(status).await;
    let read = within(platform.get::<Spec>(CONFIG_HEADS, "a")).await;
    let read = read.expect_err("no response");
    assert!(matches!(read, PlatformError::Unavailable { .. }), "{read}");
    let object = Object::new("a", Spec { value: 1 });
    let written = within(platform.create(CONFIG_HEADS, &object)).await;
    let written = written.expect_err("no response");
    assert!(
        matches!(written, PlatformError::OutcomeUnknown { .. }),
        "{written}"
    );
}
