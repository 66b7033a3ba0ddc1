use bytes::Bytes;
use chervilshunt_engine::EventScanner;
use rstest::rstest;

use super::{EventBuffer, MAX_HELD_BYTES};

/// Pushes chunks of a stream and returns what is passed on after each.
fn push_all(buffer: &mut EventBuffer, chunks: &[&str]) -> Vec<String> {
    let mut scanner = EventScanner::default();
    let passed = chunks.iter().map(|chunk| {
        let outside = scanner.scan(chunk.as_bytes());
        let passed = buffer.push(Bytes::copy_from_slice(chunk.as_bytes()), outside);
        String::from_utf8(passed.unwrap_or_default().to_vec()).expect("text")
    });
    passed.collect()
}

/// Guards against partial events that are joined with those of another target, and against ids of
/// events that the caller does not have.
#[rstest]
#[case::whole_events(&["id: 1\n\nid: 2\n\n"], &["id: 1\n\nid: 2\n\n"], Some("2"))]
#[case::partial_event(&["id: 1\n\nid: 2\nda"], &["id: 1\n\n"], Some("1"))]
#[case::rest_of_event(&["id: 1\nda", "ta: x\n", "\nid: 2"], &["", "", "id: 1\ndata: x\n\n"], Some("1"))]
#[case::cr_only(&["id: 1\r\rid: 2\r"], &["id: 1\r\r"], Some("1"))]
#[case::lf_after_its_cr(&["id: 1\r\n\r", "\nid: 2"], &["id: 1\r\n\r", "\n"], Some("1"))]
#[case::comment_at_once(&["id: 1\n\n", ": c\n"], &["id: 1\n\n", ": c\n"], Some("1"))]
#[case::no_event(&[": c\n\nid: 1"], &[": c\n\n"], None)]
fn whole_events_are_passed_on(
    #[case] chunks: &[&str],
    #[case] expected: &[&str],
    #[case] last_id: Option<&str>,
) {
    let mut buffer = EventBuffer::default();
    assert_eq!(push_all(&mut buffer, chunks), expected);
    buffer.drop_partial();
    assert_eq!(buffer.last_id().as_deref(), last_id);
    assert!(buffer.can_resume());
}

/// Guards against events that come twice because the target that continues can't be told where to.
#[rstest]
#[case::events_without_ids(&["data: x\n\n"], false)]
#[case::an_id_after_them(&["data: x\n\n", "id: 1\n\n"], true)]
#[case::comments_only(&["\u{feff}: c\n\n", ": c\n"], true)]
#[case::an_id_after_a_byte_order_mark(&["\u{feff}id: 1\n\n"], true)]
#[case::a_partial_event(&["data: x"], true)]
fn a_stream_is_resumed_only_after_a_known_event(#[case] chunks: &[&str], #[case] expected: bool) {
    let mut buffer = EventBuffer::default();
    push_all(&mut buffer, chunks);
    buffer.drop_partial();
    assert_eq!(buffer.can_resume(), expected);
}

/// Guards against memory that grows with the length of an event.
#[test]
fn a_long_event_is_passed_on_in_parts_and_not_resumed() {
    let long = "x".repeat(MAX_HELD_BYTES);
    let mut buffer = EventBuffer::default();
    let passed = push_all(
        &mut buffer,
        &["id: 1\n\n", "data: ", &long, "\n\nid: 3\n\n"],
    );
    let expected = ["id: 1\n\n", "", &format!("data: {long}"), "\n\nid: 3\n\n"];
    assert_eq!(passed, expected);
    assert!(!buffer.can_resume());
}

/// Guards against a copy of each event on its way.
#[test]
fn chunks_of_whole_events_are_not_copied() {
    let chunk = Bytes::from_static(b"id: 1\n\nid: 2\n\n");
    let passed = EventBuffer::default().push(chunk.clone(), chunk.len());
    assert_eq!(passed.expect("whole events").as_ptr(), chunk.as_ptr());
}
