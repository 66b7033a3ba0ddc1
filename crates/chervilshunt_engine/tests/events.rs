//! Where a stream of events may end does not depend on how its bytes are split.

use chervilshunt_engine::EventScanner;
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::empty(b"", false, false)]
#[case::one_event(b"id: 1\ndata: x\n\n", false, true)]
#[case::without_blank_line(b"id: 1\ndata: x\n", true, false)]
#[case::inside_a_field(b"data: x\n\nda", true, true)]
#[case::cr(b"data: x\r\r", false, true)]
#[case::crlf(b"data: x\r\n\r\n", false, true)]
#[case::crlf_before_its_lf(b"data: x\r\n\r", false, true)]
#[case::crlf_inside(b"data: x\r\n", true, false)]
#[case::mixed_line_ends(b"data: x\n\r\n", false, true)]
#[case::lf_after_blank_cr_belongs_to_it(b"data: x\r\r\ndata: y", true, true)]
#[case::comment_after_event(b"data: x\n\n: keep-alive\n", false, true)]
#[case::inside_a_comment(b"data: x\n\n: keep-al", true, true)]
#[case::comment_inside_event(b"data: x\n: keep-alive\n", true, false)]
#[case::comments_only(b": keep-alive\n\n", false, false)]
#[case::byte_order_mark(b"\xef\xbb\xbfdata: x\n\n", false, true)]
#[case::byte_order_mark_only(b"\xef\xbb\xbf", false, false)]
#[case::inside_byte_order_mark(b"\xef\xbb", true, false)]
#[case::byte_order_mark_before_comment(b"\xef\xbb\xbf: c\n", false, false)]
#[case::many_data_lines(b"data: x\ndata: y\ndata\n\n", false, true)]
#[case::further_blank_lines(b"data: x\n\n\n\r\n", false, true)]
fn end_of_stream(#[case] text: &[u8], #[case] is_inside: bool, #[case] has_events: bool) {
    let mut scanner = EventScanner::default();
    let outside = scanner.scan(text);
    assert_eq!(scanner.is_inside_event(), is_inside);
    assert_eq!(scanner.has_events(), has_events);
    assert_eq!(outside == text.len(), !is_inside);
}

/// Returns whether a stream is inside an event, from its lines as a whole.
fn is_inside_event(text: &[u8]) -> bool {
    if [&b"\xef"[..], b"\xef\xbb"].contains(&text) {
        return true;
    }
    let text = text.strip_prefix(b"\xef\xbb\xbf").unwrap_or(text);
    let text = String::from_utf8_lossy(text).replace("\r\n", "\n");
    let text = text.replace('\r', "\n");
    let mut lines: Vec<&str> = text.split('\n').collect();
    let unfinished = lines.pop().unwrap_or_default();
    let of_last_event = lines.iter().rev().take_while(|line| !line.is_empty());
    !unfinished.is_empty() || of_last_event.into_iter().any(|line| !line.starts_with(':'))
}

/// Returns a piece of a stream; pieces in any order make streams with all line ends.
fn piece() -> impl Strategy<Value = &'static [u8]> {
    prop::sample::select(vec![
        &b"\xef\xbb\xbf"[..],
        b"\xef",
        b"\xbb",
        b"\n",
        b"\r",
        b"\r\n",
        b"\n\n",
        b"data: x",
        b"id: 7",
        b": c",
        b"d",
        b":",
        b" ",
    ])
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against ends of streams that are judged by how the network has split them.
    #[test]
    fn splits_make_no_difference(
        pieces in prop::collection::vec(piece(), 0..24),
        splits in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let text = pieces.concat();
        let mut places: Vec<usize> = splits.iter().map(|it| it.index(text.len() + 1)).collect();
        places.extend([0, text.len()]);
        places.sort_unstable();
        let mut scanner = EventScanner::default();
        let mut outside = 0;
        for pair in places.windows(2) {
            let scanned = scanner.scan(&text[pair[0]..pair[1]]);
            if scanned > 0 {
                outside = pair[0] + scanned;
            }
            prop_assert_eq!(scanner.is_inside_event(), is_inside_event(&text[..pair[1]]));
        }
        // Nothing after the position that the scanner returned ends outside an event, except that
        // the LF of a CRLF still belongs to what precedes it.
        for end in outside + 1..=text.len() {
            prop_assert!(is_inside_event(&text[..end]), "at {end} of {text:?}");
        }
        prop_assert!(outside == 0 || !is_inside_event(&text[..outside]));
    }
}
