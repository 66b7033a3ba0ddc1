//! The result of a request as its caller observed it.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::RequestPlan;

/// A request with its result.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request.
    pub plan: RequestPlan,
    /// Its result.
    pub verdict: Verdict,
    /// Its durations.
    pub timing: Timing,
}

/// The result of a request, judged by its response alone.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// A complete response was received from the requested adapter version.
    Answered(Answer),
    /// A well-formed refusal was received.
    Refused(Refusal),
    /// The connection failed. Only whether the request may have been sent is known.
    Disconnected {
        /// Whether the request may have reached the instance.
        sent: bool,
        /// Description of the failure.
        detail: String,
    },
    /// A guarantee was violated.
    Violated(Violation),
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Number of tokens in the response; 0 for a plain service.
    pub tokens: u32,
    /// The instance that served it, from the `x-served-by` header.
    pub served_by: Option<Arc<str>>,
    /// The target that served it, from the `x-target` header.
    pub target: Option<Arc<str>>,
}

/// A well-formed refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What it states about the execution of the request.
    pub outcome: Outcome,
    /// The HTTP status code.
    pub status: u16,
    /// The reason code.
    pub reason: Arc<str>,
    /// The human-readable detail.
    pub detail: String,
    /// The value of `Retry-After`, if present.
    pub retry_after: Option<Duration>,
}

/// What a refusal states about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It did not run and will not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, but the response was aborted.
    CutShort,
}

impl Outcome {
    /// Returns the name used in problem documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::CutShort => "cut_short",
        }
    }
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The kind of violation.
    pub kind: ViolationKind,
    /// What was observed.
    pub detail: String,
}

impl Violation {
    pub(crate) fn new(kind: ViolationKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.as_str(), self.detail)
    }
}

/// The kinds of violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// Another adapter version produced the response or a part of it.
    WrongModel,
    /// The response belongs to another request.
    WrongRequest,
    /// Tokens are missing, duplicated or out of order, or the stream ended without `[DONE]`.
    WrongTokens,
    /// The reported usage does not match the number of tokens.
    WrongUsage,
    /// A required response header is missing or wrong.
    WrongHeader,
    /// The response or refusal does not have the documented form.
    Malformed,
    /// The response was not complete within the client's timeout.
    Overdue,
    /// A request that ran was refused as "not run".
    FalseNotRun,
    /// A request that may run at most once ran more than once.
    DoubleRun,
    /// The stand-ins recorded no run of an answered request, or only runs of other models.
    AnswerWithoutRun,
}

impl ViolationKind {
    /// Returns the name used in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::WrongModel => "wrong_model",
            Self::WrongRequest => "wrong_request",
            Self::WrongTokens => "wrong_tokens",
            Self::WrongUsage => "wrong_usage",
            Self::WrongHeader => "wrong_header",
            Self::Malformed => "malformed",
            Self::Overdue => "overdue",
            Self::FalseNotRun => "false_not_run",
            Self::DoubleRun => "double_run",
            Self::AnswerWithoutRun => "answer_without_run",
        }
    }
}

/// Durations of a request, measured from the moment at which it was passed to the client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// Time to the first token of a stream, or to the head of a response that is not streamed.
    pub first: Option<Duration>,
    /// Time to the end of the response.
    pub total: Duration,
    /// The longest gap between two tokens of a stream.
    pub longest_gap: Duration,
}
