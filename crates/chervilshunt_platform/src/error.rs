//! Errors of platform calls, classified by how the caller can handle them.

use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;

/// The error of a call to the platform.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum PlatformError {
    /// The object's version has changed. Nothing was written.
    #[snafu(display("{call}: the object was modified concurrently"))]
    Conflict {
        /// The call, as `verb resource/name`.
        call: Arc<str>,
    },
    /// An object with this name already exists. Nothing was written.
    #[snafu(display("{call}: the object already exists"))]
    AlreadyExists {
        /// The call.
        call: Arc<str>,
    },
    /// No object with this name exists.
    #[snafu(display("{call}: no such object"))]
    NotFound {
        /// The call.
        call: Arc<str>,
    },
    /// The version to continue from is no longer in the platform's history.
    #[snafu(display("{call}: the version to continue from has expired"))]
    Expired {
        /// The call.
        call: Arc<str>,
    },
    /// The platform is unreachable or reports that it is unavailable. A write that fails with this
    /// error was certainly not applied.
    #[snafu(display("{call}: the platform is unavailable: {cause}"))]
    Unavailable {
        /// The call.
        call: Arc<str>,
        /// What went wrong.
        cause: Arc<str>,
    },
    /// A write may or may not have taken effect. Read the object back to find out.
    #[snafu(display("{call}: the outcome of the write is unknown: {cause}"))]
    OutcomeUnknown {
        /// The call.
        call: Arc<str>,
        /// What went wrong.
        cause: Arc<str>,
    },
    /// The call exceeded this client's or the platform's rate limit. Nothing was applied.
    #[snafu(display("{call}: too many calls"))]
    RateLimited {
        /// The call.
        call: Arc<str>,
        /// The minimum time to wait before a retry, if known.
        retry_after: Option<Duration>,
    },
    /// A read got no response within the time limit.
    #[snafu(display("{call}: no response within the time limit"))]
    Timeout {
        /// The call.
        call: Arc<str>,
    },
    /// The platform denied the call. The operator has to grant the permission.
    #[snafu(display(
        "{call}: permission denied by the platform ({message}); see docs/operators/platform.md"
    ))]
    Denied {
        /// The call.
        call: Arc<str>,
        /// The platform's status and message.
        message: Arc<str>,
    },
    /// The call or its response is malformed. A retry does not help.
    #[snafu(display("{call}: {problem}"))]
    Invalid {
        /// The call.
        call: Arc<str>,
        /// What is wrong.
        problem: Arc<str>,
    },
}

impl PlatformError {
    /// Returns whether the failure lies with the platform rather than the call, so that the call
    /// may succeed later.
    pub const fn is_outage(&self) -> bool {
        matches!(
            self,
            Self::Unavailable { .. }
                | Self::OutcomeUnknown { .. }
                | Self::RateLimited { .. }
                | Self::Timeout { .. }
        )
    }

    /// Returns the kind of the error as a metric label value.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => "conflict",
            Self::AlreadyExists { .. } => "already_exists",
            Self::NotFound { .. } => "not_found",
            Self::Expired { .. } => "expired",
            Self::Unavailable { .. } => "unavailable",
            Self::OutcomeUnknown { .. } => "outcome_unknown",
            Self::RateLimited { .. } => "rate_limited",
            Self::Timeout { .. } => "timeout",
            Self::Denied { .. } => "denied",
            Self::Invalid { .. } => "invalid",
        }
    }
}
