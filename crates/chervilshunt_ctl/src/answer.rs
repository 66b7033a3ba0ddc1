//! What an instance answers to a statement; see `docs/INTERFACES.md`.

use serde::{Deserialize, Serialize};

/// The body of a statement that is sent.
#[derive(Debug, Serialize)]
pub(crate) struct Question<'a> {
    pub(crate) text: &'a str,
    pub(crate) local: bool,
}

/// The answer to statements.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Answer {
    /// The revision in force.
    pub(crate) revision: u64,
    /// A result for each statement.
    pub(crate) results: Vec<StatementResult>,
    /// The instances that did not answer.
    #[serde(default)]
    pub(crate) silent: Vec<String>,
}

/// What came of one statement.
#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub(crate) enum StatementResult {
    /// Of `show`.
    Rows {
        columns: Vec<String>,
        rows: Vec<Vec<Option<String>>>,
    },
    /// Of changes.
    Accepted { accepted: u64, changed: u64 },
}

/// Why a statement was refused (RFC 9457).
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Problem {
    pub(crate) title: String,
    pub(crate) detail: String,
    pub(crate) outcome: Option<Outcome>,
}

/// What a refusal says of the statement's effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    NotRun,
    Unknown,
    CutShort,
}
