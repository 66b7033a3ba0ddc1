//! What an instance answers to a statement; see `docs/INTERFACES.md`.

use chervilshunt_model::ChangeId;
use serde::{Deserialize, Serialize};

use crate::client::Reply;

/// The body of a statement that is sent.
#[derive(Debug, Serialize)]
pub(crate) struct Question<'a> {
    pub(crate) text: &'a str,
    pub(crate) local: bool,
    /// By which an instance recognises a change that was sent before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) id: Option<ChangeId>,
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
    #[serde(rename = "type")]
    pub(crate) kind: String,
    pub(crate) title: String,
    pub(crate) detail: String,
    pub(crate) outcome: Option<Outcome>,
}

impl Problem {
    /// Reads a refusal; one that is not of an instance leaves all members empty.
    pub(crate) fn of(reply: &Reply) -> Self {
        serde_json::from_slice(&reply.body).unwrap_or_default()
    }

    /// Returns the best that is there to be told as the reason.
    pub(crate) fn reason(&self, reply: &Reply) -> String {
        let texts = [&self.detail, &self.title];
        let said = texts.into_iter().find(|text| !text.is_empty());
        said.map_or_else(|| reply.status.to_string(), String::clone)
    }
}

/// What a refusal says of the statement's effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    NotRun,
    Unknown,
    CutShort,
}
