//! The result of the scanner does not depend on how the bytes of a stream are split.

use chervilshunt_engine::{EngineError, SseScanner, Usage};
use proptest::prelude::*;
use rstest::rstest;

const MODEL: &str = "a@1";

/// The result of scanning a complete stream.
#[derive(Debug, PartialEq, Eq)]
struct Verdict {
    /// The text of the valid events.
    passed: String,
    failure: Option<String>,
    done: bool,
    events: u32,
    usage: Option<Usage>,
}

fn scan(chunks: &[&[u8]]) -> Verdict {
    let mut scanner = SseScanner::new(MODEL.into());
    let mut all = Vec::new();
    let mut passed = 0;
    let mut failure = None;
    for chunk in chunks {
        let start = all.len();
        all.extend_from_slice(chunk);
        let scanned = scanner.scan(chunk);
        assert!(scanned.valid_bytes <= chunk.len());
        if scanned.valid_bytes > 0 {
            passed = start + scanned.valid_bytes;
        }
        if let Some(error) = scanned.failure {
            failure = Some(name(&error));
            break;
        }
    }
    Verdict {
        passed: String::from_utf8_lossy(&all[..passed]).into_owned(),
        failure,
        done: scanner.is_done(),
        events: scanner.events(),
        usage: scanner.usage(),
    }
}

fn name(error: &EngineError) -> String {
    match error {
        EngineError::WrongModel { served, .. } => format!("served by {served}"),
        EngineError::FailedMidway { message } => format!("failed: {message}"),
        EngineError::Malformed { .. } => "malformed".to_owned(),
        other => format!("unexpected: {other}"),
    }
}

/// Splits `text` at the given positions, taken modulo its length plus one.
fn split<'a>(text: &'a [u8], places: &[usize]) -> Vec<&'a [u8]> {
    let mut places: Vec<usize> = places
        .iter()
        .map(|place| place % (text.len() + 1))
        .collect();
    places.sort_unstable();
    let mut chunks = Vec::new();
    let mut start = 0;
    for place in places {
        chunks.push(&text[start..place]);
        start = place;
    }
    chunks.push(&text[start..]);
    chunks
}

/// Generates JSON values that a completion chunk can contain, including nested keys that equal the
/// scanned ones.
fn value() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(Into::into),
        (0u32..5000).prop_map(Into::into),
        "[a-z \\\\\"{}:,\\[\\]\u{e9}\n]{0,12}".prop_map(Into::into),
        Just("\"model\":\"b@1\"".into()),
    ];
    leaf.prop_recursive(3, 12, 4, |inner| {
        let key = prop_oneof![
            Just("model".to_owned()),
            Just("usage".to_owned()),
            Just("error".to_owned()),
            Just("completion_tokens".to_owned()),
            "[a-z\"\\\\]{1,6}".prop_map(String::from),
        ];
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Into::into),
            prop::collection::vec((key, inner), 0..4)
                .prop_map(|members| serde_json::Value::Object(members.into_iter().collect())),
        ]
    })
}

/// Generates completion chunks with a right, wrong or missing model, and optional usage and error.
fn chunk() -> impl Strategy<Value = serde_json::Value> {
    let model = prop_oneof![
        8 => Just(Some(MODEL.to_owned())),
        1 => Just(Some("b@1".to_owned())),
        1 => Just(Some("a@1 ".to_owned())),
        1 => Just(None),
    ];
    let usage = prop::option::of((0u32..9999, 0u32..9999));
    let error = prop_oneof![
        9 => Just(None),
        1 => Just(Some(serde_json::json!({"message": "out of \"memory\"", "code": 500}))),
        1 => Just(Some(serde_json::Value::Null)),
        1 => Just(Some("text".into())),
    ];
    let others = prop::collection::vec(("[b-d]{1,3}|choices|a", value()), 0..4);
    (model, usage, error, others).prop_map(|(model, usage, error, others)| {
        let mut object: serde_json::Map<_, _> = others.into_iter().collect();
        if let Some(model) = model {
            object.insert("model".to_owned(), model.into());
        }
        if let Some((prompt, completion)) = usage {
            let usage = serde_json::json!({
                "prompt_tokens": prompt, "completion_tokens": completion,
                "details": {"completion_tokens": 1},
            });
            object.insert("usage".to_owned(), usage);
        }
        if let Some(error) = error {
            object.insert("error".to_owned(), error);
        }
        object.into()
    })
}

/// Returns the expected verdict on complete events, from a parser that reads each one as a whole.
fn oracle(chunks: &[serde_json::Value], ending: &str, done: bool) -> Verdict {
    let mut verdict = Verdict {
        passed: String::new(),
        failure: None,
        done: false,
        events: 0,
        usage: None,
    };
    for chunk in chunks {
        let has_error = chunk.get("error").is_some_and(|error| !error.is_null());
        let message = chunk
            .pointer("/error/message")
            .and_then(serde_json::Value::as_str);
        let model = chunk.get("model").and_then(serde_json::Value::as_str);
        verdict.failure = match model {
            _ if has_error => Some(format!("failed: {}", message.unwrap_or_default())),
            Some(MODEL) => None,
            Some(served) => Some(format!("served by {served}")),
            None => Some("malformed".to_owned()),
        };
        if verdict.failure.is_some() {
            return verdict;
        }
        let number = |name: &str| chunk.pointer(name)?.as_u64()?.try_into().ok();
        if let Some(completion_tokens) = number("/usage/completion_tokens") {
            let prompt_tokens = number("/usage/prompt_tokens").unwrap_or_default();
            verdict.usage = Some(Usage {
                prompt_tokens,
                completion_tokens,
            });
        }
        verdict.events += 1;
        verdict.passed += &format!("data: {chunk}{ending}{ending}");
    }
    if done {
        verdict.passed += &format!("data: [DONE]{ending}{ending}");
        verdict.done = true;
    }
    verdict
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn verdict_is_the_oracles_however_the_bytes_are_split(
        chunks in prop::collection::vec(chunk(), 0..6),
        ending in prop::sample::select(vec!["\n", "\r\n", "\r"]),
        done in any::<bool>(),
        places in prop::collection::vec(any::<usize>(), 0..24),
    ) {
        let mut text: String =
            chunks.iter().map(|chunk| format!("data: {chunk}{ending}{ending}")).collect();
        if done {
            text += &format!("data: [DONE]{ending}{ending}");
        }
        let expected = oracle(&chunks, ending, done);

        let whole = scan(&[text.as_bytes()]);
        let in_chunks = scan(&split(text.as_bytes(), &places));
        let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
        let single = scan(&bytes);

        prop_assert_eq!(&whole, &expected);
        prop_assert_eq!(&in_chunks, &expected);
        prop_assert_eq!(&single, &expected);
    }

    #[test]
    fn any_bytes_give_one_verdict_however_they_are_split(
        text in prop::collection::vec(
            prop::sample::select(b"data: {}[]\"\\model,usage:1\n\r DONE@".to_vec()), 0..120,
        ),
        places in prop::collection::vec(any::<usize>(), 0..24),
    ) {
        let whole = scan(&[&text]);
        let in_chunks = scan(&split(&text, &places));
        prop_assert_eq!(whole, in_chunks);
    }
}

#[rstest]
#[case::escaped_model_name("data: {\"model\":\"\\u0061@1\"}\n\n", None, 1)]
#[case::escaped_key("data: {\"m\\u006fdel\":\"b@1\"}\n\n", Some("served by b@1"), 0)]
#[case::second_model_wrong(
    "data: {\"model\":\"a@1\",\"model\":\"b@1\"}\n\n",
    Some("served by b@1"),
    0
)]
#[case::first_model_wrong(
    "data: {\"model\":\"b@1\",\"model\":\"a@1\"}\n\n",
    Some("served by b@1"),
    0
)]
#[case::model_no_text("data: {\"model\":7}\n\n", Some("malformed"), 0)]
#[case::comment_and_fields(": ping\n\nid: 3\nevent: x\ndata:{\"model\":\"a@1\"}\n\n", None, 1)]
#[case::two_data_lines("data: {\"model\":\ndata: \"a@1\"}\n\n", None, 1)]
#[case::two_objects("data: {\"model\":\"a@1\"}{}\n\n", Some("malformed"), 0)]
#[case::not_json("data: hello\n\n", Some("malformed"), 0)]
#[case::no_whole_object("data: {\"model\":\"a@1\"\n\n", Some("malformed"), 0)]
#[case::event_after_done("data: [DONE]\n\ndata: {\"model\":\"a@1\"}\n\n", Some("malformed"), 0)]
#[case::almost_done("data: [DONE\n\n", Some("malformed"), 0)]
#[case::unfinished_event("data: {\"model\":\"b@1\"}\n", None, 0)]
fn scanner_verdict(#[case] text: &str, #[case] failure: Option<&str>, #[case] events: u32) {
    let verdict = scan(&[text.as_bytes()]);
    assert_eq!(
        (verdict.failure.as_deref(), verdict.events),
        (failure, events)
    );
}

#[test]
fn unfinished_event_is_not_valid() {
    let text = "data: {\"model\":\"a@1\"}\n\ndata: {\"model\":\"a@1\"}\n";
    assert_eq!(
        scan(&[text.as_bytes()]).passed,
        "data: {\"model\":\"a@1\"}\n\n"
    );
}
