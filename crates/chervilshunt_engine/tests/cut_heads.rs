//! Answers that end in the middle of their head.

mod common;

use chervilshunt_engine::EngineClient;
use chervilshunt_model::{AdapterVersion, Epoch};
use common::{MODEL, ScriptedTarget, Step, completion, plain, run};
use rstest::rstest;

const JSON: &str = r#"{"model":"a@1"}"#;

/// Returns an answer whose head has the given framing.
fn answer(framing: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n{framing}\r\n{JSON}")
}

/// Guards against a call that counts as answered by the start of a head.
#[rstest]
#[case::length(answer("content-length: 15\r\n"))]
#[case::no_length(answer(""))]
#[case::bare_line_feeds(answer("content-length: 15\r\n").replace("\r\n", "\n"))]
#[case::after_continue(format!("HTTP/1.1 100 Continue\r\n\r\n{}", answer("content-length: 15\r\n")))]
#[case::version_1_0(answer("").replace("HTTP/1.1", "HTTP/1.0"))]
#[tokio::test]
async fn a_cut_head_answers_no_call(
    #[case] answer: String,
    #[values(false, true)] is_second: bool,
) {
    let head = answer.len() - JSON.len();
    for sent in 0..head {
        let start = answer[..sent].to_owned();
        let cut = if sent % 2 == 0 {
            Step::AnswerAndClose(start)
        } else {
            Step::AnswerAndReset(start)
        };
        for call in ["engine", "plain", "unload", "inventory", "report"] {
            let whole = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";
            let mut steps = vec![cut.clone(); 2];
            if is_second {
                steps.insert(0, Step::Answer(whole.to_owned()));
            }
            let target = ScriptedTarget::start(steps).await;
            let client = EngineClient::new(target.address);
            if is_second {
                run(&client, plain("first", true)).await.expect("an answer");
            }
            let is_answered = match call {
                "engine" => run(&client, completion("r", 1, false)).await.is_ok(),
                "plain" => run(&client, plain("r", true)).await.is_ok(),
                "unload" => client
                    .unload(
                        &AdapterVersion::parse(MODEL).expect("a model"),
                        Epoch::new(1),
                    )
                    .await
                    .is_ok(),
                "inventory" => client.inventory().await.is_ok(),
                _ => client.load_report().await.is_ok(),
            };
            assert!(
                !is_answered,
                "{call} after {sent} of {head} bytes of the head"
            );
        }
    }
}
