//! Tests parsing labels of Prometheus counters and computing their increase.

use rstest::rstest;

use super::{Counters, increase, label};

#[rstest]
#[case::first(r#"m{purpose="permits",direction="out"}"#, "purpose", Some("permits"))]
#[case::second(r#"m{purpose="permits",direction="out"}"#, "direction", Some("out"))]
#[case::absent(r#"m{purpose="permits"}"#, "direction", None)]
#[case::no_labels("m", "purpose", None)]
fn labels_are_found(#[case] name: &str, #[case] wanted: &str, #[case] value: Option<&str>) {
    assert_eq!(label(name, wanted), value);
}

#[test]
fn a_new_counter_increases_from_zero() {
    let before = Counters::from([("a".to_owned(), 3.0)]);
    let after = Counters::from([("a".to_owned(), 5.0), ("b".to_owned(), 7.0)]);
    let wanted = Counters::from([("a".to_owned(), 2.0), ("b".to_owned(), 7.0)]);
    assert_eq!(increase(&before, &after), wanted);
}
