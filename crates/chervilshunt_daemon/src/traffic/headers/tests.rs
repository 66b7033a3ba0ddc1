//! Valid and invalid values of each documented header.

use std::time::Duration;

use chervilshunt_model::Class::{Deferrable, Live};
use chervilshunt_model::{Class, RequestId};
use http::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;

use super::{RequestHeaders, request_id};

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let pair = |(name, value): &(&str, &str)| {
        let name: HeaderName = name.parse().unwrap();
        (name, HeaderValue::from_bytes(value.as_bytes()).unwrap())
    };
    pairs
        .iter()
        .map(pair)
        .fold(HeaderMap::new(), |mut map, (name, value)| {
            map.append(name, value);
            map
        })
}

fn read(pairs: &[(&str, &str)]) -> Result<RequestHeaders, String> {
    let read = RequestHeaders::read(&headers(pairs), RequestId::new("r"));
    read.map_err(|problem| problem.detail)
}

#[test]
fn without_headers_the_service_settings_apply() {
    let read = read(&[]).unwrap();
    assert_eq!(
        (read.caller, read.class, read.deadline, read.key),
        (None, None, None, None)
    );
}

// RFC 9218: the urgency is 0 to 7, other members and parameters are allowed, and malformed values
// are ignored rather than refused.
#[rstest]
#[case("u=0", Some(Live))]
#[case("u=4", Some(Live))]
#[case("u=5", Some(Deferrable))]
#[case("u=7", Some(Deferrable))]
#[case("u=8", None)]
#[case("u=-1", None)]
#[case("u=3.5", None)]
#[case("u=\"3\"", None)]
#[case("u", None)]
#[case("i", None)]
#[case("i, u=6", Some(Deferrable))]
#[case("u=6;extra=1", Some(Deferrable))]
#[case("u=1, u=6", Some(Deferrable))]
#[case("", None)]
#[case("!!", None)]
fn urgency_gives_the_class(#[case] value: &str, #[case] class: Option<Class>) {
    assert_eq!(read(&[("priority", value)]).unwrap().class, class);
}

#[rstest]
#[case("wait=1", Some(1))]
#[case("wait=3600", Some(3_600))]
#[case("respond-async, wait=10", Some(10))]
#[case("handling=lenient", None)]
#[case("return=minimal; foo=\"bar\"", None)]
#[case("Not=Structured!", None)]
fn prefer_gives_the_deadline(#[case] value: &str, #[case] seconds: Option<u64>) {
    let deadline = read(&[("prefer", value)]).unwrap().deadline;
    assert_eq!(deadline, seconds.map(Duration::from_secs));
}

#[rstest]
#[case("wait=0")]
#[case("wait=-1")]
#[case("wait=1.5")]
#[case("wait=\"10\"")]
#[case("wait=(1 2)")]
#[case("wait")]
#[case("wait=99999999999999999999")]
#[case("wait=,")]
fn a_malformed_deadline_is_refused(#[case] value: &str) {
    let detail = read(&[("prefer", value)]).unwrap_err();
    assert!(detail.contains("Prefer: wait=SECONDS"), "{detail}");
}

#[rstest]
#[case("\"boat-7\"", "boat-7")]
#[case("\"a b\"", "a b")]
#[case("\"with \\\"quotes\\\"\"", "with \"quotes\"")]
#[case(
    "\"8e03978e-40d5-43e8-bc93-6894a57f9324\"; foo=1",
    "8e03978e-40d5-43e8-bc93-6894a57f9324"
)]
fn a_key_is_a_quoted_string(#[case] value: &str, #[case] key: &str) {
    assert_eq!(
        read(&[("idempotency-key", value)]).unwrap().key.as_deref(),
        Some(key)
    );
}

#[rstest]
#[case("boat-7")]
#[case("\"\"")]
#[case("\"open")]
#[case("7")]
#[case("(\"a\")")]
#[case("\"a\", \"b\"")]
fn a_malformed_key_is_refused(#[case] value: &str) {
    let detail = read(&[("idempotency-key", value)]).unwrap_err();
    assert!(detail.contains("in quotes"), "{detail}");
}

#[rstest]
#[case("x-caller")]
#[case("prefer")]
#[case("idempotency-key")]
fn a_repeated_long_or_unprintable_header_is_refused(#[case] name: &str) {
    let long = "x".repeat(257);
    for pairs in [
        &[(name, "\"a\""), (name, "\"a\"")][..],
        &[(name, "")],
        &[(name, long.as_str())],
        &[(name, "k\u{f8}lvand")],
    ] {
        let detail = read(pairs).unwrap_err();
        assert!(detail.contains(name), "{detail}");
    }
}

#[test]
fn an_invalid_request_id_is_replaced() {
    let given = request_id(&headers(&[("x-request-id", "slip-7")]));
    assert_eq!(given.as_str(), "slip-7");
    let long = "x".repeat(257);
    for unusable in ["", long.as_str(), "k\u{f8}lvand"] {
        let made = request_id(&headers(&[("x-request-id", unusable)]));
        assert_eq!(made.as_str().len(), 32);
    }
    let two = [("x-request-id", "a"), ("x-request-id", "b")];
    assert_ne!(request_id(&headers(&two)).as_str(), "a");
}
