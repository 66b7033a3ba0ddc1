//! What is wrong with a script, as data, and how it is shown.

use std::fmt::Write as _;
use std::ops::Range;

use serde::{Deserialize, Serialize};

/// One error in a script.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryError {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// How many characters are meant; 0 at the end of the text.
    pub length: usize,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub expected: Vec<String>,
    /// What to do, where there is more to say.
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
        let meant = text.get(span).unwrap_or_default();
        let meant = meant.lines().next().unwrap_or_default();
        let found = if !meant.is_empty() {
            meant
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
            length: meant.chars().count(),
            found: found.to_owned(),
            expected,
            hint,
        }
    }
}

/// Shows errors with their line of the text and a caret below the place.
///
/// `origin` names where the text came from, such as a file or `command line`.
pub fn render_errors(text: &str, origin: &str, errors: &[QueryError]) -> String {
    let shown: Vec<_> = errors
        .iter()
        .map(|error| render_one(text, origin, error))
        .collect();
    shown.join("\n")
}

fn render_one(text: &str, origin: &str, error: &QueryError) -> String {
    let line = text.lines().nth(error.line - 1).unwrap_or_default();
    // A tab takes the width that the terminal gives it in the line above.
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
        listed(&error.expected),
    );
    if let Some(hint) = &error.hint {
        let _ = writeln!(shown, "{margin} = {hint}");
    }
    shown
}

fn listed(expected: &[String]) -> String {
    match expected {
        [] => "something else".to_owned(),
        [one] => one.clone(),
        [first @ .., last] => format!("{} or {last}", first.join(", ")),
    }
}
