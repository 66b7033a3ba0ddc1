//! Parses the documented request headers: priority, deadline, idempotency key and ids.

#[cfg(test)]
mod tests;

use std::time::Duration;

use chervilshunt_model::{CallerName, Class, RequestId};
use http::HeaderMap;
use sfv::{BareItem, Dictionary, Item, ListEntry, Parser};
use uuid::Uuid;

use super::problem::{Problem, Reason};

/// The header that carries the request id in requests and responses; a convention, not a standard.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// The header in which a load balancer or caller names the caller for fair queueing.
pub(crate) const CALLER: &str = "x-caller";
const PRIORITY: &str = "priority";
const PREFER: &str = "prefer";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The highest RFC 9218 urgency value that maps to the live class.
const LAST_LIVE_URGENCY: i64 = 4;
/// The highest urgency value that RFC 9218 allows.
const LAST_URGENCY: i64 = 7;
/// The maximum length of a header that this system reads, such as a request id, caller name or
/// idempotency key, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// The values of a request's headers; absent ones fall back to the service's settings.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestHeaders {
    /// The request id, received or generated.
    pub(crate) id: RequestId,
    /// The caller, if one was named.
    pub(crate) caller: Option<CallerName>,
    /// The class derived from the RFC 9218 urgency.
    pub(crate) class: Option<Class>,
    /// The deadline from the RFC 7240 `wait` preference, relative to the request's arrival.
    pub(crate) deadline: Option<Duration>,
    /// The idempotency key.
    pub(crate) key: Option<String>,
}

/// Returns the request id from the headers, or a generated one if it is missing or invalid.
pub(crate) fn request_id(headers: &HeaderMap) -> RequestId {
    match text(headers, REQUEST_ID) {
        Ok(Some(id)) => RequestId::new(id),
        Ok(None) | Err(_) => RequestId::new(Uuid::new_v4().simple().to_string()),
    }
}

impl RequestHeaders {
    /// Parses the headers of a request.
    ///
    /// # Errors
    /// Returns a problem if one of these headers is malformed. `Priority` is the exception: RFC
    /// 9218 requires malformed values to be ignored.
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
        return Err(bad(format!("the header {name} must not be repeated")));
    }
    let printable = value
        .to_str()
        .ok()
        .filter(|value| value.len() <= MAX_NAME_BYTES);
    match printable {
        Some(value) if !value.is_empty() => Ok(Some(value)),
        Some(_) | None => Err(bad(format!(
            "the header {name} must have 1 to {MAX_NAME_BYTES} visible ASCII characters"
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
    let expected =
        || bad("write the deadline as Prefer: wait=SECONDS, with at least 1 second".to_owned());
    let Ok(members) = Parser::new(value).parse::<Dictionary>() else {
        // Other preferences need not be structured fields; only `wait` is used here.
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
