//! Compares the sizes of a permit round in different CBOR encodings.

use chervilshunt_core::{
    CompactAnswer, CompactRequest, Permit, PermitAnswer, PermitRequest, ReleaseOutcome,
    ReleasedPermit, RequestChecksum,
};
use chervilshunt_model::{AdapterVersion, AttemptId, Class, Epoch, TargetName};
use ciborium::{Value, cbor};
use serde::Serialize;

/// The TCP and IP overhead of a segment: two headers of 20 bytes and 12 bytes of timestamps.
const SEGMENT_BYTES: usize = 52;

/// The segments of a round on an otherwise idle connection: three messages, the acknowledgement of
/// the request, which is often part of the answer's segment, and that of the release.
const SEGMENTS: usize = 5;

/// The size of the frame header on a connection that has carried some thousand requests; see
/// `frame.rs`.
const REQUEST_HEAD_BYTES: usize = 3;
const ONE_WAY_HEAD_BYTES: usize = 1;

/// The size of the mask in WebSocket frames from the side that opened the connection.
const MASK_BYTES: usize = 4;

/// The name of a Kubernetes pod, and names like those in the specified deployments.
const ENTRY: &str = "chervilshunt-7d9f8b6c5-x2x4z";
const TARGET: &str = "regatta-lm-17";
const OTHER_TARGET: &str = "regatta-lm-03";
const ADAPTER: &str = "aarhus-sejlklub-handicap";
const VERSION: &str = "v12";
const CALLER: &str = "aarhus-sejlklub";
const ATTEMPT: u128 = u128::MAX / 3;
const PREFIX: u64 = u64::MAX / 3;

/// The messages of a permit round.
#[derive(Debug)]
struct Round {
    request: Value,
    answer: Value,
    release: Value,
}

/// Prints the size of a round in each encoding.
pub(crate) fn print() {
    println!("| encoding | request | answer | release | round | with TCP/IP |");
    println!("| --- | ---: | ---: | ---: | ---: | ---: |");
    let named = named();
    row("field names", &named);
    row("one-letter names", &named.map(one_letter));
    row("positions", &named.map(positions));
    row("in the compact form, as instances send it", &compact());
}

fn row(label: &str, round: &Round) {
    let request = framed(&round.request, REQUEST_HEAD_BYTES);
    let answer = framed(&round.answer, REQUEST_HEAD_BYTES);
    let release = framed(&round.release, ONE_WAY_HEAD_BYTES);
    let sum = request + answer + release;
    let with_tcp = sum + SEGMENTS * SEGMENT_BYTES;
    println!("| {label} | {request} | {answer} | {release} | {sum} | {with_tcp} |");
}

/// Returns the size with frame header and WebSocket frame; half of the mask is counted, as only one
/// of the two directions has it.
fn framed(message: &Value, head: usize) -> usize {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).expect("memory takes it");
    let payload = buf.len() + head;
    let length = if payload < 126 { 2 } else { 4 };
    payload + length + MASK_BYTES / 2
}

impl Round {
    fn map(&self, change: fn(&Value) -> Value) -> Self {
        Self {
            request: change(&self.request),
            answer: change(&self.answer),
            release: change(&self.release),
        }
    }
}

/// Shortens every key and variant to one letter.
fn one_letter(value: &Value) -> Value {
    match value {
        Value::Map(members) => Value::Map(
            members
                .iter()
                .map(|(key, value)| (Value::Text(first_letter(key)), one_letter(value)))
                .collect(),
        ),
        Value::Array(items) => Value::Array(items.iter().map(one_letter).collect()),
        other => other.clone(),
    }
}

/// Replaces maps by arrays of their values; only keys of variants are kept, as one letter.
fn positions(value: &Value) -> Value {
    match value {
        Value::Map(members) if is_variant(members) => one_letter_key(members),
        Value::Map(members) => {
            Value::Array(members.iter().map(|(_, value)| positions(value)).collect())
        }
        Value::Array(items) => Value::Array(items.iter().map(positions).collect()),
        other => other.clone(),
    }
}

fn one_letter_key(members: &[(Value, Value)]) -> Value {
    let shortened = members
        .iter()
        .map(|(key, value)| (Value::Text(first_letter(key)), positions(value)));
    Value::Map(shortened.collect())
}

fn is_variant(members: &[(Value, Value)]) -> bool {
    let capital = |key: &Value| key.as_text()?.chars().next().map(char::is_uppercase);
    members.len() == 1 && members.iter().all(|(key, _)| capital(key) == Some(true))
}

fn first_letter(key: &Value) -> String {
    key.as_text().unwrap_or_default().chars().take(1).collect()
}

fn named() -> Round {
    let attempt = Value::Bytes(ATTEMPT.to_be_bytes().to_vec());
    let model = cbor!({ "adapter" => ADAPTER, "version" => VERSION });
    let model = model.expect("it is CBOR");
    let request = cbor!({ "PermitAsked" => {
        "attempt" => attempt, "entry" => ENTRY, "target" => TARGET, "model" => model,
        "class" => "live", "weight" => 1, "caller" => CALLER, "deadline_ms" => 20_000,
        "prompt_tokens" => 700, "max_tokens" => 400, "prefix" => PREFIX, "hops" => 0,
    } });
    let answer = cbor!({ "PermitAnswered" => { "Granted" => {
        "permit" => {
            "attempt" => attempt, "entry" => ENTRY, "target" => TARGET, "model" => model,
            "class" => "live", "epoch" => 1_234, "window_ms" => 2_000,
        },
        "spread" => [TARGET, OTHER_TARGET],
    } } });
    let release = cbor!({ "PermitReleased" => {
        "attempt" => attempt, "target" => TARGET, "outcome" => { "Finished" => {
            "tokens" => 421, "first_byte_ms" => 350, "total_ms" => 14_500,
        } },
    } });
    Round {
        request: request.expect("it is CBOR"),
        answer: answer.expect("it is CBOR"),
        release: release.expect("it is CBOR"),
    }
}

/// Returns the round in the types that instances send.
fn compact() -> Round {
    let attempt = AttemptId::from_u128(ATTEMPT);
    let model = Some(AdapterVersion::new(ADAPTER, VERSION));
    let request = PermitRequest {
        attempt,
        entry: ENTRY.into(),
        target: TARGET.into(),
        model: model.clone(),
        class: Class::Live,
        weight: 1,
        caller: CALLER.into(),
        deadline_ms: 20_000,
        prompt_tokens: 700,
        max_tokens: 400,
        prefix: PREFIX,
        hops: 0,
        avoid: Default::default(),
    };
    let permit = Permit {
        attempt,
        entry: ENTRY.into(),
        target: TARGET.into(),
        model,
        class: Class::Live,
        epoch: Epoch::new(1_234),
        window_ms: 2_000,
    };
    let spread = [TARGET, OTHER_TARGET].map(TargetName::from);
    let answer = PermitAnswer::Granted {
        permit,
        spread: spread.into_iter().collect(),
    };
    let compact = CompactAnswer::of(answer, RequestChecksum::of_request(&request));
    let release = ReleasedPermit {
        attempt,
        target: TARGET.into(),
        outcome: ReleaseOutcome::Finished {
            tokens: 421,
            first_byte_ms: 350,
            total_ms: 14_500,
        },
    };
    Round {
        request: variant("p", &CompactRequest::of(&request)),
        answer: variant("a", &compact),
        release: variant("r", &release),
    }
}

/// Encodes a message as a variant of the enum that the daemon sends.
fn variant(name: &str, message: &impl Serialize) -> Value {
    let message = Value::serialized(message).expect("it is CBOR");
    Value::Map(vec![(Value::Text(name.to_owned()), message)])
}
