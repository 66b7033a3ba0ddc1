//! The failures of a call to a target, and whether the call may have run.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use snafu::Snafu;

use crate::identity::AnswerProof;

/// Whether a failed call may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It did not run and never will.
    NotRun,
    /// It may have run, may be running, or may still run.
    Unknown,
    /// It ran, and part of its answer may have been passed on.
    CutShort,
}

/// The stage of a call at which it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallStage {
    /// Connecting; no byte of the request can have been sent.
    Connect,
    /// The request may have been sent; the headers of the answer have not been received.
    Head,
    /// The headers of the answer have been received, its body not completely.
    Body,
}

impl fmt::Display for CallStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "connecting",
            Self::Head => "waiting for the answer's headers",
            Self::Body => "reading the answer's body",
        })
    }
}

/// Why a call to a target failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum EngineError {
    /// The connection to the target failed before anything was sent.
    #[snafu(display("{} {address}: {source}",
        if *was_open { "nothing was sent to" } else { "cannot connect to" }))]
    NotSent {
        /// The target's address.
        address: SocketAddr,
        /// Whether the connection had been opened, and was closed by the target before anything was
        /// written to it.
        was_open: bool,
        /// The error from the operating system.
        source: io::Error,
    },
    /// A connection was ready too late for the request to be sent.
    #[snafu(display("the request was not sent to {address}: it had expired"))]
    Withheld {
        /// The target's address.
        address: SocketAddr,
    },
    /// The connection failed without an answer after the request may have been sent.
    #[snafu(display("{address} closed the connection without an answer: {source}"))]
    OutcomeUnknown {
        /// The target's address.
        address: SocketAddr,
        /// Whether the connection was opened for this call.
        is_fresh: bool,
        /// The error from the HTTP library.
        source: hyper::Error,
    },
    /// A time limit of the call was exceeded.
    #[snafu(display("{address} timed out after {limit:?} while {stage}"))]
    Timeout {
        /// The target's address.
        address: SocketAddr,
        /// The stage of the call.
        stage: CallStage,
        /// The time limit of the stage.
        limit: Duration,
    },
    /// The target answered with an error status.
    #[snafu(display("the target answered {status}: {message}"))]
    Refused {
        /// The status of the answer.
        status: StatusCode,
        /// The delay from the `Retry-After` header, if there is one.
        retry_after: Option<Duration>,
        /// What shows that the answer belongs to the call.
        proof: Option<AnswerProof>,
        /// The start of the answer's body.
        message: Arc<str>,
    },
    /// The target rejected the order's fencing token, as it has seen a higher one.
    #[snafu(display("the target rejected the fencing token: {message}"))]
    Fenced {
        /// The start of the answer's body.
        message: Arc<str>,
    },
    /// The engine does not hold the adapter version that the call named.
    #[snafu(display("the engine does not hold the adapter: {message}"))]
    AdapterMissing {
        /// What shows that the answer belongs to the call.
        proof: Option<AnswerProof>,
        /// The start of the answer's body.
        message: Arc<str>,
    },
    /// A different model than the requested one served the call; its output is not passed on.
    #[snafu(display("{served} served a call for {named}"))]
    WrongModel {
        /// The model that the call named.
        named: Arc<str>,
        /// The model that the answer names.
        served: Arc<str>,
    },
    /// The answer belongs to a different call, or does not show that it belongs to this one.
    #[snafu(display("{address} answered {status} to another request, {}",
        stated.as_ref().map_or_else(|| "which it does not name".to_owned(), |it| format!("{it:?}"))))]
    AnswerMismatch {
        /// The target's address.
        address: SocketAddr,
        /// The status of the answer.
        status: StatusCode,
        /// The ids that the answer states, if any.
        stated: Option<Arc<str>>,
    },
    /// The head of the answer has a status that is none.
    #[snafu(display("{address} sent bytes that are no answer, with the status {status}"))]
    NoStatus {
        /// The target's address.
        address: SocketAddr,
        /// What stands in the place of the status.
        status: StatusCode,
    },
    /// The request or its answer has an invalid or unsupported format.
    #[snafu(display("invalid request or answer: {problem}"))]
    Malformed {
        /// The reason.
        problem: Arc<str>,
    },
    /// The engine reported an error within a stream.
    #[snafu(display("the engine failed during the answer: {message}"))]
    FailedMidway {
        /// The message of the error event.
        message: Arc<str>,
    },
    /// The answer ended before it was complete.
    #[snafu(display("the answer was truncated: {problem}"))]
    Truncated {
        /// How the end was detected.
        problem: Arc<str>,
    },
}

impl EngineError {
    /// Returns whether the connection was refused because nothing listens on the target's address.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::NotSent { source, .. }
            if source.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether no connection could be opened.
    pub fn is_connect_failure(&self) -> bool {
        matches!(
            self,
            Self::NotSent {
                was_open: false,
                ..
            } | Self::Timeout {
                stage: CallStage::Connect,
                ..
            }
        )
    }

    /// Returns whether the target accepted a new connection and closed it without an answer, as
    /// targets do that have too many connections.
    pub fn is_fresh_reset(&self) -> bool {
        matches!(
            self,
            Self::NotSent { was_open: true, .. } | Self::OutcomeUnknown { is_fresh: true, .. }
        )
    }

    /// Returns whether the target refused the call, as far as can be told: the answer states no id,
    /// and its connection has carried another call. Only idempotent calls get such an answer.
    pub fn is_unproved_refusal(&self) -> bool {
        matches!(
            self,
            Self::Refused { proof: None, .. } | Self::AdapterMissing { proof: None, .. }
        )
    }

    /// Returns whether the call may still arrive at the target, which has neither answered it nor closed its
    /// connection.
    ///
    /// What was written may lie in the target's socket, or in the network, after the connection was given up.
    pub fn may_arrive_later(&self) -> bool {
        match self {
            Self::Timeout { stage, .. } => *stage != CallStage::Connect,
            Self::OutcomeUnknown { source, .. } => is_network_failure(source),
            Self::AnswerMismatch { .. } => true,
            Self::NotSent { .. }
            | Self::Withheld { .. }
            | Self::Refused { .. }
            | Self::Fenced { .. }
            | Self::AdapterMissing { .. }
            | Self::WrongModel { .. }
            | Self::NoStatus { .. }
            | Self::Malformed { .. }
            | Self::FailedMidway { .. }
            | Self::Truncated { .. } => false,
        }
    }

    /// Returns whether the call may have run.
    ///
    /// Code that converts an error into an answer to a caller must use this, not the variant,
    /// because the system guarantees that "not run" is true.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NotSent { .. }
            | Self::Withheld { .. }
            | Self::Fenced { .. }
            | Self::AdapterMissing { proof: Some(_), .. } => Outcome::NotRun,
            Self::Timeout { stage, .. } => match stage {
                CallStage::Connect => Outcome::NotRun,
                CallStage::Head => Outcome::Unknown,
                CallStage::Body => Outcome::CutShort,
            },
            Self::Refused {
                status,
                retry_after,
                proof: Some(_),
                ..
            } => refusal_outcome(*status, *retry_after),
            Self::Refused { proof: None, .. }
            | Self::AdapterMissing { proof: None, .. }
            | Self::OutcomeUnknown { .. }
            | Self::NoStatus { .. }
            | Self::AnswerMismatch { .. } => Outcome::Unknown,
            Self::WrongModel { .. }
            | Self::Malformed { .. }
            | Self::FailedMidway { .. }
            | Self::Truncated { .. } => Outcome::CutShort,
        }
    }
}

/// Returns whether a connection ended because its packets were lost, and not because the target closed it.
fn is_network_failure(error: &hyper::Error) -> bool {
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        if let Some(error) = cause.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                io::ErrorKind::TimedOut
                    | io::ErrorKind::HostUnreachable
                    | io::ErrorKind::NetworkUnreachable
            );
        }
        source = cause.source();
    }
    false
}

/// Returns whether a call may have run that was answered with an error status.
///
/// A client error is detected before a call runs, and so is overload if the answer has a
/// `Retry-After` header. A 503 without one may also come from an engine that crashed during the
/// call.
fn refusal_outcome(status: StatusCode, retry_after: Option<Duration>) -> Outcome {
    let overloaded = status == StatusCode::SERVICE_UNAVAILABLE && retry_after.is_some();
    if status.is_client_error() || overloaded {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}
