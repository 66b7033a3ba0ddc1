//! The published request headers: priority, deadline, idempotency key, ids.

#[cfg(test)]
mod tests;

use std::time::Duration;

use chervilshunt_model::{CallerName, Class, RequestId};
use http::HeaderMap;
use sfv::{BareItem, Dictionary, Item, ListEntry, Parser};
use uuid::Uuid;

use super::problem::{Problem, Reason};

/// The header by which a request and its answer name the request (in use widely, not published).
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// The header by which a balancer or caller names the unit of fairness.
pub(crate) const CALLER: &str = "x-caller";
const PRIORITY: &str = "priority";
const PREFER: &str = "prefer";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The highest urgency value of RFC 9218 that still counts as live.
const LAST_LIVE_URGENCY: i64 = 4;
/// The highest urgency value of RFC 9218.
const LAST_URGENCY: i64 = 7;
/// Longest request id, caller name or idempotency key, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// What the headers of a request ask for; absent ones fall back to the service's settings.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestHeaders {
    /// The request's id, as given or new.
    pub(crate) id: RequestId,
    /// The unit of fairness, as given.
    pub(crate) caller: Option<CallerName>,
    /// The class by RFC 9218 urgency.
    pub(crate) class: Option<Class>,
    /// The deadline by RFC 7240 `wait`.
    pub(crate) deadline: Option<Duration>,
    /// The idempotency key.
    pub(crate) key: Option<String>,
}

/// Returns the request's id, making one when there is none that can be used.
pub(crate) fn request_id(headers: &HeaderMap) -> RequestId {
    match text(headers, REQUEST_ID) {
        Ok(Some(id)) => RequestId::new(id),
        Ok(None) | Err(_) => RequestId::new(Uuid::new_v4().simple().to_string()),
    }
}

impl RequestHeaders {
    /// Reads the headers of a request.
    ///
    /// # Errors
    /// Fails on a header of ours that does not parse. `Priority` is the exception: RFC 9218 asks
    /// to ignore what can't be read.
    pub(crate) fn read(headers: &HeaderMap, id: RequestId) -> Result<Self, Problem> {
        let caller = text(headers, CALLER)?.map(CallerName::new);
        let class = headers
            .get(PRIORITY)
            .and_then(|value| class_of(value.as_bytes()));
        let deadline = match text(headers, PREFER)? {
            Some(value) => wait_of(value)?,
            None => None,
        };
        let key = match text(headers, IDEMPOTENCY_KEY)? {
            Some(value) => Some(key_of(value)?),
            None => None,
        };
        Ok(Self {
            id,
            caller,
            class,
            deadline,
            key,
        })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad(format!("send the header {name} once")));
    }
    let printable = value
        .to_str()
        .ok()
        .filter(|value| value.len() <= MAX_NAME_BYTES);
    match printable {
        Some(value) if !value.is_empty() => Ok(Some(value)),
        Some(_) | None => Err(bad(format!(
            "the header {name} takes 1 to {MAX_NAME_BYTES} visible ASCII characters"
        ))),
    }
}

fn class_of(value: &[u8]) -> Option<Class> {
    let members: Dictionary = Parser::new(value).parse().ok()?;
    let urgency = integer(members.get("u")?)?;
    match urgency {
        0..=LAST_LIVE_URGENCY => Some(Class::Live),
        urgency if (0..=LAST_URGENCY).contains(&urgency) => Some(Class::Deferrable),
        _ => None,
    }
}

fn wait_of(value: &str) -> Result<Option<Duration>, Problem> {
    let expected = || bad("write the deadline as Prefer: wait=SECONDS, with at least 1".to_owned());
    let Ok(members) = Parser::new(value).parse::<Dictionary>() else {
        // Other preferences need not be structured fields; only `wait` concerns this system.
        return if value.contains("wait") {
            Err(expected())
        } else {
            Ok(None)
        };
    };
    let Some(member) = members.get("wait") else {
        return Ok(None);
    };
    let seconds = integer(member).and_then(|value| u64::try_from(value).ok());
    match seconds {
        Some(seconds) if seconds > 0 => Ok(Some(Duration::from_secs(seconds))),
        Some(_) | None => Err(expected()),
    }
}

fn key_of(value: &str) -> Result<String, Problem> {
    let item: Option<Item> = Parser::new(value).parse().ok();
    match item.map(|item| item.bare_item) {
        Some(BareItem::String(key)) if !key.as_str().is_empty() => Ok(key.as_str().to_owned()),
        _ => Err(bad(
            "write the key in quotes, as Idempotency-Key: \"KEY\"".to_owned()
        )),
    }
}

fn integer(entry: &ListEntry) -> Option<i64> {
    match entry {
        ListEntry::Item(item) => match &item.bare_item {
            BareItem::Integer(value) => Some(i64::from(*value)),
            _ => None,
        },
        ListEntry::InnerList(_) => None,
    }
}

fn bad(detail: String) -> Problem {
    Problem::not_run(Reason::BadRequest, detail)
}
