//! Tests of status lines that are none.

mod common;

use chervilshunt_engine::{EngineClient, Outcome};
use common::{ScriptedTarget, Step, completion, plain, run};
use rstest::rstest;

/// Guards against bytes that are no answer and count as one because their head can be parsed: HTTP has no statuses
/// beyond 599, and nobody asked for another protocol.
#[rstest]
#[tokio::test]
async fn a_status_that_is_none_answers_no_call(
    #[values(
        "HTTP/1.1 000 X",
        "HTTP/1.1 001 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 101 X",
        "HTTP/1.1 600 X",
        "HTTP/1.1 999 X",
        "HTTP/1.1 20 X",
        "HTTP/1.1 2000 X",
        "HTTP/1.1 +20 X",
        "HTTP/1.1  200 X",
        "HTTP/1.1 abc X",
        "HTTP/1.2 200 X",
        "HTTP/2.0 200 X",
        "ICY 200 X"
    )]
    line: &str,
    #[values(
        "content-length: 2\r\n\r\n{}",
        "transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "retry-after: 1\r\ncontent-length: 0\r\n\r\n",
        "\r\n{}"
    )]
    rest: &str,
) {
    let text = format!("{line}\r\ncontent-type: application/json\r\n{rest}");
    for call in [
        plain("r1", false),
        plain("r1", true),
        completion("r1", 2, true),
    ] {
        let target = ScriptedTarget::start(vec![Step::AnswerAndClose(text.clone())]).await;
        let client = EngineClient::new(target.address);
        let error = run(&client, call).await.expect_err("no answer");
        assert_eq!(error.outcome(), Outcome::Unknown, "{error}");
    }
}
