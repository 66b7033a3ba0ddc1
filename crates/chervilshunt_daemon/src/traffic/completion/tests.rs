//! Parsing of completion bodies and the body that is sent to the engine.

use chervilshunt_model::Class;
use rstest::rstest;
use serde_json::{Value, json};

use super::Completion;

fn parse(body: &Value) -> Completion {
    Completion::parse(body.to_string().as_bytes()).unwrap()
}

#[rstest]
#[case::nothing(json!({}), 256)]
#[case::null(json!({"max_tokens": null}), 256)]
#[case::given(json!({"max_tokens": 7}), 7)]
#[case::the_newer_name(json!({"max_completion_tokens": 8}), 8)]
#[case::both_names(json!({"max_tokens": 7, "max_completion_tokens": 8}), 7)]
#[case::null_beside_the_newer_name(json!({"max_tokens": null, "max_completion_tokens": 8}), 8)]
fn max_tokens_has_a_default(#[case] mut body: Value, #[case] max_tokens: u32) {
    body["model"] = json!("a@v1");
    body["prompt"] = json!("x");
    assert_eq!(parse(&body).max_tokens, max_tokens);
}

#[rstest]
#[case::a_text(json!({"prompt": "twelve bytes"}), 3)]
#[case::an_empty_text(json!({"prompt": ""}), 0)]
#[case::texts(json!({"prompt": ["a", "b"]}), 3)]
#[case::tokens(json!({"prompt": [1, 2, 3, 4]}), 3)]
#[case::messages(json!({"messages": [{"role": "user", "content": "hi"}]}), 8)]
#[case::null_beside_a_prompt(json!({"messages": null, "prompt": "four"}), 1)]
#[case::messages_before_prompt(json!({"messages": [], "prompt": "far longer than that"}), 1)]
fn prompt_tokens_are_estimated(#[case] mut body: Value, #[case] tokens: u32) {
    body["model"] = json!("a@v1");
    assert_eq!(parse(&body).prompt_tokens, tokens);
}

#[test]
fn prompts_that_begin_alike_have_the_same_prefix() {
    let prompt = |start: &str, end: &str| {
        let text = format!("{}{end}", start.repeat(512));
        parse(&json!({"model": "a@v1", "prompt": text})).prefix
    };
    assert_eq!(
        prompt("x", "who has the sofa?"),
        prompt("x", "and the lamp?")
    );
    assert_ne!(
        prompt("x", "who has the sofa?"),
        prompt("y", "who has the sofa?")
    );
}

#[rstest]
#[case(Class::Live, 0)]
#[case(Class::Deferrable, 10)]
fn the_engine_gets_the_body_with_its_priority(#[case] class: Class, #[case] priority: u32) {
    let body = json!({
        "model": "a@v1", "prompt": "x", "stream": true, "priority": 99,
        "temperature": 0.5, "tools": [{"name": "slips"}], "seed": 18_446_744_073_709_551_615_u64,
    });
    let mut expected = body.clone();
    expected["priority"] = json!(priority);
    let sent: Value = serde_json::from_slice(&parse(&body).into_engine_body(class)).unwrap();
    assert_eq!(sent, expected);
}
