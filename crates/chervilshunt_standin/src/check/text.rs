//! Compares the text of a completion with the text that the engine stand-in must have produced.

use super::CompletionCall;
use super::verdict::{Violation, ViolationKind};

/// Prefixes of the words in which the stand-in states the model and the request that it served.
const SERVED: &str = "served=";
const REQUEST: &str = "request=";

/// Length to which a wrong text is truncated in reports, in characters.
const SHOWN_CHARS: usize = 80;

/// Returns the expected text of a completion.
pub(crate) fn expected_text(call: &CompletionCall, request_id: &str) -> String {
    let mut text = format!("{SERVED}{} {REQUEST}{request_id}", call.model);
    for token in 0..call.max_tokens.saturating_sub(1) {
        text.push_str(&format!(" TOKEN_{token}"));
    }
    text
}

/// Checks the text of a completion.
///
/// # Errors
/// Returns the violation if the text differs from the expected one.
pub(crate) fn check_text(
    call: &CompletionCall,
    request_id: &str,
    text: &str,
) -> Result<(), Violation> {
    if text == expected_text(call, request_id) {
        return Ok(());
    }
    let kind = if words_after(text, SERVED).any(|model| model != &*call.model) {
        ViolationKind::WrongModel
    } else if words_after(text, REQUEST).any(|request| request != request_id) {
        ViolationKind::WrongRequest
    } else {
        ViolationKind::WrongTokens
    };
    let shown: String = text.chars().take(SHOWN_CHARS).collect();
    let words = text.split_whitespace().count();
    let wanted = call.max_tokens + 1;
    let detail = format!(
        "expected {wanted} words from {}, got {words}: {shown}…",
        call.model
    );
    Err(Violation::new(kind, detail))
}

fn words_after<'a>(text: &'a str, mark: &'a str) -> impl Iterator<Item = &'a str> {
    text.split_whitespace()
        .filter_map(move |word| word.strip_prefix(mark))
}
