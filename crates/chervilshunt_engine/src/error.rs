//! How a call to a target fails, and what each failure says about whether the call ran.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilshunt_model::AttemptId;
use http::StatusCode;
use snafu::Snafu;

/// Whether a call that failed can have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It did not run and never will.
    NotRun,
    /// It may have run, may be running, or may still run.
    Unknown,
    /// It ran, and part of its answer may have been handed on.
    CutShort,
}

/// How far a call had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// No byte of it can have left.
    Connect,
    /// The request may have left; the answer's head has not come.
    Head,
    /// The answer's body is on its way.
    Body,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "connecting",
            Self::Head => "waiting for the answer's head",
            Self::Body => "reading the answer's body",
        })
    }
}

/// Why a call to a target failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum EngineError {
    /// The target could not be connected to: nothing left this process.
    #[snafu(display("can't connect to {address}: {source}"))]
    NotSent {
        /// The target's address.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// The connection failed when the request may have left and no answer had come.
    #[snafu(display("{address} closed the connection without an answer: {source}"))]
    OutcomeUnknown {
        /// The target's address.
        address: SocketAddr,
        /// What the HTTP library said.
        source: hyper::Error,
    },
    /// The target took too long.
    #[snafu(display("{address} took more than {limit:?} while {stage}"))]
    Timeout {
        /// The target's address.
        address: SocketAddr,
        /// How far the call had come.
        stage: Stage,
        /// The time that was allowed.
        limit: Duration,
    },
    /// The target answered that it won't, or that it failed.
    #[snafu(display("the target answered {status}: {message}"))]
    Refused {
        /// The status of its answer.
        status: StatusCode,
        /// When asking again is worth it, if it said so.
        retry_after: Option<Duration>,
        /// The start of its answer's body.
        message: Arc<str>,
    },
    /// The target refused the order's fencing number: it has seen a higher one.
    #[snafu(display("the target refused the fencing number: {message}"))]
    Fenced {
        /// The start of its answer's body.
        message: Arc<str>,
    },
    /// The engine does not hold the adapter version that the call named.
    #[snafu(display("the engine does not hold the adapter: {message}"))]
    AdapterMissing {
        /// The start of its answer's body.
        message: Arc<str>,
    },
    /// Another model served the call than the one it named; nothing that it served is handed on.
    #[snafu(display("the call named {named} but {served} served it"))]
    WrongModel {
        /// The model that the call named.
        named: Arc<str>,
        /// The model that the answer names.
        served: Arc<str>,
    },
    /// The answer belongs to another call.
    #[snafu(display("the answer to attempt {attempt} carries the id {received}"))]
    Crossed {
        /// The attempt that was sent.
        attempt: AttemptId,
        /// The id that the answer carries.
        received: Arc<str>,
    },
    /// The answer is not of a form in which it can be checked.
    #[snafu(display("the answer can't be checked: {problem}"))]
    Malformed {
        /// What is wrong with it.
        problem: Arc<str>,
    },
    /// The engine reported an error inside a stream that it had begun.
    #[snafu(display("the engine failed during the answer: {message}"))]
    FailedMidway {
        /// The event that says so.
        message: Arc<str>,
    },
    /// The answer ended before it was whole.
    #[snafu(display("the answer broke off: {problem}"))]
    BrokenOff {
        /// What was missing.
        problem: Arc<str>,
    },
}

impl EngineError {
    /// Returns whether the connection was refused, because nothing listens on the target's address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::NotSent { source, .. }
            if source.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether the call can have run.
    ///
    /// Whoever turns an error into an answer to a caller has to go by this and not by the variant:
    /// "not run" is promised to be true.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NotSent { .. } | Self::Fenced { .. } | Self::AdapterMissing { .. } => {
                Outcome::NotRun
            }
            Self::Timeout { stage, .. } => match stage {
                Stage::Connect => Outcome::NotRun,
                Stage::Head => Outcome::Unknown,
                Stage::Body => Outcome::CutShort,
            },
            Self::Refused {
                status,
                retry_after,
                ..
            } => refusal_outcome(*status, *retry_after),
            Self::OutcomeUnknown { .. } | Self::Crossed { .. } => Outcome::Unknown,
            Self::WrongModel { .. }
            | Self::Malformed { .. }
            | Self::FailedMidway { .. }
            | Self::BrokenOff { .. } => Outcome::CutShort,
        }
    }
}

/// A client error is found before a call runs. So is overload, if the target says when to come
/// back; a bare 503 may as well come from an engine that died under the call.
fn refusal_outcome(status: StatusCode, retry_after: Option<Duration>) -> Outcome {
    let overloaded = status == StatusCode::SERVICE_UNAVAILABLE && retry_after.is_some();
    if status.is_client_error() || overloaded {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}
