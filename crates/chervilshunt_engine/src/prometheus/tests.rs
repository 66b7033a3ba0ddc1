//! Tests with valid and invalid lines of the Prometheus text format.

use rstest::rstest;

use super::samples;

#[rstest]
#[case::bare("up 1", Some(("up", 1.0, None)))]
#[case::colon_in_name("vllm:running{l=\"x\"} 3.0", Some(("vllm:running", 3.0, Some("x"))))]
#[case::comma_in_value("m{a=\"b\",l=\"a@1,b@2\"} 1.7962335544200854e+09",
    Some(("m", 1_796_233_554.420_085_4, Some("a@1,b@2"))))]
#[case::escapes(r#"m{l="q\"b\\n\n}"} 1"#, Some(("m", 1.0, Some("q\"b\\n\n}"))))]
#[case::empty_value("m{l=\"\"} 0", Some(("m", 0.0, Some(""))))]
#[case::trailing_comma("m{l=\"x\",} 2", Some(("m", 2.0, Some("x"))))]
#[case::no_labels_in_braces("m{} 2", Some(("m", 2.0, None)))]
#[case::timestamp("m 2 1700000000000", Some(("m", 2.0, None)))]
#[case::infinity("m +Inf", Some(("m", f64::INFINITY, None)))]
#[case::comment("# TYPE m gauge", None)]
#[case::no_value("m{l=\"x\"}", None)]
#[case::unclosed_label("m{l=\"x} 1", None)]
#[case::no_number("m one", None)]
fn line_is_read(#[case] line: &str, #[case] expected: Option<(&str, f64, Option<&str>)>) {
    let page = format!("# HELP m help\n{line}\n\n");
    let read = samples(&page);
    let read = read
        .first()
        .map(|sample| (sample.name, sample.value, sample.label("l")));
    assert_eq!(read, expected);
}
