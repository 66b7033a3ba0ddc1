//! Why a call failed, told apart by what the caller may do about it.

use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum PlatformError {
    /// The object has another version by now; nothing was written.
    #[snafu(display("{call}: the object has been changed meanwhile"))]
    Conflict {
        /// The call, as `verb resource/name`.
        call: Arc<str>,
    },
    /// There is an object of this name already; nothing was written.
    #[snafu(display("{call}: the object exists already"))]
    AlreadyExists {
        /// The call.
        call: Arc<str>,
    },
    /// There is no object of this name.
    #[snafu(display("{call}: there is no such object"))]
    NotFound {
        /// The call.
        call: Arc<str>,
    },
    /// The version to go on from is no longer in the platform's history.
    #[snafu(display("{call}: the version is too old to go on from"))]
    Expired {
        /// The call.
        call: Arc<str>,
    },
    /// The platform can't be reached or says it can't serve; the call was provably not applied.
    #[snafu(display("{call}: the platform is unavailable: {cause}"))]
    Unavailable {
        /// The call.
        call: Arc<str>,
        /// What went wrong.
        cause: Arc<str>,
    },
    /// A write may or may not have taken effect: read the object back to find out.
    #[snafu(display("{call}: whether the write took effect is unknown: {cause}"))]
    OutcomeUnknown {
        /// The call.
        call: Arc<str>,
        /// What went wrong.
        cause: Arc<str>,
    },
    /// The call was not made, or turned away, as there are too many; nothing was applied.
    #[snafu(display("{call}: too many calls"))]
    RateLimited {
        /// The call.
        call: Arc<str>,
        /// When to try again at the earliest.
        retry_after: Option<Duration>,
    },
    /// A read went unanswered for too long.
    #[snafu(display("{call}: no answer in time"))]
    Timeout {
        /// The call.
        call: Arc<str>,
    },
    /// The platform does not allow the call: the operator has to grant it.
    #[snafu(display(
        "{call}: the platform does not allow it ({message}); see docs/operators/platform.md"
    ))]
    Denied {
        /// The call.
        call: Arc<str>,
        /// What the platform said.
        message: Arc<str>,
    },
    /// The call or its answer is malformed; trying again does not help.
    #[snafu(display("{call}: {problem}"))]
    Invalid {
        /// The call.
        call: Arc<str>,
        /// What is wrong.
        problem: Arc<str>,
    },
}

impl PlatformError {
    /// Says whether the platform, not the call, is at fault, so that the call may work later.
    pub const fn is_outage(&self) -> bool {
        matches!(
            self,
            Self::Unavailable { .. }
                | Self::OutcomeUnknown { .. }
                | Self::RateLimited { .. }
                | Self::Timeout { .. }
        )
    }

    /// Returns a short name of the kind of failure, for metrics.
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
