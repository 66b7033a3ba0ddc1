//! Requests to and answers from an instance's operators' port; see `docs/INTERFACES.md`.

use chervilshunt_model::ChangeId;
use serde::{Deserialize, Serialize};

use crate::client::Reply;

/// The body of a request with statements.
#[derive(Debug, Serialize)]
pub(crate) struct StatementRequest<'a> {
    pub(crate) text: &'a str,
    pub(crate) local: bool,
    /// The id of a change, by which an instance recognises one that was sent before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) id: Option<ChangeId>,
}

/// The answer to statements.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Answer {
    /// The revision in force.
    pub(crate) revision: u64,
    /// The result of each statement.
    pub(crate) results: Vec<StatementResult>,
    /// The instances that did not answer.
    #[serde(default)]
    pub(crate) silent: Vec<String>,
}

/// The result of one statement.
#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub(crate) enum StatementResult {
    /// The rows of a `show` statement.
    Rows {
        columns: Vec<String>,
        rows: Vec<Vec<Option<String>>>,
    },
    /// The new revision and the number of changes of an accepted change statement.
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
    /// Parses a refusal; all members are empty if the body is not a problem document, such as that
    /// of a gateway in between.
    pub(crate) fn of(reply: &Reply) -> Self {
        serde_json::from_slice(&reply.body).unwrap_or_default()
    }

    /// Returns the reason to show: the detail, else the title, else the status of the reply.
    pub(crate) fn reason(&self, reply: &Reply) -> String {
        let texts = [&self.detail, &self.title];
        let text = texts.into_iter().find(|text| !text.is_empty());
        text.map_or_else(|| reply.status.to_string(), String::clone)
    }
}

/// Whether a refused statement took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    NotRun,
    Unknown,
    CutShort,
}
