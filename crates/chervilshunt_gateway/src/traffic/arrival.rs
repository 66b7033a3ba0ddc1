//! What is known of the arrival of an attempt at its target.

use chervilshunt_engine::{BodyReader, EngineError};
use http::response::Parts;

use crate::transit::TransitOutcome;

/// What the end of an exchange shows of whether the request has arrived at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    /// The target has answered, and so has read the request.
    Answered,
    /// The request has not arrived and will not: it was not written, or the target closed the connection.
    Ended,
    /// The request may lie unread in the target's socket or in the network.
    Unknown,
}

impl Arrival {
    /// Returns what the result of an exchange shows; in transit it is the exchange with the instance in between.
    pub(super) fn of(
        forwarded: &Result<(Parts, BodyReader), EngineError>,
        is_in_transit: bool,
    ) -> Self {
        match forwarded {
            Ok((head, _)) => match TransitOutcome::of(&head.headers).filter(|_| is_in_transit) {
                None => Self::Answered,
                Some(outcome) if outcome.may_have_run() => Self::Unknown,
                Some(_) => Self::Ended,
            },
            Err(error) if error.is_connect_failure() => Self::Ended,
            Err(EngineError::Withheld { .. } | EngineError::NotSent { .. }) => Self::Ended,
            Err(_) if is_in_transit => Self::Unknown,
            Err(error) if error.may_arrive_later() => Self::Unknown,
            Err(_) => Self::Ended,
        }
    }

    /// Returns the name used in logs and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}
