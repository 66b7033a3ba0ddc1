//! Errors in a script, as data and rendered for a terminal.

use std::fmt::Write as _;
use std::ops::Range;

use serde::{Deserialize, Serialize};

/// One error in a script.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryError {
    /// The line number, starting at 1.
    pub line: usize,
    /// The column in characters, starting at 1.
    pub column: usize,
    /// The length of the marked range in characters; 0 at the end of the text, line or statement.
    pub length: usize,
    /// What was found at this position.
    pub found: String,
    /// What is allowed at this position; empty if there is no list of alternatives.
    pub expected: Vec<String>,
    /// An explanation or advice, if there is any.
    pub hint: Option<String>,
}

impl QueryError {
    pub(crate) fn at(
        text: &str,
        span: Range<usize>,
        expected: Vec<String>,
        hint: Option<String>,
    ) -> Self {
        let before = text.get(..span.start).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        let after = text.get(span.start..).unwrap_or_default();
        let marked = text.get(span).unwrap_or_default();
        let marked = marked.lines().next().unwrap_or_default();
        let found = if !marked.is_empty() {
            marked
        } else if after.trim().is_empty() {
            "the end of the text"
        } else if after.starts_with(['\n', '\r']) {
            "the end of the line"
        } else {
            "the end of the statement"
        };
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            length: marked.chars().count(),
            found: found.to_owned(),
            expected,
            hint,
        }
    }
}

/// Renders errors, each with its line of the text and carets below the marked range.
///
/// `origin` names the source of the text, such as a file or `command line`.
pub fn render_errors(text: &str, origin: &str, errors: &[QueryError]) -> String {
    let shown: Vec<_> = errors
        .iter()
        .map(|error| render_one(text, origin, error))
        .collect();
    shown.join("\n")
}

fn render_one(text: &str, origin: &str, error: &QueryError) -> String {
    let line = text.lines().nth(error.line - 1).unwrap_or_default();
    // Tabs are kept so that the carets align with the line above at any tab width.
    let indent: String = line
        .chars()
        .take(error.column - 1)
        .map(|c| if c == '\t' { '\t' } else { ' ' })
        .collect();
    let number = error.line.to_string();
    let margin = " ".repeat(number.len());
    let carets = "^".repeat(error.length.max(1));
    let mut shown = format!(
        "{origin}:{}:{}: found {}, expected {}\n{margin} |\n{number} | {line}\n{margin} | \
         {indent}{carets}\n",
        error.line,
        error.column,
        error.found,
        join_alternatives(&error.expected),
    );
    if let Some(hint) = &error.hint {
        let _ = writeln!(shown, "{margin} = {hint}");
    }
    shown
}

fn join_alternatives(expected: &[String]) -> String {
    match expected {
        [] => "something else".to_owned(),
        [one] => one.clone(),
        [first @ .., last] => format!("{} or {last}", first.join(", ")),
    }
}
