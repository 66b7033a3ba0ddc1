//! Headers between instances that pass requests on. They are never sent to callers or targets.

use std::time::Duration;

use chervilshunt_model::TargetName;
use http::{HeaderMap, HeaderName, HeaderValue};

use super::ticket::Ticket;

/// The ticket that the sender holds.
const TICKET: HeaderName = HeaderName::from_static("x-transit-ticket");
/// The name of the target.
const TARGET: HeaderName = HeaderName::from_static("x-transit-target");
/// Present if the request may run more than once.
const REPEATABLE: HeaderName = HeaderName::from_static("x-transit-repeatable");
/// Present if the request has been sent to the target's address before.
const SENT_BEFORE: HeaderName = HeaderName::from_static("x-transit-sent-before");
/// For how many milliseconds the request may still be sent, if it is a retry.
const SEND_WITHIN_MS: HeaderName = HeaderName::from_static("x-transit-send-within-ms");
/// Why there is no answer of a target.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("x-transit-outcome");

/// What a request in transit carries beside the request itself.
#[derive(Debug)]
pub(crate) struct TransitHead {
    /// The target.
    pub(crate) target: TargetName,
    /// Whether the request may run more than once.
    pub(crate) is_repeatable: bool,
    /// Whether the request has been sent to the target's address before.
    pub(crate) is_sent_before: bool,
    /// For how long the request may still be sent, if it is a retry.
    pub(crate) send_within: Option<Duration>,
}

impl TransitHead {
    /// Adds it to a request's headers.
    pub(crate) fn write(&self, ticket: &Ticket, headers: &mut HeaderMap) {
        // Names and tickets are visible ASCII; a value that is not would be refused as malformed.
        if let Ok(value) = HeaderValue::from_str(ticket.as_str()) {
            headers.insert(TICKET, value);
        }
        if let Ok(value) = HeaderValue::from_str(self.target.as_str()) {
            headers.insert(TARGET, value);
        }
        if self.is_repeatable {
            headers.insert(REPEATABLE, HeaderValue::from_static("1"));
        }
        if self.is_sent_before {
            headers.insert(SENT_BEFORE, HeaderValue::from_static("1"));
        }
        if let Some(time) = self.send_within {
            let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            headers.insert(SEND_WITHIN_MS, HeaderValue::from(millis));
        }
    }

    /// Takes it out of a request's headers.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let target = headers.remove(TARGET)?;
        let is_repeatable = headers.remove(REPEATABLE).is_some();
        let is_sent_before = headers.remove(SENT_BEFORE).is_some();
        let send_within = match headers.remove(SEND_WITHIN_MS) {
            Some(millis) => Some(Duration::from_millis(millis.to_str().ok()?.parse().ok()?)),
            None => None,
        };
        Some(Self {
            target: TargetName::from(target.to_str().ok()?),
            is_repeatable,
            is_sent_before,
            send_within,
        })
    }
}

/// Takes the ticket out of a request's headers.
pub(super) fn take_ticket(headers: &mut HeaderMap) -> Option<HeaderValue> {
    headers.remove(TICKET)
}

/// Removes all headers between instances from a caller's request or a target's answer.
pub(crate) fn strip_transit_headers(headers: &mut HeaderMap) {
    for name in [
        TICKET,
        TARGET,
        REPEATABLE,
        SENT_BEFORE,
        SEND_WITHIN_MS,
        OUTCOME,
    ] {
        headers.remove(name);
    }
}
