//! What became of a request, as its caller saw it.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::RequestPlan;

/// A request with what became of it.
#[derive(Clone, Debug)]
pub struct Record {
    /// What was asked.
    pub plan: RequestPlan,
    /// What came of it.
    pub verdict: Verdict,
    /// How long it took.
    pub timing: Timing,
}

/// What a caller can say of its answer alone.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The whole answer came, from the adapter version that was named.
    Answered(Answer),
    /// A well-formed refusal came.
    Refused(Refusal),
    /// The connection broke: the caller knows no more than whether the request may have left.
    Disconnected {
        /// Whether the request may have reached the instance.
        sent: bool,
        /// What happened.
        detail: String,
    },
    /// A promise was broken.
    Violated(Violation),
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Tokens of the answer; 0 for a plain service.
    pub tokens: u32,
    /// The instance that served it, as it says itself.
    pub served_by: Option<Arc<str>>,
    /// The target that served it.
    pub target: Option<Arc<str>>,
}

/// A well-formed refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What it says of the request.
    pub outcome: Outcome,
    /// Its status.
    pub status: u16,
    /// Why.
    pub reason: Arc<str>,
    /// What it says in words.
    pub detail: String,
    /// When asking again may help.
    pub retry_after: Option<Duration>,
}

/// What a refusal says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Nothing ran and nothing will.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, and the answer broke off.
    CutShort,
}

impl Outcome {
    /// Returns the name that problem documents use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::CutShort => "cut_short",
        }
    }
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which one.
    pub kind: ViolationKind,
    /// What was seen.
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

/// Which promise was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// Another adapter version served the answer, or a part of it.
    WrongModel,
    /// The answer belongs to another request.
    WrongRequest,
    /// Tokens are missing, doubled or out of order, or the stream ended without its end mark.
    WrongTokens,
    /// The usage does not agree with the tokens.
    WrongUsage,
    /// A header that the answer has to have is missing or wrong.
    WrongHeader,
    /// The answer or refusal is not of the published form.
    Malformed,
    /// No answer came although the time for it had passed.
    Overdue,
    /// A refusal says "not run" of a request that ran.
    FalseNotRun,
    /// A request that may run at most once ran more often.
    DoubleRun,
    /// An answered request never ran, or another model served it, as the stand-ins counted.
    AnswerWithoutRun,
}

impl ViolationKind {
    /// Returns the name that reports use.
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

/// How long a request took, counted from the moment at which it was handed to the client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// Until the first token of a stream, or the head of a whole answer.
    pub first: Option<Duration>,
    /// Until the end.
    pub total: Duration,
    /// The longest pause between two tokens of a stream.
    pub longest_gap: Duration,
}
